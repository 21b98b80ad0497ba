package control

import (
	"time"

	"bronzewind.example/core/state"
)

// checks reports whether the backend servers of service check grants.
func (c *Core) checks(service string) bool {
	conf, ok := c.state.Configuration.Service(service)
	return !ok || conf.ChecksGrants
}

// longestDeadline returns the longest time that a request of service can have
// left when it is sent.
func (c *Core) longestDeadline(service string) time.Duration {
	var longest time.Duration
	if conf, ok := c.state.Configuration.Service(service); ok {
		for i := range conf.Kinds {
			longest = max(longest, conf.Kinds[i].Patience.Std())
		}
	}
	return longest
}

// uncheckedAnswered authorizes work for a backend server that checks no
// grants and has just answered. The instance is its only sender by the lease
// alone; slots leave the server only once every request that was sent has
// passed its deadline.
func (c *Core) uncheckedAnswered(v *state.Service, server state.Server, g *grantState, e GrantAnswered, now time.Time) []Effect {
	c.readClock(g, e, now)
	a := c.authorize(v, server, g, v.OwnedBy(server.Row.Name), e.Sent.Add(c.ttl())).(Authorize)
	deadline := c.surely(c.longestDeadline(v.Name))
	if lapsed := a.Until.Add(deadline); lapsed.After(g.lapsed) {
		g.lapsed = lapsed
	}
	out := []Effect{a}
	if !server.Up {
		out = append(out, c.report(v, server, true, g.incarnation, now)...)
	}
	ended := now.Sub(g.heldSince) > deadline && now.Sub(g.began) > deadline
	if g.drained && !g.handing && len(g.held) > 0 && ended {
		out = append(out, c.releaseHeld(v, g, now)...)
	}
	return out
}

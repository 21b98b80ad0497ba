package control

import (
	"time"

	"bronzewind.example/core/backend"
	"bronzewind.example/core/state"
)

// checksGrants reports whether the backend servers of service check grants.
func (c *Core) checksGrants(service string) bool {
	conf, ok := c.state.Configuration.Service(service)
	return !ok || conf.ChecksGrants
}

// uncheckedGrantAnswered authorizes work for a backend server that checks no
// grants and has just answered. The instance is its only sender by the lease
// alone; slots leave the server only once every request that was sent has
// passed its deadline.
func (c *Core) uncheckedGrantAnswered(v *state.Service, server state.Server, g *grantState, e GrantAnswered, now time.Time) []Effect {
	deadline := c.plusDrift(c.longestDeadline(v.Name))
	grant := backend.Grant{Service: v.Name, Server: server.Row.Name}
	g.owned.update(v, server.Row.Name)
	grant.Slots, grant.Keys, grant.Except = g.owned.slots, g.owned.keys, g.owned.except
	until := e.Sent.Add(c.ttl())
	if lapsed := until.Add(deadline); lapsed.After(g.expiredBy) {
		g.expiredBy = lapsed
	}
	out := []Effect{c.authorize(g, grant, until)}
	if !server.Up || server.Leaving != g.serverLeaving {
		out = append(out, c.proposeReport(v, server, true, g.incarnation, now)...)
	}
	if h := &g.handover; h.allDrained && !h.empty() && !g.handingOver && now.Sub(h.pausedAt) > deadline {
		out = append(out, c.releaseDrained(v, server, g, now)...)
	}
	return out
}

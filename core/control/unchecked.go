package control

import (
	"time"

	"bronzewind.example/core/backend"
	"bronzewind.example/core/state"
)

// checks reports whether the backend servers of service check grants.
func (c *Core) checks(service string) bool {
	conf, ok := c.state.Configuration.Service(service)
	return !ok || conf.ChecksGrants
}

// uncheckedAnswered authorizes work for a backend server that checks no
// grants and has just answered. The instance is its only sender by the lease
// alone; slots leave the server only once every request that was sent has
// passed its deadline.
func (c *Core) uncheckedAnswered(v *state.Service, server state.Server, g *grantState, e GrantAnswered, now time.Time) []Effect {
	deadline := c.surely(c.patience(v.Name))
	grant := backend.Grant{Service: v.Name, Server: server.Row.Name}
	g.share.update(v, server.Row.Name)
	grant.Slots, grant.Keys, grant.Except = g.share.slots, g.share.keys, g.share.except
	until := e.Sent.Add(c.ttl())
	if lapsed := until.Add(deadline); lapsed.After(g.lapsed) {
		g.lapsed = lapsed
	}
	out := []Effect{c.authorize(g, grant, until)}
	if !server.Up || server.Leaving != g.leaving {
		out = append(out, c.report(v, server, true, g.incarnation, now)...)
	}
	if h := &g.handover; h.drained && !h.empty() && !g.handing && now.Sub(h.since) > deadline {
		out = append(out, c.release(v, server, g, now)...)
	}
	return out
}

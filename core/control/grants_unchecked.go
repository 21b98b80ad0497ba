package control

import (
	"time"

	"bronzewind.example/core/backend"
	"bronzewind.example/core/state"
)

// checksGrants reports whether the backend servers of service check grants. It
// also returns true if the service is not configured.
func (c *Core) checksGrants(service string) bool {
	conf, ok := c.state.Configuration.Service(service)
	return !ok || conf.ChecksGrants
}

// uncheckedGrantAnswered authorizes requests to a backend server that does not
// check grants and has just responded. Only the instance's lease ensures that
// no other instance sends to the server, so slots leave the server only once
// the deadlines of all requests sent have passed.
func (c *Core) uncheckedGrantAnswered(v *state.Service, server state.Server, g *grantState, e GrantCompleted, now time.Time) []Effect {
	requestDuration := c.plusDrift(c.maxRequestDuration(v.Name))
	grant := backend.Grant{Service: v.Name, Server: server.Row.Name}
	g.owned.update(v, server.Row.Name)
	grant.Slots, grant.Keys, grant.Except = g.owned.slots, g.owned.keys, g.owned.except
	until := e.Sent.Add(c.grantTTL())
	if expired := until.Add(requestDuration); expired.After(g.expiredBy) {
		g.expiredBy = expired
	}
	out := []Effect{c.authorize(g, grant, until)}
	if !server.Up || server.Leaving != g.serverLeaving {
		out = append(out, c.proposeReport(v, server, true, g.incarnation, now)...)
	}
	if h := &g.handover; h.allDrained && !h.empty() && !g.handingOver && now.Sub(h.pausedAt) > requestDuration {
		out = append(out, c.releaseDrained(v, server, g, now)...)
	}
	return out
}

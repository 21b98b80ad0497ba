package control

import (
	"time"

	"bronzewind.example/core/backend"
	"bronzewind.example/core/record"
	"bronzewind.example/core/state"
)

// silentRenewals is the number of renewal times without an answer after which
// a backend server counts as silent.
const silentRenewals = 2

// grantState is what the dispatcher of one backend server knows of its grants.
//
// The backend server's clock read clock at some time between asked and heard
// on the local clock, so at a later local time t it reads at least
// clock+(t-heard)(1-drift) and at most clock+(t-asked)(1+drift). Grants expire
// at a time on that clock, so that a delayed grant lengthens nothing.
type grantState struct {
	epoch       uint64
	sequence    uint64
	incarnation uint64 // 0 until the backend server answered
	clock       int64  // microseconds
	asked       time.Time
	heard       time.Time
	tried       time.Time
	lapsed      time.Time // by then every grant sent has surely lapsed
	leaving     bool      // as the backend server said last
	handover    handover
	share       share
}

// decideGrants renews the grants of the backend servers that the instance
// dispatches to.
func (c *Core) decideGrants(now time.Time) []Effect {
	var out []Effect
	for _, v := range c.state.ServicesInOrder() {
		for _, name := range v.ServerNames() {
			key := serverKey{service: v.Name, server: name}
			if v.Servers[name].Row.Dispatcher != c.self {
				delete(c.grants, key)
				continue
			}
			out = append(out, c.decideServer(v, v.Servers[name], now)...)
		}
	}
	return out
}

func (c *Core) decideServer(v *state.Service, server state.Server, now time.Time) []Effect {
	g := c.grant(v.Name, server, now)
	g.share.update(v, server.Row.Name)
	out := c.decideHandover(v, server, g, now)
	if server.Up && now.After(g.lapsed) {
		out = append(out, c.report(v, server, false, 0, now)...)
	}
	if v.Removed || now.Sub(g.tried) < c.state.Configuration.Timing.GrantRenewal.Std() {
		return out
	}
	return append(out, c.sendGrant(v, server, g, now))
}

// grant returns the grant state of server, new when the role is new: an
// earlier dispatcher may have sent grants until just now.
func (c *Core) grant(service string, server state.Server, now time.Time) *grantState {
	key := serverKey{service: service, server: server.Row.Name}
	g, ok := c.grants[key]
	if !ok || g.epoch != server.Epoch {
		g = &grantState{epoch: server.Epoch, lapsed: now.Add(c.surely(2 * c.ttl()))}
		if server.Up {
			g.handover.notBefore = now.Add(c.surely(c.patience(service)))
		}
		c.grants[key] = g
	}
	return g
}

// sendGrant asks for the clock of a backend server that is not known yet or
// fell silent, and otherwise grants the slots that it owns, but for drained
// ones. A silent server is sent no grant, since each would put off the time by
// which all have surely lapsed.
func (c *Core) sendGrant(v *state.Service, server state.Server, g *grantState, now time.Time) Effect {
	g.tried = now
	g.sequence++
	grant := backend.Grant{Service: v.Name, Server: server.Row.Name, Epoch: g.epoch, Sequence: g.sequence}
	silent := now.Sub(g.heard) > silentRenewals*c.state.Configuration.Timing.GrantRenewal.Std()
	if g.incarnation != 0 && !silent {
		grant.Incarnation = g.incarnation
		grant.UntilMicros = g.clock + (now.Sub(g.asked) + c.ttl()).Microseconds()
		g.share.update(v, server.Row.Name)
		g.handover.fill(&grant, &g.share, len(v.Slots))
		if lapsed := g.heard.Add(c.surely(now.Sub(g.asked) + c.ttl())); lapsed.After(g.lapsed) {
			g.lapsed = lapsed
		}
	}
	return SendGrant{Address: server.Row.Address, Grant: grant}
}

func (c *Core) grantAnswered(e GrantAnswered, now time.Time) []Effect {
	g, ok := c.grants[serverKey{service: e.Service, server: e.Server}]
	if !ok || g.epoch != e.Epoch || e.Err != "" {
		return nil
	}
	v := c.state.Services[e.Service]
	server := v.Servers[e.Server]
	g.leaving = e.Answer.Leaving
	if g.incarnation != e.Answer.Incarnation {
		return c.newRun(v, server, g, e, now)
	}
	asked, clock := g.asked, g.clock
	if e.Sent.After(g.asked) {
		g.asked, g.heard, g.clock = e.Sent, now, e.Answer.ClockMicros
	}
	if !e.Answer.Accepted || e.Grant.Incarnation == 0 {
		return nil
	}
	valid := time.Duration(e.Grant.UntilMicros-clock) * time.Microsecond
	out := []Effect{Authorize{
		Service: e.Service, Server: e.Server, Epoch: g.epoch, Incarnation: g.incarnation,
		Until: asked.Add(c.atMost(valid)), Granted: e.Grant.Slots, Held: g.handover.slots,
		Keys: e.Grant.Keys, Except: e.Grant.Except, HeldKeys: g.handover.keys,
	}}
	if !server.Up || server.Leaving != g.leaving {
		out = append(out, c.report(v, server, true, g.incarnation, now)...)
	}
	if g.handover.revokedBy(e.Grant, len(v.Slots)) {
		out = append(out, c.release(v, server, g, now)...)
	}
	return out
}

// newRun takes up a backend server that is seen for the first time or has
// restarted: the grants of its earlier run are void.
func (c *Core) newRun(v *state.Service, server state.Server, g *grantState, e GrantAnswered, now time.Time) []Effect {
	if e.Sent.Before(g.asked) {
		return nil
	}
	restarted := server.Up && server.Run != e.Answer.Incarnation
	g.incarnation, g.clock, g.asked, g.heard = e.Answer.Incarnation, e.Answer.ClockMicros, e.Sent, now
	var out []Effect
	if restarted {
		out = c.report(v, server, false, e.Answer.Incarnation, now)
	}
	return append(out, c.sendGrant(v, server, g, now))
}

func (c *Core) report(v *state.Service, server state.Server, up bool, run uint64, now time.Time) []Effect {
	body := record.ServerReported{Service: v.Name, Server: server.Row.Name, Epoch: server.Epoch, Up: up, Incarnation: run}
	if g, ok := c.grants[serverKey{service: v.Name, server: server.Row.Name}]; ok {
		body.Leaving = g.leaving
	}
	return c.propose("server/"+v.Name+"/"+server.Row.Name, body, now)
}

func (c *Core) ttl() time.Duration { return c.state.Configuration.Timing.Grant.Std() }

// surely returns how long to wait until d has passed on any clock in bounds.
func (c *Core) surely(d time.Duration) time.Duration {
	drift := time.Duration(c.state.Configuration.Timing.DriftPerMil)
	return d*1000/(1000-drift) + time.Millisecond
}

// atMost returns a wait in which no clock in bounds counts more than d.
func (c *Core) atMost(d time.Duration) time.Duration {
	drift := time.Duration(c.state.Configuration.Timing.DriftPerMil)
	return d * 1000 / (1000 + drift)
}

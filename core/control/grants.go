package control

import (
	"time"

	"bronzewind.example/core/backend"
	"bronzewind.example/core/record"
	"bronzewind.example/core/state"
)

// unresponsiveRenewals is the number of renewal times without an answer after which
// a backend server counts as silent.
const unresponsiveRenewals = 2

// grantState is what the dispatcher of one backend server knows of its grants.
//
// The backend server's clock read clock at some time between asked and heard
// on the local clock, so at a later local time t it reads at least
// clock+(t-heard)(1-drift) and at most clock+(t-asked)(1+drift). Grants expire
// at a time on that clock, so that a delayed grant lengthens nothing.
type grantState struct {
	epoch          uint64
	sequence       uint64
	incarnation    uint64 // 0 until the backend server answered
	clockMicros    int64  // microseconds
	clockRequested time.Time
	clockReceived  time.Time
	lastSent       time.Time
	unanswered     int       // sent since the last answer in time
	serviceVersion uint64    // of the service at the last grant
	roleBegan      time.Time // of the role
	expiredBy      time.Time // by then every grant sent has surely lapsed
	handingOver    bool      // the role is handed over, and all work held
	serverLeaving  bool      // as the backend server said last
	handover       handover
	owned          serverOwnership
}

// decideGrants renews the grants of the backend servers that the instance
// dispatches to.
func (c *Core) decideGrants(now time.Time) []Effect {
	var out []Effect
	for _, key := range c.ownServers() {
		v := c.state.Services[key.service]
		out = append(out, c.decideGrant(v, v.Servers[key.server], now)...)
	}
	return out
}

// ownServers returns the backend servers that the instance dispatches to, in
// order. They are looked for only when the fold has moved on, so that a step
// costs the same whatever the size of the fleet.
func (c *Core) ownServers() []serverKey {
	if c.own.valid && c.own.offset == c.state.Next {
		return c.own.keys
	}
	c.own = ownServersCache{valid: true, offset: c.state.Next}
	for _, v := range c.state.ServicesInOrder() {
		for _, name := range v.ServerNames() {
			key := serverKey{service: v.Name, server: name}
			if v.Servers[name].Row.Dispatcher != c.self {
				delete(c.grants, key)
				continue
			}
			c.own.keys = append(c.own.keys, key)
		}
	}
	return c.own.keys
}

func (c *Core) decideGrant(v *state.Service, server state.Server, now time.Time) []Effect {
	g := c.grantOf(v, server, now)
	g.owned.update(v, server.Row.Name)
	out := c.decidePauses(v, server, g, now)
	switch {
	case c.downReported(v.Name, server.Row.Name), server.Up && g.unanswered >= unresponsiveRenewals && now.After(g.expiredBy):
		out = append(out, c.proposeReport(v, server, false, 0, now)...)
	case server.Up && server.Handed && now.Sub(g.roleBegan) > c.earlierGrantsWait(v, server):
		out = append(out, c.proposeReport(v, server, true, server.Run, now)...)
	}
	changed := g.incarnation != 0 && g.serviceVersion != v.Version
	if v.Removed || !changed && now.Sub(g.lastSent) < c.timing().GrantRenewal.Std() {
		return out
	}
	return append(out, c.sendGrant(v, server, g, now))
}

// decidePauses holds what moves away, or all work when the role is handed over.
// Once the release of the role is on its way nothing is sent again, even when
// the next dispatcher is lost.
func (c *Core) decidePauses(v *state.Service, server state.Server, g *grantState, now time.Time) []Effect {
	_, released := c.pending[releaseSubject(v, server)]
	if released || c.state.IsMember(server.Row.Next) {
		return c.handOverRole(v, server, g, now)
	}
	if g.handingOver {
		g.handingOver, g.handover.slotKeySet = false, slotKeySet{}
	}
	return c.decideHandover(v, server, g, now)
}

// grantOf returns the grantOf state of server, new when the role is new: the
// grants and the work of an earlier dispatcher may not have ended.
func (c *Core) grantOf(v *state.Service, server state.Server, now time.Time) *grantState {
	key := serverKey{service: v.Name, server: server.Row.Name}
	g, ok := c.grants[key]
	if !ok || g.epoch != server.Epoch {
		g = &grantState{epoch: server.Epoch, roleBegan: now, expiredBy: now.Add(c.earlierGrantsWait(v, server))}
		if server.Up {
			g.handover.notBefore = now.Add(c.plusDrift(c.longestDeadline(v.Name)))
		}
		c.grants[key] = g
	}
	return g
}

// earlierGrantsWait returns the time from the begin of a role after which all that
// earlier dispatchers granted or sent has surely ended. Their grants last no
// longer than their leases but for the error of their reading of the backend
// server's clock; the role began after the lease, unless it was handed over.
func (c *Core) earlierGrantsWait(v *state.Service, server state.Server) time.Duration {
	if !c.checksGrants(v.Name) {
		return c.plusDrift(c.longestDeadline(v.Name))
	}
	wait := c.plusDrift(c.clockError()) + c.plusDrift(2*c.ttl()) - 2*c.ttl()
	if server.Handed {
		wait += c.plusDrift(c.ttl())
	}
	return wait
}

// clockError bounds the error of a reading of a backend server's clock: an
// answer that takes longer is not used as one.
func (c *Core) clockError() time.Duration { return c.timing().GrantRenewal.Std() }

// sendGrant asks for the clock of a backend server that is not known yet or
// fell silent, and otherwise grants the slots that it owns, but for drained
// ones, until the end of the own lease at most. A silent server is sent no
// grant, since each would put off the time by which all have surely lapsed; nor
// is one that was reported down, since the record may free its slots any time.
func (c *Core) sendGrant(v *state.Service, server state.Server, g *grantState, now time.Time) Effect {
	g.lastSent = now
	g.sequence++
	g.unanswered++
	g.serviceVersion = v.Version
	grant := backend.Grant{Service: v.Name, Server: server.Row.Name, Epoch: g.epoch, Sequence: g.sequence}
	silent := now.Sub(g.clockReceived) > unresponsiveRenewals*c.timing().GrantRenewal.Std()
	ttl := min(c.ttl(), c.leaseUntil().Sub(now))
	if g.incarnation != 0 && !silent && ttl > 0 && c.checksGrants(v.Name) && !c.downReported(v.Name, server.Row.Name) {
		grant.Incarnation = g.incarnation
		grant.UntilMicros = g.clockMicros + (now.Sub(g.clockRequested) + ttl).Microseconds()
		c.fillGrant(&grant, v, server, g)
		if lapsed := g.clockReceived.Add(c.plusDrift(now.Sub(g.clockRequested) + ttl)); lapsed.After(g.expiredBy) {
			g.expiredBy = lapsed
		}
	}
	return SendGrant{Address: server.Row.Address, Grant: grant, Checks: c.checksGrants(v.Name)}
}

// fillGrant writes what the server owns into grant. A role that is handed over
// keeps the server's grant as it is; the next dispatcher replaces it.
func (c *Core) fillGrant(grant *backend.Grant, v *state.Service, server state.Server, g *grantState) {
	g.owned.update(v, server.Row.Name)
	if g.handingOver {
		grant.Slots, grant.Keys, grant.Except = g.owned.slots, g.owned.keys, g.owned.except
		return
	}
	g.handover.fillGrant(grant, &g.owned, len(v.Slots))
}

func (c *Core) grantAnswered(e GrantAnswered, now time.Time) []Effect {
	g, ok := c.grants[serverKey{service: e.Service, server: e.Server}]
	if !ok || g.epoch != e.Epoch || e.Err != "" || !c.holdsLease(now) {
		return nil
	}
	v := c.state.Services[e.Service]
	server := v.Servers[e.Server]
	late := now.Sub(e.Sent) > c.clockError()
	if !late {
		g.unanswered, g.serverLeaving = 0, e.Answer.Leaving
	}
	if g.incarnation != e.Answer.Incarnation {
		return c.newServerIncarnation(v, server, g, e, now)
	}
	asked, clock := g.clockRequested, g.clockMicros
	if e.Sent.After(g.clockRequested) && !late {
		g.clockRequested, g.clockReceived, g.clockMicros = e.Sent, now, e.Answer.ClockMicros
	}
	if c.downReported(e.Service, e.Server) {
		return nil
	}
	if !c.checksGrants(e.Service) {
		return c.uncheckedGrantAnswered(v, server, g, e, now)
	}
	if !e.Answer.Accepted || e.Grant.Incarnation == 0 {
		return nil
	}
	valid := time.Duration(e.Grant.UntilMicros-clock) * time.Microsecond
	out := []Effect{c.authorize(g, e.Grant, asked.Add(c.minusDrift(valid)))}
	if !server.Up || server.Leaving != g.serverLeaving {
		out = append(out, c.proposeReport(v, server, true, g.incarnation, now)...)
	}
	if !g.handingOver && g.handover.revokedBy(e.Grant, len(v.Slots)) {
		out = append(out, c.releaseDrained(v, server, g, now)...)
	}
	return out
}

// authorize lets the local dispatcher send the work that grant gives, until
// the end of the grant or of the own lease.
func (c *Core) authorize(g *grantState, grant backend.Grant, until time.Time) Effect {
	if lease := c.leaseUntil(); lease.Before(until) {
		until = lease
	}
	return Authorize{
		Service: grant.Service, Server: grant.Server, Epoch: g.epoch, Incarnation: g.incarnation,
		Until: until, Granted: grant.Slots, Held: g.handover.slots,
		Keys: grant.Keys, Except: grant.Except, HeldKeys: g.handover.keys,
	}
}

// newServerIncarnation takes up a backend server that is seen for the first time or has
// restarted: the grants of its earlier run are void.
func (c *Core) newServerIncarnation(v *state.Service, server state.Server, g *grantState, e GrantAnswered, now time.Time) []Effect {
	if !e.Sent.After(g.clockRequested) || now.Sub(e.Sent) > c.clockError() {
		return nil
	}
	restarted := server.Up && server.Run != e.Answer.Incarnation
	g.incarnation, g.clockMicros, g.clockRequested, g.clockReceived = e.Answer.Incarnation, e.Answer.ClockMicros, e.Sent, now
	var out []Effect
	if restarted {
		out = c.proposeReport(v, server, false, e.Answer.Incarnation, now)
	}
	return append(out, c.sendGrant(v, server, g, now))
}

func (c *Core) proposeReport(v *state.Service, server state.Server, up bool, run uint64, now time.Time) []Effect {
	body := record.ServerReported{Service: v.Name, Server: server.Row.Name, Epoch: server.Epoch, Up: up, Incarnation: run}
	if g, ok := c.grants[serverKey{service: v.Name, server: server.Row.Name}]; ok {
		body.Leaving = g.serverLeaving
	}
	return c.propose(reportSubject(v.Name, server.Row.Name), body, now)
}

func reportSubject(service, server string) string { return "server/" + service + "/" + server }

// downReported reports whether a record that frees all slots of the backend
// server is on its way to the log.
func (c *Core) downReported(service, server string) bool {
	r, ok := c.pending[reportSubject(service, server)].record.Body.(record.ServerReported)
	return ok && !r.Up
}

func (c *Core) ttl() time.Duration { return c.state.Configuration.Timing.Grant.Std() }

// plusDrift returns how long to wait until d has passed on any clock in bounds.
func (c *Core) plusDrift(d time.Duration) time.Duration {
	drift := time.Duration(c.state.Configuration.Timing.DriftPerMil)
	return d*1000/(1000-drift) + time.Millisecond
}

// minusDrift returns a wait in which no clock in bounds counts more than d.
func (c *Core) minusDrift(d time.Duration) time.Duration {
	drift := time.Duration(c.state.Configuration.Timing.DriftPerMil)
	return d * 1000 / (1000 + drift)
}

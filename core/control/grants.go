package control

import (
	"time"

	"bronzewind.example/core/backend"
	"bronzewind.example/core/record"
	"bronzewind.example/core/state"
)

// unresponsiveRenewals is the number of renewal intervals without a response
// after which a backend server counts as unresponsive.
const unresponsiveRenewals = 2

// grantState is the state of the grants that the instance sends to one backend
// server.
//
// The clock of the backend server read clockMicros at some time between
// clockRequestedAt and clockReceivedAt on the local clock. At a later local time
// t it therefore reads at least clockMicros+(t-clockReceivedAt)(1-drift) and at
// most clockMicros+(t-clockRequestedAt)(1+drift). Grants expire at a time on
// that clock, so that a grant that is delivered late does not last longer.
type grantState struct {
	epoch            uint64 // of the dispatcher role
	sequence         uint64 // of the last grant sent
	incarnation      uint64 // of the backend server; 0 until it has responded
	clockMicros      int64  // reading of the backend server's clock
	clockRequestedAt time.Time
	clockReceivedAt  time.Time
	lastSent         time.Time
	unanswered       int       // grants sent since the last response that arrived within maxClockError
	serviceVersion   uint64    // version of the service at the last grant
	roleBeganAt      time.Time // start of the dispatcher role
	expiredBy        time.Time // by then every grant of this and earlier dispatchers, or every request sent if the server checks no grants, is guaranteed to have ended
	handingOver      bool      // the dispatcher role is being handed over, and all requests to the backend server are paused
	serverLeaving    bool      // the backend server leaves, according to its last response that arrived within maxClockError
	handover         handover
	owned            serverOwnership
}

// decideGrants renews the grants of the backend servers that the instance
// dispatches to.
func (c *Core) decideGrants(now time.Time) []Effect {
	var out []Effect
	for _, key := range c.dispatchedServers() {
		v := c.state.Services[key.service]
		out = append(out, c.decideGrant(v, v.Servers[key.server], now)...)
	}
	return out
}

// dispatchedServers returns the backend servers that the instance dispatches
// to, in order, and drops the grant states of all others. They are recomputed
// only after new records have been applied, so that the cost of a step does not
// depend on the size of the fleet.
func (c *Core) dispatchedServers() []serverKey {
	if c.dispatched.valid && c.dispatched.offset == c.state.Next {
		return c.dispatched.keys
	}
	c.dispatched = dispatchedServersCache{valid: true, offset: c.state.Next}
	for _, v := range c.state.ServicesInOrder() {
		for _, name := range v.ServerNames() {
			key := serverKey{service: v.Name, server: name}
			if v.Servers[name].Row.Dispatcher != c.self {
				delete(c.grants, key)
				continue
			}
			c.dispatched.keys = append(c.dispatched.keys, key)
		}
	}
	return c.dispatched.keys
}

// decideGrant pauses what is handed over, reports the backend server down or up
// if needed, and sends a grant when one is due.
func (c *Core) decideGrant(v *state.Service, server state.Server, now time.Time) []Effect {
	g := c.grantOf(v, server, now)
	g.owned.update(v, server.Row.Name)
	out := c.decidePauses(v, server, g, now)
	switch {
	case c.downReported(v.Name, server.Row.Name), server.Up && g.unanswered >= unresponsiveRenewals && now.After(g.expiredBy):
		out = append(out, c.proposeReport(v, server, false, 0, now)...)
	case server.Up && server.Handed && now.Sub(g.roleBeganAt) > c.earlierGrantsWait(v, server):
		// Report the server up again to clear Handed, now that grants of the
		// dispatcher that handed its role over have expired.
		out = append(out, c.proposeReport(v, server, true, server.Run, now)...)
	}
	changed := g.incarnation != 0 && g.serviceVersion != v.Version
	if v.Removed || !changed && now.Sub(g.lastSent) < c.timing().GrantRenewal.Std() {
		return out
	}
	return append(out, c.sendGrant(v, server, g, now))
}

// decidePauses pauses requests for what is being moved away, or all requests
// while the dispatcher role is being handed over. Once the release of the role
// has been proposed, requests stay paused even if the next dispatcher is lost,
// because the release may still be accepted.
func (c *Core) decidePauses(v *state.Service, server state.Server, g *grantState, now time.Time) []Effect {
	_, released := c.pending[roleReleaseSubject(v, server)]
	if released || c.state.IsMember(server.Row.Next) {
		return c.handOverRole(v, server, g, now)
	}
	if g.handingOver {
		g.handingOver, g.handover.slotKeySet = false, slotKeySet{}
	}
	return c.decideHandover(v, server, g, now)
}

// grantOf returns the grant state of server. For a new dispatcher role it
// starts a new state, because the grants and requests of an earlier dispatcher
// may still be in effect.
func (c *Core) grantOf(v *state.Service, server state.Server, now time.Time) *grantState {
	key := serverKey{service: v.Name, server: server.Row.Name}
	g, ok := c.grants[key]
	if !ok || g.epoch != server.Epoch {
		g = &grantState{epoch: server.Epoch, roleBeganAt: now, expiredBy: now.Add(c.earlierGrantsWait(v, server))}
		if server.Up {
			g.handover.notBefore = now.Add(c.plusDrift(c.maxRequestDuration(v.Name)))
		}
		c.grants[key] = g
	}
	return g
}

// earlierGrantsWait returns the time from the start of a dispatcher role after
// which all grants of earlier dispatchers are guaranteed to have expired or, if
// the servers check no grants, the deadlines of their requests to have passed.
// Grants outlast the lease of their dispatcher by at most the error of its
// reading of the backend server's clock, plus the drift between that reading
// and the end of the grant. These are at most 2*grantTTL apart: a reading is
// used for at most unresponsiveRenewals*GrantRenewal after its arrival, which
// is at most GrantRenewal after its request, and GrantRenewal is at most
// Grant/3. The role started after the earlier lease had ended, unless it was
// handed over.
func (c *Core) earlierGrantsWait(v *state.Service, server state.Server) time.Duration {
	if !c.checksGrants(v.Name) {
		return c.plusDrift(c.maxRequestDuration(v.Name))
	}
	wait := c.plusDrift(c.maxClockError()) + c.plusDrift(2*c.grantTTL()) - 2*c.grantTTL()
	if server.Handed {
		wait += c.plusDrift(c.grantTTL())
	}
	return wait
}

// maxClockError bounds the error of a reading of a backend server's clock: the
// reading in a response that takes longer is not used.
func (c *Core) maxClockError() time.Duration { return c.timing().GrantRenewal.Std() }

// sendGrant grants what a backend server owns, except what is drained, at most
// until the end of the instance's lease. It only requests the server's clock if
// the clock is not known yet, the server checks no grants, the lease has ended,
// or the server is unresponsive or being reported down: each grant to an
// unresponsive server would postpone the time by which all grants are
// guaranteed to have expired, and the record that reports a server down may
// free its slots at any time.
func (c *Core) sendGrant(v *state.Service, server state.Server, g *grantState, now time.Time) Effect {
	g.lastSent = now
	g.sequence++
	g.unanswered++
	g.serviceVersion = v.Version
	grant := backend.Grant{Service: v.Name, Server: server.Row.Name, Epoch: g.epoch, Sequence: g.sequence}
	unresponsive := now.Sub(g.clockReceivedAt) > unresponsiveRenewals*c.timing().GrantRenewal.Std()
	ttl := min(c.grantTTL(), c.leaseUntil().Sub(now))
	if g.incarnation != 0 && !unresponsive && ttl > 0 && c.checksGrants(v.Name) && !c.downReported(v.Name, server.Row.Name) {
		grant.Incarnation = g.incarnation
		grant.UntilMicros = g.clockMicros + (now.Sub(g.clockRequestedAt) + ttl).Microseconds()
		c.fillGrant(&grant, v, server, g)
		if expired := g.clockReceivedAt.Add(c.plusDrift(now.Sub(g.clockRequestedAt) + ttl)); expired.After(g.expiredBy) {
			g.expiredBy = expired
		}
	}
	return SendGrant{Address: server.Row.Address, Grant: grant, ChecksGrants: c.checksGrants(v.Name)}
}

// fillGrant writes what the server owns into grant. While the dispatcher role
// is being handed over, the server keeps its whole grant; the next dispatcher
// replaces it.
func (c *Core) fillGrant(grant *backend.Grant, v *state.Service, server state.Server, g *grantState) {
	g.owned.update(v, server.Row.Name)
	if g.handingOver {
		grant.Slots, grant.Keys, grant.Except = g.owned.slots, g.owned.keys, g.owned.except
		return
	}
	g.handover.fillGrantExceptDrained(grant, &g.owned, len(v.Slots))
}

// grantCompleted handles the completion of a SendGrant. It computes the end of
// the grant on the local clock from the clock reading stored before this response.
func (c *Core) grantCompleted(e GrantCompleted, now time.Time) []Effect {
	g, ok := c.grants[serverKey{service: e.Service, server: e.Server}]
	if !ok || g.epoch != e.Epoch || e.Err != "" || !c.holdsLease(now) {
		return nil
	}
	v := c.state.Services[e.Service]
	server := v.Servers[e.Server]
	late := now.Sub(e.Sent) > c.maxClockError()
	if !late {
		g.unanswered, g.serverLeaving = 0, e.Response.Leaving
	}
	if g.incarnation != e.Response.Incarnation {
		return c.newServerIncarnation(v, server, g, e, now)
	}
	clockRequestedAt, clockMicros := g.clockRequestedAt, g.clockMicros
	if e.Sent.After(g.clockRequestedAt) && !late {
		g.clockRequestedAt, g.clockReceivedAt, g.clockMicros = e.Sent, now, e.Response.ClockMicros
	}
	if c.downReported(e.Service, e.Server) {
		return nil
	}
	if !c.checksGrants(e.Service) {
		return c.uncheckedGrantAnswered(v, server, g, e, now)
	}
	if !e.Response.Accepted || e.Grant.Incarnation == 0 {
		return nil
	}
	valid := time.Duration(e.Grant.UntilMicros-clockMicros) * time.Microsecond
	out := []Effect{c.authorize(g, e.Grant, clockRequestedAt.Add(c.minusDrift(valid)))}
	if !server.Up || server.Leaving != g.serverLeaving {
		out = append(out, c.proposeReport(v, server, true, g.incarnation, now)...)
	}
	if !g.handingOver && g.handover.revokedBy(e.Grant, len(v.Slots)) {
		out = append(out, c.releaseDrained(v, server, g, now)...)
	}
	return out
}

// authorize allows the local dispatcher to send requests for what grant covers,
// until the grant or the instance's lease ends.
func (c *Core) authorize(g *grantState, grant backend.Grant, until time.Time) Effect {
	if lease := c.leaseUntil(); lease.Before(until) {
		until = lease
	}
	return Authorize{
		Service: grant.Service, Server: grant.Server, Epoch: g.epoch, Incarnation: g.incarnation,
		Until: until, Granted: grant.Slots, PausedSlots: g.handover.slots,
		Keys: grant.Keys, Except: grant.Except, PausedKeys: g.handover.keys,
	}
}

// newServerIncarnation handles a backend server that responds for the first
// time or has restarted: grants to its earlier incarnation are void.
func (c *Core) newServerIncarnation(v *state.Service, server state.Server, g *grantState, e GrantCompleted, now time.Time) []Effect {
	if !e.Sent.After(g.clockRequestedAt) || now.Sub(e.Sent) > c.maxClockError() {
		return nil
	}
	restarted := server.Up && server.Run != e.Response.Incarnation
	g.incarnation, g.clockMicros, g.clockRequestedAt, g.clockReceivedAt = e.Response.Incarnation, e.Response.ClockMicros, e.Sent, now
	var out []Effect
	if restarted {
		out = c.proposeReport(v, server, false, e.Response.Incarnation, now)
	}
	return append(out, c.sendGrant(v, server, g, now))
}

func (c *Core) proposeReport(v *state.Service, server state.Server, up bool, incarnation uint64, now time.Time) []Effect {
	body := record.ServerReported{Service: v.Name, Server: server.Row.Name, Epoch: server.Epoch, Up: up, Incarnation: incarnation}
	if g, ok := c.grants[serverKey{service: v.Name, server: server.Row.Name}]; ok {
		body.Leaving = g.serverLeaving
	}
	return c.propose(reportSubject(v.Name, server.Row.Name), body, now)
}

func reportSubject(service, server string) string { return "server/" + service + "/" + server }

// downReported reports whether a record that reports the backend server down,
// and so frees all its slots, is pending.
func (c *Core) downReported(service, server string) bool {
	r, ok := c.pending[reportSubject(service, server)].record.Body.(record.ServerReported)
	return ok && !r.Up
}

func (c *Core) grantTTL() time.Duration { return c.state.Configuration.Timing.Grant.Std() }

// plusDrift returns how long to wait on the local clock until d is guaranteed
// to have passed on any clock whose drift is within the configured bound.
func (c *Core) plusDrift(d time.Duration) time.Duration {
	drift := time.Duration(c.state.Configuration.Timing.DriftPerMil)
	return d*1000/(1000-drift) + time.Millisecond
}

// minusDrift returns a duration on the local clock in which a clock whose drift
// is within the configured bound advances by at most d.
func (c *Core) minusDrift(d time.Duration) time.Duration {
	drift := time.Duration(c.state.Configuration.Timing.DriftPerMil)
	return d * 1000 / (1000 + drift)
}

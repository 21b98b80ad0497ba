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
	unanswered  int                // sent since the last answer
	version     uint64             // of the service at the last grant
	began       time.Time          // of the role
	lapsed      time.Time          // by then every grant sent has surely lapsed
	held        []record.SlotRange // slots that move away and take no new work
	heldSince   time.Time
	drained     bool // the held slots have no work in flight
	handing     bool // all slots are held because the role is handed over
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
	g := c.grant(v, server, now)
	out := c.decideHeld(v, server, g, now)
	silent := g.unanswered >= silentRenewals && now.Sub(g.tried) > 0
	switch {
	case server.Up && silent && now.After(g.lapsed):
		out = append(out, c.report(v, server, false, 0, now)...)
	case server.Up && server.Handed && now.Sub(g.began) > c.surely(2*c.ttl()):
		out = append(out, c.report(v, server, true, server.Run, now)...)
	}
	if now.Sub(g.tried) < c.timing().GrantRenewal.Std() && (g.version == v.Version || g.incarnation == 0) {
		return out
	}
	return append(out, c.sendGrant(v, server, g, now))
}

// decideHeld holds slots that move away, or all when the role is handed over.
func (c *Core) decideHeld(v *state.Service, server state.Server, g *grantState, now time.Time) []Effect {
	if g.handing && !c.state.IsMember(server.Row.Next) {
		g.handing, g.held, g.drained = false, nil, false
	}
	if g.handing || c.state.IsMember(server.Row.Next) {
		return c.handOver(v, server, g, now)
	}
	moving := movingFrom(v, server.Row.Name)
	if len(moving) == 0 || len(g.held) > 0 {
		return nil
	}
	return c.hold(v, server, g, moving, now)
}

func (c *Core) hold(v *state.Service, server state.Server, g *grantState, ranges []record.SlotRange, now time.Time) []Effect {
	g.held, g.heldSince, g.drained = ranges, now, false
	return []Effect{HoldSlots{Service: v.Name, Server: server.Row.Name, Ranges: ranges, Limit: c.timing().DrainLimit.Std()}}
}

// grant returns the grant state of server, new when the role is new: the
// grants of an earlier dispatcher may still hold.
func (c *Core) grant(v *state.Service, server state.Server, now time.Time) *grantState {
	key := serverKey{service: v.Name, server: server.Row.Name}
	g, ok := c.grants[key]
	if !ok || g.epoch != server.Epoch {
		g = &grantState{epoch: server.Epoch, began: now, lapsed: now.Add(c.earlierGrants(v, server))}
		c.grants[key] = g
	}
	return g
}

// earlierGrants returns the time from the begin of a role after which all that
// earlier dispatchers granted or sent has surely ended. Their grants last no
// longer than their leases but for the error of their reading of the backend
// server's clock; the role began after the lease, unless it was handed over.
func (c *Core) earlierGrants(v *state.Service, server state.Server) time.Duration {
	if !c.checks(v.Name) {
		return c.surely(c.longestDeadline(v.Name))
	}
	wait := c.surely(c.timing().GrantRenewal.Std()) + c.surely(2*c.ttl()) - 2*c.ttl()
	if server.Handed {
		wait += c.surely(c.ttl())
	}
	return wait
}

// sendGrant asks for the clock of a backend server that is not known yet or
// fell silent, and otherwise grants the slots that it owns, but for drained
// ones, until the end of the own lease at most. A silent server is sent no
// grant, since each would put off the time by which all have surely lapsed.
func (c *Core) sendGrant(v *state.Service, server state.Server, g *grantState, now time.Time) Effect {
	g.tried = now
	g.sequence++
	g.unanswered++
	g.version = v.Version
	grant := backend.Grant{Service: v.Name, Server: server.Row.Name, Epoch: g.epoch, Sequence: g.sequence}
	silent := now.Sub(g.heard) > silentRenewals*c.timing().GrantRenewal.Std()
	ttl := min(c.ttl(), c.leaseUntil().Sub(now))
	if g.incarnation != 0 && !silent && ttl > 0 && c.checks(v.Name) {
		grant.Incarnation = g.incarnation
		grant.UntilMicros = g.clock + (now.Sub(g.asked) + ttl).Microseconds()
		grant.Slots = v.OwnedBy(server.Row.Name)
		if g.drained && !g.handing {
			grant.Slots = subtract(grant.Slots, g.held)
		}
		if lapsed := g.heard.Add(c.surely(now.Sub(g.asked) + ttl)); lapsed.After(g.lapsed) {
			g.lapsed = lapsed
		}
	}
	return SendGrant{Address: server.Row.Address, Grant: grant, Checks: c.checks(v.Name)}
}

func (c *Core) grantAnswered(e GrantAnswered, now time.Time) []Effect {
	g, ok := c.grants[serverKey{service: e.Service, server: e.Server}]
	if !ok || g.epoch != e.Epoch || e.Err != "" || !c.holdsLease(now) {
		return nil
	}
	v := c.state.Services[e.Service]
	server := v.Servers[e.Server]
	if now.Sub(e.Sent) <= c.timing().GrantRenewal.Std() {
		g.unanswered = 0
	}
	if g.incarnation != e.Answer.Incarnation {
		return c.newRun(v, server, g, e, now)
	}
	if !c.checks(e.Service) {
		return c.uncheckedAnswered(v, server, g, e, now)
	}
	asked, clock := g.asked, g.clock
	c.readClock(g, e, now)
	if !e.Answer.Accepted || e.Grant.Incarnation == 0 {
		return nil
	}
	valid := time.Duration(e.Grant.UntilMicros-clock) * time.Microsecond
	out := []Effect{c.authorize(v, server, g, e.Grant.Slots, asked.Add(c.atMost(valid)))}
	if !server.Up {
		out = append(out, c.report(v, server, true, g.incarnation, now)...)
	}
	if g.drained && !g.handing && len(g.held) > 0 && disjoint(e.Grant.Slots, g.held) {
		out = append(out, c.releaseHeld(v, g, now)...)
	}
	return out
}

// readClock takes the backend server's clock from an answer. One that took
// longer than a renewal time would make grants outlast the own lease by more
// than a successor waits.
func (c *Core) readClock(g *grantState, e GrantAnswered, now time.Time) {
	if e.Sent.After(g.asked) && now.Sub(e.Sent) <= c.timing().GrantRenewal.Std() {
		g.asked, g.heard, g.clock = e.Sent, now, e.Answer.ClockMicros
	}
}

// authorize lets the local dispatcher send work until the end of the grant or
// of the own lease.
func (c *Core) authorize(v *state.Service, server state.Server, g *grantState, slots []record.SlotRange, until time.Time) Effect {
	if lease := c.leaseUntil(); lease.Before(until) {
		until = lease
	}
	return Authorize{
		Service: v.Name, Server: server.Row.Name, Epoch: g.epoch, Incarnation: g.incarnation,
		Until: until, Granted: slots, Held: g.held,
	}
}

// newRun takes up a backend server that is seen for the first time or has
// restarted: the grants of its earlier run are void.
func (c *Core) newRun(v *state.Service, server state.Server, g *grantState, e GrantAnswered, now time.Time) []Effect {
	if !e.Sent.After(g.asked) || now.Sub(e.Sent) > c.timing().GrantRenewal.Std() {
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
	return c.propose("server/"+v.Name+"/"+server.Row.Name, body, now)
}

func (c *Core) drained(e SlotsDrained, now time.Time) []Effect {
	g, ok := c.grants[serverKey{service: e.Service, server: e.Server}]
	if !ok || len(g.held) == 0 || len(subtract(g.held, e.Ranges)) > 0 || !c.holdsLease(now) {
		return nil
	}
	v := c.state.Services[e.Service]
	g.drained = true
	return []Effect{c.sendGrant(v, v.Servers[e.Server], g, now)}
}

// releaseHeld records that the backend server gave up the held slots.
func (c *Core) releaseHeld(v *state.Service, g *grantState, now time.Time) []Effect {
	held := g.held
	g.held, g.drained = nil, false
	server := held[0].Server
	return c.propose("release/"+v.Name+"/"+server, record.SlotsReleased{Service: v.Name, Epoch: g.epoch, Ranges: held}, now)
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

// movingFrom returns the slots that server owns and that have a next owner.
func movingFrom(v *state.Service, server string) []record.SlotRange {
	var out []record.SlotRange
	for _, r := range v.OwnedBy(server) {
		for i := r.First; i <= r.Last; i++ {
			if v.Slots[i].Next == "" {
				continue
			}
			if n := len(out); n > 0 && out[n-1].Last+1 == i {
				out[n-1].Last = i
				continue
			}
			out = append(out, record.SlotRange{First: i, Last: i, Server: server})
		}
	}
	return out
}

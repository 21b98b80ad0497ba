package control

import (
	"slices"
	"time"

	"bronzewind.example/core/config"
	"bronzewind.example/core/record"
	"bronzewind.example/core/state"
)

const (
	// logRenewalRetry is how long a renewal through the log may stay unread
	// before another one is written.
	logRenewalRetry = 300 * time.Millisecond
	// maxLogReadAge is the time without RecordsRead after which a missing
	// renewal no longer shows that a member has stopped renewing.
	maxLogReadAge = time.Second
	// maxHeartbeatRounds bounds the number of heartbeat rounds whose responses
	// are still accepted.
	maxHeartbeatRounds = 16
	// logRenewalDivisor is the divisor of the lease: a member whose witnesses
	// do not respond renews through the log once 1/logRenewalDivisor of the
	// lease is left.
	logRenewalDivisor = 3
)

// leaseState is the state of the instance's own lease.
type leaseState struct {
	round           uint64 // number of the last heartbeat
	lastHeartbeatAt time.Time
	roundEnds       map[uint64]time.Time        // end of the lease by round, if a majority responds
	promisedUntil   map[record.Writer]time.Time // by witness: until then the witness is guaranteed not to vote the instance lost
	unreadRenewals  map[string]time.Time        // end of the lease by ID of a record not read back yet
	loggedUntil     time.Time                   // end of the lease according to records read back
	lastRenewalAt   time.Time                   // when the last renewal through the log was written
	relinquished    bool                        // the incarnation is leaving and no longer uses its lease
}

func newLeaseState() leaseState {
	return leaseState{
		roundEnds:      map[uint64]time.Time{},
		promisedUntil:  map[record.Writer]time.Time{},
		unreadRenewals: map[string]time.Time{},
	}
}

// leaseUntil returns the time until which the instance's lease is guaranteed to
// hold.
func (c *Core) leaseUntil() time.Time {
	if c.lease.relinquished || !c.state.IsMember(c.self) {
		return time.Time{}
	}
	until := c.lease.loggedUntil
	if w := c.witnessedUntil(c.state.Members[c.self.Instance].Witnesses); w.After(until) {
		until = w
	}
	return until
}

// witnessedUntil returns the time until which a majority of the witnesses ws
// has promised the lease.
func (c *Core) witnessedUntil(ws []record.Writer) time.Time {
	if len(ws) == 0 {
		return time.Time{}
	}
	ends := make([]time.Time, 0, len(ws))
	for _, w := range ws {
		ends = append(ends, c.lease.promisedUntil[w])
	}
	slices.SortFunc(ends, func(a, b time.Time) int { return b.Compare(a) })
	return ends[state.Majority(len(ends))-1]
}

// holdsLease reports whether the instance holds its lease at now, and so may
// use its roles.
func (c *Core) holdsLease(now time.Time) bool { return now.Before(c.leaseUntil()) }

func (c *Core) timing() *config.Timing { return &c.state.Configuration.Timing }

// leaseEndFrom returns the end of a lease that begins at now.
func (c *Core) leaseEndFrom(now time.Time) time.Time {
	return now.Add(c.minusDrift(c.timing().Lease.Std()))
}

// decideLease renews the instance's lease through its witnesses, and through
// the log while it has none or they do not respond.
func (c *Core) decideLease(now time.Time) []Effect {
	m := c.state.Members[c.self.Instance]
	if c.lease.relinquished {
		return c.propose("leave", record.InstanceLeft{}, now)
	}
	out := c.sendHeartbeats(m, now)
	if left := c.leaseUntil().Sub(now); len(m.Witnesses) > 0 && left > c.timing().Lease.Std()/logRenewalDivisor {
		return out
	}
	return append(out, c.renewThroughLog(now)...)
}

// renewThroughLog writes a renewal at each heartbeat interval. Each renewal has
// a new ID, because the lease counts from the creation of its record.
func (c *Core) renewThroughLog(now time.Time) []Effect {
	wait := c.timing().Heartbeat.Std()
	if len(c.lease.unreadRenewals) > 0 {
		wait = logRenewalRetry
	}
	if now.Sub(c.lease.lastRenewalAt) < wait {
		return nil
	}
	c.lease.lastRenewalAt = now
	delete(c.pending, "lease")
	for id, end := range c.lease.unreadRenewals {
		if now.After(end) {
			delete(c.lease.unreadRenewals, id)
		}
	}
	out := c.propose("lease", record.LeaseRenewed{}, now)
	c.lease.unreadRenewals[c.pending["lease"].record.ID] = c.leaseEndFrom(now)
	return out
}

// renewalRead extends the lease if the record with the given ID is a renewal of
// this instance.
func (c *Core) renewalRead(id string) {
	end, ok := c.lease.unreadRenewals[id]
	if !ok {
		return
	}
	delete(c.lease.unreadRenewals, id)
	if end.After(c.lease.loggedUntil) {
		c.lease.loggedUntil = end
	}
}

func (c *Core) sendHeartbeats(m state.Member, now time.Time) []Effect {
	if len(m.Witnesses) == 0 || now.Sub(c.lease.lastHeartbeatAt) < c.timing().Heartbeat.Std() {
		return nil
	}
	c.lease.lastHeartbeatAt = now
	c.lease.round++
	c.lease.roundEnds[c.lease.round] = c.leaseEndFrom(now)
	delete(c.lease.roundEnds, c.lease.round-maxHeartbeatRounds)
	out := make([]Effect, 0, len(m.Witnesses))
	for _, w := range m.Witnesses {
		out = append(out, SendMessage{To: w, Message: Heartbeat{Round: c.lease.round, Lease: c.timing().Lease.Std()}})
	}
	return out
}

func (c *Core) heartbeatAnswered(from record.Writer, e HeartbeatResponse) {
	end, ok := c.lease.roundEnds[e.Round]
	if ok && end.After(c.lease.promisedUntil[from]) {
		c.lease.promisedUntil[from] = end
	}
}

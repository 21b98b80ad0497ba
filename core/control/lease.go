package control

import (
	"slices"
	"time"

	"bronzewind.example/core/config"
	"bronzewind.example/core/record"
	"bronzewind.example/core/state"
)

const (
	// logRenewalLimit is how long a renewal through the log may stay unread
	// before another one is written.
	logRenewalLimit = 300 * time.Millisecond
	// logSilence is the time without a word from the log after which nothing
	// is concluded from what it does not show.
	logSilence = time.Second
	// maxRounds bounds the heartbeat rounds whose answers still count.
	maxRounds = 16
	// logRenewalShare is the share of the lease at whose rest a member whose
	// witnesses do not answer renews through the log.
	logRenewalShare = 3
)

// leaseState is what an instance knows of its own lease.
type leaseState struct {
	round    uint64                      // of the last heartbeat
	sent     time.Time                   // of the last heartbeat
	rounds   map[uint64]time.Time        // end of the lease by round, if a majority answers
	promised map[record.Writer]time.Time // until then the witness surely votes nothing
	renewals map[string]time.Time        // end of the lease by ID of a record not read back yet
	logged   time.Time                   // end of the lease by records read back
	wrote    time.Time                   // of the last renewal through the log
	gaveUp   bool                        // the run leaves; its lease is used no more
}

func newLeaseState() leaseState {
	return leaseState{
		rounds:   map[uint64]time.Time{},
		promised: map[record.Writer]time.Time{},
		renewals: map[string]time.Time{},
	}
}

// leaseUntil returns the time until which the own lease surely holds.
func (c *Core) leaseUntil() time.Time {
	if c.lease.gaveUp || !c.state.IsMember(c.self) {
		return time.Time{}
	}
	until := c.lease.logged
	if w := c.witnessedUntil(c.state.Members[c.self.Instance].Witnesses); w.After(until) {
		until = w
	}
	return until
}

// witnessedUntil returns the time up to which a majority of ws has promised.
func (c *Core) witnessedUntil(ws []record.Writer) time.Time {
	if len(ws) == 0 {
		return time.Time{}
	}
	ends := make([]time.Time, 0, len(ws))
	for _, w := range ws {
		ends = append(ends, c.lease.promised[w])
	}
	slices.SortFunc(ends, func(a, b time.Time) int { return b.Compare(a) })
	return ends[state.Majority(len(ends))-1]
}

// holdsLease reports whether the instance may use its authority at now.
func (c *Core) holdsLease(now time.Time) bool { return now.Before(c.leaseUntil()) }

func (c *Core) timing() *config.Timing { return &c.state.Configuration.Timing }

// leaseEnd returns the end of a lease that is counted from now on.
func (c *Core) leaseEnd(now time.Time) time.Time {
	return now.Add(c.atMost(c.timing().Lease.Std()))
}

// decideLease renews the own lease: through the witnesses, and through the log
// while there are none or they do not answer.
func (c *Core) decideLease(now time.Time) []Effect {
	m := c.state.Members[c.self.Instance]
	if c.lease.gaveUp {
		return c.propose("leave", record.InstanceLeft{}, now)
	}
	out := c.sendHeartbeats(m, now)
	if left := c.leaseUntil().Sub(now); len(m.Witnesses) > 0 && left > c.timing().Lease.Std()/logRenewalShare {
		return out
	}
	return append(out, c.renewThroughLog(now)...)
}

// renewThroughLog writes a renewal at each heartbeat time. It takes a new ID
// each time, because a lease counts from the making of its record.
func (c *Core) renewThroughLog(now time.Time) []Effect {
	wait := c.timing().Heartbeat.Std()
	if len(c.lease.renewals) > 0 {
		wait = logRenewalLimit
	}
	if now.Sub(c.lease.wrote) < wait {
		return nil
	}
	c.lease.wrote = now
	delete(c.pending, "lease")
	for id, end := range c.lease.renewals {
		if now.After(end) {
			delete(c.lease.renewals, id)
		}
	}
	out := c.propose("lease", record.LeaseRenewed{}, now)
	c.lease.renewals[c.pending["lease"].record.ID] = c.leaseEnd(now)
	return out
}

// renewalRead takes note of an own record that renews the lease.
func (c *Core) renewalRead(id string) {
	end, ok := c.lease.renewals[id]
	if !ok {
		return
	}
	delete(c.lease.renewals, id)
	if end.After(c.lease.logged) {
		c.lease.logged = end
	}
}

func (c *Core) sendHeartbeats(m state.Member, now time.Time) []Effect {
	if len(m.Witnesses) == 0 || now.Sub(c.lease.sent) < c.timing().Heartbeat.Std() {
		return nil
	}
	c.lease.sent = now
	c.lease.round++
	c.lease.rounds[c.lease.round] = c.leaseEnd(now)
	delete(c.lease.rounds, c.lease.round-maxRounds)
	out := make([]Effect, 0, len(m.Witnesses))
	for _, w := range m.Witnesses {
		out = append(out, SendMessage{To: w, Message: Heartbeat{Round: c.lease.round, Lease: c.timing().Lease.Std()}})
	}
	return out
}

func (c *Core) heartbeatAnswered(from record.Writer, e HeartbeatAnswer) {
	end, ok := c.lease.rounds[e.Round]
	if ok && end.After(c.lease.promised[from]) {
		c.lease.promised[from] = end
	}
}

package control

import (
	"slices"
	"time"

	"bronzewind.example/core/record"
	"bronzewind.example/core/state"
)

const (
	// lossStagger is the wait between the first and the next instance that may
	// write the same loss or claim.
	lossStagger = 50 * time.Millisecond
	// maxStaggered bounds how long the last of many waits.
	maxStaggered = 8
)

type (
	// watch is what a witness knows of one member's lease.
	watch struct {
		until  time.Time // the promise to the member surely ends on its clock
		voted  bool      // the member is never answered again
		sent   time.Time // of the last vote
		votes  []record.Writer
		proved time.Time // when the votes became a majority; zero before
	}

	// logLease is what the log shows of the lease of a member without witnesses.
	logLease struct {
		version uint64
		read    time.Time // when version was folded
	}
)

// watchMembers brings watches and log leases in line with the members. A
// member whose witness the instance has just become counts as heard of now.
func (c *Core) watchMembers(now time.Time) {
	for w := range c.watches {
		if !c.isWitnessOf(w) {
			delete(c.watches, w)
		}
	}
	for w := range c.logLeases {
		if !c.state.IsMember(w) {
			delete(c.logLeases, w)
			c.ended[w] = now
		}
	}
	c.watched, c.unwitnessed = nil, nil
	for i, name := range c.state.MemberNames() {
		m := c.state.Members[name]
		c.watchMember(m, now)
		if m.Writer == c.self {
			c.rank = i % maxStaggered
		} else if len(m.Witnesses) == 0 {
			c.unwitnessed = append(c.unwitnessed, m.Writer)
		}
	}
	c.forgetEnded(now)
}

func (c *Core) watchMember(m state.Member, now time.Time) {
	l, ok := c.logLeases[m.Writer]
	if !ok || l.version != m.LeaseVersion {
		c.logLeases[m.Writer] = logLease{version: m.LeaseVersion, read: now}
		if m.Writer == c.self {
			c.lease.named = now
		}
	}
	if !c.isWitnessOf(m.Writer) {
		return
	}
	if _, ok := c.watches[m.Writer]; !ok {
		c.watches[m.Writer] = &watch{until: now.Add(c.surely(c.longestLease))}
	}
	c.watched = append(c.watched, m.Writer)
}

// forgetEnded drops members that ended so long ago that nothing waits for it.
func (c *Core) forgetEnded(now time.Time) {
	for w, at := range c.ended {
		if now.Sub(at) > 2*c.surely(c.longestLease) {
			delete(c.ended, w)
		}
	}
}

// promisesLapsed reports whether all that w promised before its membership
// ended has surely lapsed.
func (c *Core) promisesLapsed(w record.Writer, now time.Time) bool {
	at, ok := c.ended[w]
	return !ok || now.Sub(at) > c.surely(c.longestLease)
}

func (c *Core) isWitnessOf(w record.Writer) bool {
	return c.state.IsMember(w) && slices.Contains(c.state.Members[w.Instance].Witnesses, c.self)
}

// graceAfterGap counts all watched members as heard of now, after a time in
// which the instance could not hear them.
func (c *Core) graceAfterGap(now time.Time) {
	if c.state.Configuration == nil {
		return
	}
	for _, w := range c.watches {
		if end := now.Add(c.surely(c.longestLease)); end.After(w.until) {
			w.until = end
		}
	}
}

// answerHeartbeat promises the sender a lease. A lease longer than any that
// the instance knows of is not promised: the instance lags behind the
// configuration.
func (c *Core) answerHeartbeat(from record.Writer, h Heartbeat, now time.Time) []Effect {
	w, ok := c.watches[from]
	if !ok || w.voted || !c.holdsLease(now) || h.Lease > c.longestLease {
		return nil
	}
	if end := now.Add(c.surely(h.Lease)); end.After(w.until) {
		w.until = end
	}
	return []Effect{SendMessage{To: from, Message: HeartbeatAnswer{Round: h.Round}}}
}

// decideVotes votes silent members lost, tells the votes to the other
// witnesses, and writes a loss that a majority proves.
func (c *Core) decideVotes(now time.Time) []Effect {
	holds := c.holdsLease(now)
	if holds && !c.held {
		c.graceAfterGap(now)
	}
	c.held = holds
	var out []Effect
	for _, member := range c.watched {
		out = append(out, c.decideVote(c.state.Members[member.Instance], c.watches[member], holds, now)...)
	}
	return out
}

func (c *Core) decideVote(m state.Member, w *watch, holds bool, now time.Time) []Effect {
	if holds && !w.voted && now.After(w.until) {
		w.voted = true
		w.vote(c.self)
	}
	var out []Effect
	if w.voted && now.Sub(w.sent) >= c.timing().Heartbeat.Std() {
		w.sent = now
		out = c.sendVotes(m)
	}
	if !provesLoss(m, w.votes) {
		w.proved = time.Time{}
		return out
	}
	if w.proved.IsZero() {
		w.proved = now
	}
	rank := slices.Index(m.Witnesses, c.self)
	if now.Sub(w.proved) < time.Duration(rank)*lossStagger {
		return out
	}
	return append(out, c.proposeLoss(m, now)...)
}

// sendVotes tells the vote to the other witnesses and to the member itself,
// which may still live and then has the instance replaced.
func (c *Core) sendVotes(m state.Member) []Effect {
	out := []Effect{SendMessage{To: m.Writer, Message: LostVote{Member: m.Writer}}}
	for _, w := range m.Witnesses {
		if w != c.self {
			out = append(out, SendMessage{To: w, Message: LostVote{Member: m.Writer}})
		}
	}
	return out
}

func (w *watch) vote(by record.Writer) {
	if !slices.Contains(w.votes, by) {
		w.votes = append(w.votes, by)
	}
}

// provesLoss reports whether votes hold a majority of the witnesses of m.
func provesLoss(m state.Member, votes []record.Writer) bool {
	n := 0
	for _, w := range m.Witnesses {
		if slices.Contains(votes, w) {
			n++
		}
	}
	return len(m.Witnesses) > 0 && n >= state.Majority(len(m.Witnesses))
}

func (c *Core) voteReceived(from record.Writer, v LostVote) {
	if v.Member == c.self {
		if !slices.Contains(c.refused, from) {
			c.refused = append(c.refused, from)
		}
		return
	}
	if w, ok := c.watches[v.Member]; ok {
		w.vote(from)
	}
}

func (c *Core) proposeLoss(m state.Member, now time.Time) []Effect {
	return c.propose("lost/"+m.Writer.String(), record.InstanceLost{Member: m.Writer, Base: m.LeaseVersion}, now)
}

// decideLogLosses writes the loss of members without witnesses whose renewals
// ended. The record is void when a renewal came before it in the log.
func (c *Core) decideLogLosses(now time.Time) []Effect {
	if now.Sub(c.logHeard) > logSilence {
		return nil
	}
	var out []Effect
	wait := c.surely(c.longestLease) + time.Duration(c.rank)*lossStagger
	for _, w := range c.unwitnessed {
		if now.Sub(c.logLeases[w].read) > wait {
			out = append(out, c.proposeLoss(c.state.Members[w.Instance], now)...)
		}
	}
	return out
}

// decideEarlierRun writes the loss of an earlier run of the own instance that
// nobody else can prove. Answers of witnesses go to the address in the log; a
// run that has held that address for two leases has cut the earlier one off.
func (c *Core) decideEarlierRun(now time.Time) []Effect {
	m, ok := c.state.Members[c.self.Instance]
	if !ok || m.Writer == c.self || c.state.Configuration == nil {
		return nil
	}
	wait := 2 * c.surely(c.longestLease)
	if m.Joined.Control != c.joined.Control || now.Sub(c.began) < wait || now.Sub(c.logLeases[m.Writer].read) < wait {
		return nil
	}
	return c.proposeLoss(m, now)
}

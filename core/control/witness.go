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
		version uint64    // of the lease; a new one starts the watch anew
		until   time.Time // the promise to the member surely ends on its clock
		voted   bool      // the member is not answered at this version any more
		sent    time.Time // of the last vote
		votes   []record.Writer
		proved  time.Time // when the votes became a majority; zero before
	}

	// witnessing is what an instance knows of the leases of others.
	witnessing struct {
		heard       time.Time                   // when the last message of another instance came
		connected   bool                        // as of the last step; an instance that hears nobody votes nobody lost
		seen        uint64                      // the fold's next offset when the members were last looked over
		rank        int                         // place in the order of those that write losses
		refused     []record.Writer             // own witnesses that voted this run lost
		watches     map[record.Writer]*watch    // members that the instance witnesses
		watched     []record.Writer             // the keys of watches in order of name
		unwitnessed []record.Writer             // other members without witnesses, in order of name
		logLeases   map[record.Writer]logLease  // of every member
		ended       map[record.Writer]time.Time // when an end of membership was folded
	}

	// logLease is what the log shows of the lease of a member without witnesses.
	logLease struct {
		version uint64
		read    time.Time // when version was folded
	}
)

func newWitnessing() witnessing {
	return witnessing{
		watches:   map[record.Writer]*watch{},
		logLeases: map[record.Writer]logLease{},
		ended:     map[record.Writer]time.Time{},
	}
}

// heardLog takes note that the log answered. What came to it in a long silence
// is still to be read, so leases through the log count from now on again.
func (c *Core) heardLog(now time.Time) {
	if now.Sub(c.readAt) > logSilence {
		c.restartLogLeases(now)
	}
}

func (c *Core) restartLogLeases(now time.Time) {
	for w, l := range c.witnessing.logLeases {
		c.witnessing.logLeases[w] = logLease{version: l.version, read: now}
	}
}

// followMembers takes up changes of members and timing that were folded.
func (c *Core) followMembers(now time.Time) {
	if c.state.Configuration != nil && c.timing().Lease.Std() > c.longestLease {
		c.longestLease = c.timing().Lease.Std()
		c.restartLogLeases(now)
		c.graceAfterGap(now)
	}
	c.admitted = c.admitted || c.state.IsMember(c.self)
	if c.state.Configuration == nil {
		return // its record may have been skipped, damaged
	}
	if c.witnessing.seen != c.state.MembersChanged {
		c.witnessing.seen = c.state.MembersChanged
		c.watchMembers(now)
	}
}

// decideLosses votes silent members lost and writes losses.
func (c *Core) decideLosses(now time.Time) []Effect {
	return append(c.decideVotes(now), c.decideLogLosses(now)...)
}

// watchMembers brings watches and log leases in line with the members. A
// member whose witness the instance has just become counts as heard of now.
func (c *Core) watchMembers(now time.Time) {
	for w := range c.witnessing.watches {
		if !c.isWitnessOf(w) {
			delete(c.witnessing.watches, w)
		}
	}
	for w := range c.witnessing.logLeases {
		if !c.state.IsMember(w) {
			delete(c.witnessing.logLeases, w)
			c.witnessing.ended[w] = now
		}
	}
	c.witnessing.watched, c.witnessing.unwitnessed, c.witnessing.refused = nil, nil, nil
	for i, name := range c.state.MemberNames() {
		m := c.state.Members[name]
		c.watchMember(m, now)
		if m.Writer == c.self {
			c.witnessing.rank = i % maxStaggered
		} else if len(m.Witnesses) == 0 {
			c.witnessing.unwitnessed = append(c.witnessing.unwitnessed, m.Writer)
		}
	}
	c.forgetEnded(now)
}

func (c *Core) watchMember(m state.Member, now time.Time) {
	l, ok := c.witnessing.logLeases[m.Writer]
	if !ok || l.version != m.LeaseVersion {
		c.witnessing.logLeases[m.Writer] = logLease{version: m.LeaseVersion, read: now}
	}
	if !c.isWitnessOf(m.Writer) {
		return
	}
	if w, ok := c.witnessing.watches[m.Writer]; !ok || w.version != m.LeaseVersion {
		c.witnessing.watches[m.Writer] = &watch{version: m.LeaseVersion, until: now.Add(c.surely(c.longestLease))}
	}
	c.witnessing.watched = append(c.witnessing.watched, m.Writer)
}

// forgetEnded drops members that ended so long ago that nothing waits for it.
func (c *Core) forgetEnded(now time.Time) {
	for w, at := range c.witnessing.ended {
		if now.Sub(at) > 2*c.surely(c.longestLease) {
			delete(c.witnessing.ended, w)
		}
	}
}

// promisesLapsed reports whether all that w promised before its membership
// ended has surely lapsed.
func (c *Core) promisesLapsed(w record.Writer, now time.Time) bool {
	at, ok := c.witnessing.ended[w]
	if !ok {
		at = c.began // it ended before that, or is long forgotten
	}
	return now.Sub(at) > c.surely(c.longestLease)
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
	for _, w := range c.witnessing.watches {
		if end := now.Add(c.surely(c.longestLease)); end.After(w.until) {
			w.until = end
		}
	}
}

// answerHeartbeat promises the sender a lease. Without a lease of its own the
// instance promises nothing, but the sender still counts as heard of. A lease
// longer than any that the instance knows of is not promised: the instance
// lags behind the configuration.
func (c *Core) answerHeartbeat(from record.Writer, h Heartbeat, now time.Time) []Effect {
	w, ok := c.witnessing.watches[from]
	if !ok || w.voted {
		return nil
	}
	if end := now.Add(c.surely(min(h.Lease, c.longestLease))); end.After(w.until) {
		w.until = end
	}
	if !c.holdsLease(now) || h.Lease > c.longestLease {
		return nil
	}
	return []Effect{SendMessage{To: from, Message: HeartbeatAnswer{Round: h.Round}}}
}

// decideVotes votes silent members lost, tells the votes to the other
// witnesses, and writes a loss that a majority proves.
func (c *Core) decideVotes(now time.Time) []Effect {
	connected := c.holdsLease(now) || now.Sub(c.witnessing.heard) < c.timing().Lease.Std()
	if connected && !c.witnessing.connected {
		c.graceAfterGap(now)
	}
	c.witnessing.connected = connected
	var out []Effect
	for _, member := range c.witnessing.watched {
		out = append(out, c.decideVote(c.state.Members[member.Instance], c.witnessing.watches[member], connected, now)...)
	}
	return out
}

func (c *Core) decideVote(m state.Member, w *watch, connected bool, now time.Time) []Effect {
	if connected && !w.voted && now.After(w.until) {
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
	out := []Effect{SendMessage{To: m.Writer, Message: LostVote{Member: m.Writer, Version: m.LeaseVersion}}}
	for _, w := range m.Witnesses {
		if w != c.self {
			out = append(out, SendMessage{To: w, Message: LostVote{Member: m.Writer, Version: m.LeaseVersion}})
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
	m := c.state.Members[v.Member.Instance]
	if m.Writer != v.Member || m.LeaseVersion != v.Version {
		return
	}
	if v.Member == c.self {
		if !slices.Contains(c.witnessing.refused, from) {
			c.witnessing.refused = append(c.witnessing.refused, from)
		}
		return
	}
	if w, ok := c.witnessing.watches[v.Member]; ok {
		w.vote(from)
	}
}

func (c *Core) proposeLoss(m state.Member, now time.Time) []Effect {
	return c.propose("lost/"+m.Writer.String(), record.InstanceLost{Member: m.Writer, Base: m.LeaseVersion}, now)
}

// decideLogLosses writes the loss of members without witnesses whose renewals
// ended. The record is void when a renewal came before it in the log.
func (c *Core) decideLogLosses(now time.Time) []Effect {
	if now.Sub(c.readAt) > logSilence {
		return nil
	}
	var out []Effect
	wait := c.surely(c.longestLease) + time.Duration(c.witnessing.rank)*lossStagger
	for _, w := range c.witnessing.unwitnessed {
		if now.Sub(c.witnessing.logLeases[w].read) > wait {
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
	if m.Joined.Control != c.joined.Control || now.Sub(c.began) < wait || now.Sub(c.witnessing.logLeases[m.Writer].read) < wait {
		return nil
	}
	return c.proposeLoss(m, now)
}

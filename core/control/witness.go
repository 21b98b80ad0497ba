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
	// watchedLease is what a witness knows of one member's lease.
	watchedLease struct {
		version       uint64    // of the lease; a new one starts the watch anew
		promisedUntil time.Time // the promise to the member surely ends on its clock
		voted         bool      // the member is not answered at this version any more
		voteSent      time.Time // of the last vote
		votes         []record.Writer
		majoritySince time.Time // when the votes became a majority; zero before
	}

	// witnessState is what an instance knows of the leases of others.
	witnessState struct {
		lastMessage   time.Time                       // when the last message of another instance came
		connected     bool                            // as of the last step; an instance that hears nobody votes nobody lost
		membersOffset uint64                          // the fold's next offset when the members were last looked over
		rank          int                             // place in the order of those that write losses
		refusing      []record.Writer                 // own witnesses that voted this run lost
		watches       map[record.Writer]*watchedLease // members that the instance witnesses
		watched       []record.Writer                 // the keys of watches in order of name
		unwitnessed   []record.Writer                 // other members without witnesses, in order of name
		logLeases     map[record.Writer]logLease      // of every member
		endedAt       map[record.Writer]time.Time     // when an end of membership was folded
	}

	// logLease is what the log shows of the lease of a member without witnesses.
	logLease struct {
		version uint64
		readAt  time.Time // when version was folded
	}
)

func newWitnessState() witnessState {
	return witnessState{
		watches:   map[record.Writer]*watchedLease{},
		logLeases: map[record.Writer]logLease{},
		endedAt:   map[record.Writer]time.Time{},
	}
}

// restartLogLeasesAfterGap takes note that the log answered. What came to it in a long silence
// is still to be read, so leases through the log count from now on again.
func (c *Core) restartLogLeasesAfterGap(now time.Time) {
	if now.Sub(c.lastLogRead) > maxLogReadAge {
		c.restartLogLeases(now)
	}
}

func (c *Core) restartLogLeases(now time.Time) {
	for w, l := range c.witness.logLeases {
		c.witness.logLeases[w] = logLease{version: l.version, readAt: now}
	}
}

// followMembers takes up changes of members and timing that were folded.
func (c *Core) followMembers(now time.Time) {
	if c.state.Configuration != nil && c.timing().Lease.Std() > c.longestLease {
		c.longestLease = c.timing().Lease.Std()
		c.restartLogLeases(now)
		c.extendWatchedLeases(now)
	}
	c.admitted = c.admitted || c.state.IsMember(c.self)
	if c.state.Configuration == nil {
		return // its record may have been skipped, damaged
	}
	if c.witness.membersOffset != c.state.MembersChanged {
		c.witness.membersOffset = c.state.MembersChanged
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
	for w := range c.witness.watches {
		if !c.isWitnessOf(w) {
			delete(c.witness.watches, w)
		}
	}
	for w := range c.witness.logLeases {
		if !c.state.IsMember(w) {
			delete(c.witness.logLeases, w)
			c.witness.endedAt[w] = now
		}
	}
	c.witness.watched, c.witness.unwitnessed, c.witness.refusing = nil, nil, nil
	for i, name := range c.state.MemberNames() {
		m := c.state.Members[name]
		c.watchMember(m, now)
		if m.Writer == c.self {
			c.witness.rank = i % maxStaggered
		} else if len(m.Witnesses) == 0 {
			c.witness.unwitnessed = append(c.witness.unwitnessed, m.Writer)
		}
	}
	c.dropEnded(now)
}

func (c *Core) watchMember(m state.Member, now time.Time) {
	l, ok := c.witness.logLeases[m.Writer]
	if !ok || l.version != m.LeaseVersion {
		c.witness.logLeases[m.Writer] = logLease{version: m.LeaseVersion, readAt: now}
	}
	if !c.isWitnessOf(m.Writer) {
		return
	}
	if w, ok := c.witness.watches[m.Writer]; !ok || w.version != m.LeaseVersion {
		c.witness.watches[m.Writer] = &watchedLease{version: m.LeaseVersion, promisedUntil: now.Add(c.plusDrift(c.longestLease))}
	}
	c.witness.watched = append(c.witness.watched, m.Writer)
}

// dropEnded drops members that ended so long ago that nothing waits for it.
func (c *Core) dropEnded(now time.Time) {
	for w, at := range c.witness.endedAt {
		if now.Sub(at) > 2*c.plusDrift(c.longestLease) {
			delete(c.witness.endedAt, w)
		}
	}
}

// promisesExpired reports whether all that w promised before its membership
// ended has surely lapsed.
func (c *Core) promisesExpired(w record.Writer, now time.Time) bool {
	at, ok := c.witness.endedAt[w]
	if !ok {
		at = c.firstStep // it ended before that, or is long forgotten
	}
	return now.Sub(at) > c.plusDrift(c.longestLease)
}

func (c *Core) isWitnessOf(w record.Writer) bool {
	return c.state.IsMember(w) && slices.Contains(c.state.Members[w.Instance].Witnesses, c.self)
}

// extendWatchedLeases counts all watched members as heard of now, after a time in
// which the instance could not hear them.
func (c *Core) extendWatchedLeases(now time.Time) {
	if c.state.Configuration == nil {
		return
	}
	for _, w := range c.witness.watches {
		if end := now.Add(c.plusDrift(c.longestLease)); end.After(w.promisedUntil) {
			w.promisedUntil = end
		}
	}
}

// answerHeartbeat promises the sender a lease. Without a lease of its own the
// instance promises nothing, but the sender still counts as heard of. A lease
// longer than any that the instance knows of is not promised: the instance
// lags behind the configuration.
func (c *Core) answerHeartbeat(from record.Writer, h Heartbeat, now time.Time) []Effect {
	w, ok := c.witness.watches[from]
	if !ok || w.voted {
		return nil
	}
	if end := now.Add(c.plusDrift(min(h.Lease, c.longestLease))); end.After(w.promisedUntil) {
		w.promisedUntil = end
	}
	if !c.holdsLease(now) || h.Lease > c.longestLease {
		return nil
	}
	return []Effect{SendMessage{To: from, Message: HeartbeatAnswer{Round: h.Round}}}
}

// decideVotes votes silent members lost, tells the votes to the other
// witnesses, and writes a loss that a majority proves.
func (c *Core) decideVotes(now time.Time) []Effect {
	connected := c.holdsLease(now) || now.Sub(c.witness.lastMessage) < c.timing().Lease.Std()
	if connected && !c.witness.connected {
		c.extendWatchedLeases(now)
	}
	c.witness.connected = connected
	var out []Effect
	for _, member := range c.witness.watched {
		out = append(out, c.decideVote(c.state.Members[member.Instance], c.witness.watches[member], connected, now)...)
	}
	return out
}

func (c *Core) decideVote(m state.Member, w *watchedLease, connected bool, now time.Time) []Effect {
	if connected && !w.voted && now.After(w.promisedUntil) {
		w.voted = true
		w.addVote(c.self)
	}
	var out []Effect
	if w.voted && now.Sub(w.voteSent) >= c.timing().Heartbeat.Std() {
		w.voteSent = now
		out = c.sendVotes(m)
	}
	if !provesLoss(m, w.votes) {
		w.majoritySince = time.Time{}
		return out
	}
	if w.majoritySince.IsZero() {
		w.majoritySince = now
	}
	rank := slices.Index(m.Witnesses, c.self)
	if now.Sub(w.majoritySince) < time.Duration(rank)*lossStagger {
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

func (w *watchedLease) addVote(by record.Writer) {
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
		if !slices.Contains(c.witness.refusing, from) {
			c.witness.refusing = append(c.witness.refusing, from)
		}
		return
	}
	if w, ok := c.witness.watches[v.Member]; ok {
		w.addVote(from)
	}
}

func (c *Core) proposeLoss(m state.Member, now time.Time) []Effect {
	return c.propose("lost/"+m.Writer.String(), record.InstanceLost{Member: m.Writer, Base: m.LeaseVersion}, now)
}

// decideLogLosses writes the loss of members without witnesses whose renewals
// ended. The record is void when a renewal came before it in the log.
func (c *Core) decideLogLosses(now time.Time) []Effect {
	if now.Sub(c.lastLogRead) > maxLogReadAge {
		return nil
	}
	var out []Effect
	wait := c.plusDrift(c.longestLease) + time.Duration(c.witness.rank)*lossStagger
	for _, w := range c.witness.unwitnessed {
		if now.Sub(c.witness.logLeases[w].readAt) > wait {
			out = append(out, c.proposeLoss(c.state.Members[w.Instance], now)...)
		}
	}
	return out
}

// decideEarlierIncarnation writes the loss of an earlier run of the own instance that
// nobody else can prove. Answers of witnesses go to the address in the log; a
// run that has held that address for two leases has cut the earlier one off.
func (c *Core) decideEarlierIncarnation(now time.Time) []Effect {
	m, ok := c.state.Members[c.self.Instance]
	if !ok || m.Writer == c.self || c.state.Configuration == nil {
		return nil
	}
	wait := 2 * c.plusDrift(c.longestLease)
	if m.Joined.Control != c.joined.Control || now.Sub(c.firstStep) < wait || now.Sub(c.witness.logLeases[m.Writer].readAt) < wait {
		return nil
	}
	return c.proposeLoss(m, now)
}

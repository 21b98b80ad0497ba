package control

import (
	"slices"
	"time"

	"bronzewind.example/core/record"
	"bronzewind.example/core/state"
)

const (
	// lossStagger is the delay between two consecutive instances that may append
	// the same InstanceLost record.
	lossStagger = 50 * time.Millisecond
	// maxStaggerRank bounds the ranks by which instances stagger their appends,
	// however many instances there are.
	maxStaggerRank = 8
)

type (
	// watchedLease is the state of one member's lease at a witness.
	watchedLease struct {
		version       uint64    // of the lease; a new version replaces the watchedLease
		promisedUntil time.Time // when the promise to the member is guaranteed to have ended on the member's clock
		voted         bool      // the instance voted the member lost and no longer answers it at this version
		lastVoteAt    time.Time // when the vote was last sent
		votes         []record.Writer
		majoritySince time.Time // when the votes became a majority; zero before
	}

	// witnessState is an instance's view of the leases of other members.
	witnessState struct {
		lastMessageAt  time.Time                       // when the last message from another instance arrived
		connected      bool                            // the instance held its lease or received a message within a lease duration, as of the last step; otherwise it votes no member lost
		membersOffset  uint64                          // MembersChanged of the state for which the members were last examined
		rank           int                             // position by name modulo maxStaggerRank; staggers records that several members may append
		votedLostBy    []record.Writer                 // own witnesses that voted this incarnation lost
		watchedLeases  map[record.Writer]*watchedLease // members that the instance witnesses
		watchedInOrder []record.Writer                 // keys of watchedLeases in order of name
		unwitnessed    []record.Writer                 // other members without witnesses, in order of name
		logLeases      map[record.Writer]logLease      // of every member
		endedAt        map[record.Writer]time.Time     // when the end of a membership was applied
	}

	// logLease is what the log shows about the lease of a member.
	logLease struct {
		version uint64
		readAt  time.Time // when version was applied or restartLogLeases last ran, whichever is later
	}
)

func newWitnessState() witnessState {
	return witnessState{
		watchedLeases: map[record.Writer]*watchedLease{},
		logLeases:     map[record.Writer]logLease{},
		endedAt:       map[record.Writer]time.Time{},
	}
}

// restartLogLeasesAfterOutage restarts all leases through the log when
// RecordsRead arrives after more than maxLogReadAge without one, because
// renewals written in the meantime are still to be read.
func (c *Core) restartLogLeasesAfterOutage(now time.Time) {
	if now.Sub(c.lastRecordsReadAt) > maxLogReadAge {
		c.restartLogLeases(now)
	}
}

func (c *Core) restartLogLeases(now time.Time) {
	for w, l := range c.witness.logLeases {
		c.witness.logLeases[w] = logLease{version: l.version, readAt: now}
	}
}

// membersApplied follows a change of members or timing in the applied state. It
// updates longestLease and the watched leases, and sets admitted once this
// incarnation is a member.
func (c *Core) membersApplied(now time.Time) {
	if c.state.Configuration != nil && c.timing().Lease.Std() > c.longestLease {
		c.longestLease = c.timing().Lease.Std()
		c.restartLogLeases(now)
		c.extendWatchedLeases(now)
	}
	c.admitted = c.admitted || c.state.IsMember(c.self)
	if c.state.Configuration == nil {
		return // the record of the configuration may have been damaged and skipped
	}
	if c.witness.membersOffset != c.state.MembersChanged {
		c.witness.membersOffset = c.state.MembersChanged
		c.watchMembers(now)
	}
}

// decideLosses votes unresponsive members lost and proposes InstanceLost records
// for them.
func (c *Core) decideLosses(now time.Time) []Effect {
	return append(c.decideVotes(now), c.decideLogLosses(now)...)
}

// watchMembers updates watched and log leases to the present members. A member
// whose witness the instance has just become is treated as if it had just sent
// a heartbeat.
func (c *Core) watchMembers(now time.Time) {
	for w := range c.witness.watchedLeases {
		if !c.isWitnessOf(w) {
			delete(c.witness.watchedLeases, w)
		}
	}
	for w := range c.witness.logLeases {
		if !c.state.IsMember(w) {
			delete(c.witness.logLeases, w)
			c.witness.endedAt[w] = now
		}
	}
	c.witness.watchedInOrder, c.witness.unwitnessed, c.witness.votedLostBy = nil, nil, nil
	for i, name := range c.state.MemberNames() {
		m := c.state.Members[name]
		c.watchMember(m, now)
		if m.Writer == c.self {
			c.witness.rank = i % maxStaggerRank
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
	if w, ok := c.witness.watchedLeases[m.Writer]; !ok || w.version != m.LeaseVersion {
		c.witness.watchedLeases[m.Writer] = &watchedLease{version: m.LeaseVersion, promisedUntil: now.Add(c.plusDrift(c.longestLease))}
	}
	c.witness.watchedInOrder = append(c.witness.watchedInOrder, m.Writer)
}

// dropEnded drops memberships that ended so long ago that no promise of theirs
// can be in effect.
func (c *Core) dropEnded(now time.Time) {
	for w, at := range c.witness.endedAt {
		if now.Sub(at) > 2*c.plusDrift(c.longestLease) {
			delete(c.witness.endedAt, w)
		}
	}
}

// promisesExpired reports whether everything that w promised before its
// membership ended is guaranteed to have expired.
func (c *Core) promisesExpired(w record.Writer, now time.Time) bool {
	at, ok := c.witness.endedAt[w]
	if !ok {
		at = c.firstStep // the membership ended before that, or dropEnded has dropped it
	}
	return now.Sub(at) > c.plusDrift(c.longestLease)
}

func (c *Core) isWitnessOf(w record.Writer) bool {
	return c.state.IsMember(w) && slices.Contains(c.state.Members[w.Instance].Witnesses, c.self)
}

// extendWatchedLeases treats all watched members as if they had just sent a
// heartbeat, after a time in which the instance may not have received their
// heartbeats.
func (c *Core) extendWatchedLeases(now time.Time) {
	if c.state.Configuration == nil {
		return
	}
	for _, w := range c.witness.watchedLeases {
		if end := now.Add(c.plusDrift(c.longestLease)); end.After(w.promisedUntil) {
			w.promisedUntil = end
		}
	}
}

// answerHeartbeat promises the sender a lease. An instance without a lease of
// its own promises nothing, but still counts the heartbeat as received. A lease
// longer than any that the instance knows from a configuration is not promised
// either, because the instance then lags behind the configuration.
func (c *Core) answerHeartbeat(from record.Writer, h Heartbeat, now time.Time) []Effect {
	w, ok := c.witness.watchedLeases[from]
	if !ok || w.voted {
		return nil
	}
	if end := now.Add(c.plusDrift(min(h.Lease, c.longestLease))); end.After(w.promisedUntil) {
		w.promisedUntil = end
	}
	if !c.holdsLease(now) || h.Lease > c.longestLease {
		return nil
	}
	return []Effect{SendMessage{To: from, Message: HeartbeatResponse{Round: h.Round}}}
}

// decideVotes votes unresponsive members lost, sends the votes to the other
// witnesses, and proposes InstanceLost for a member that a majority has voted
// lost.
func (c *Core) decideVotes(now time.Time) []Effect {
	connected := c.holdsLease(now) || now.Sub(c.witness.lastMessageAt) < c.timing().Lease.Std()
	if connected && !c.witness.connected {
		c.extendWatchedLeases(now)
	}
	c.witness.connected = connected
	var out []Effect
	for _, member := range c.witness.watchedInOrder {
		out = append(out, c.decideVote(c.state.Members[member.Instance], c.witness.watchedLeases[member], connected, now)...)
	}
	return out
}

func (c *Core) decideVote(m state.Member, w *watchedLease, connected bool, now time.Time) []Effect {
	if connected && !w.voted && now.After(w.promisedUntil) {
		w.voted = true
		w.addVote(c.self)
	}
	var out []Effect
	if w.voted && now.Sub(w.lastVoteAt) >= c.timing().Heartbeat.Std() {
		w.lastVoteAt = now
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

// sendVotes sends the vote to the other witnesses and to the member itself. If
// the member is still running, it then has the instance replaced as its
// witness.
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

// provesLoss reports whether votes contain a majority of the witnesses of m.
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
		if !slices.Contains(c.witness.votedLostBy, from) {
			c.witness.votedLostBy = append(c.witness.votedLostBy, from)
		}
		return
	}
	if w, ok := c.witness.watchedLeases[v.Member]; ok {
		w.addVote(from)
	}
}

func (c *Core) proposeLoss(m state.Member, now time.Time) []Effect {
	return c.propose("lost/"+m.Writer.String(), record.InstanceLost{Member: m.Writer, Base: m.LeaseVersion}, now)
}

// decideLogLosses proposes InstanceLost for members without witnesses whose
// renewals have stopped. The record is void if a renewal precedes it in the log.
func (c *Core) decideLogLosses(now time.Time) []Effect {
	if now.Sub(c.lastRecordsReadAt) > maxLogReadAge {
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

// decideEarlierIncarnation proposes InstanceLost for an earlier incarnation of
// the same instance at the same control address after two lease durations.
// Witnesses respond to that address, so by then the earlier incarnation has
// received no response for two lease durations and holds no lease.
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

package dispatch

import (
	"sync"
	"time"

	"bronzewind.example/core/clock"
	"bronzewind.example/core/record"
	"bronzewind.example/core/route"
)

// singleDomainGrace is how long a newly started fleet waits for instances of a
// second failure domain before it stores an idempotency record without a
// replica there. Members are assumed to have stored such weak records once they
// have been in one failure domain for half of that time.
const singleDomainGrace = 5 * time.Second

type (
	// departureHistory tracks which members departed without a handover of their
	// records, and whether that may have lost idempotency records.
	//
	// A record is stored at its dispatcher and at an instance of another failure
	// domain. So records are lost only when instances of two failure domains
	// departed within the retention time, or when an instance departed that had
	// stored weak records, which have no replica in another failure domain.
	departureHistory struct {
		self      record.Writer
		clock     clock.Clock
		retention time.Duration

		mu                 sync.Mutex // guards all below
		startedAt          time.Time  // zero before the first routing table that contains this instance
		members            map[record.Writer]route.Member
		uncontacted        map[record.Writer]bool // members of that routing table from which no message was received yet
		allDeparturesKnown bool                   // the departures of the retention time are known
		startedInNewFleet  bool                   // no member had departed before startedAt, and none has departed uncontacted since; then all departures are known once uncontacted is empty
		departures         []departure            // without a handover, in order; those older than the retention time are removed at the next departure
		handedOver         map[record.Writer]bool
		weakUntil          map[record.Writer]time.Time // time until which weak records of a member may be kept
		possibleLossAt     time.Time                   // time of the last departure that may have lost records; zero if there was none
		oneDomainSince     time.Time                   // time since which all members are in one failure domain; zero when they are not
		noDepartures       bool                        // no member of the fleet has ever departed
	}

	departure struct {
		domain string
		at     time.Time
	}

	// departureReport is what one instance reports to others about departures.
	departureReport struct {
		AllKnown           bool  `cbor:"1,keyasint"`
		PossibleLossLeftMs int64 `cbor:"2,keyasint"` // time for which lost records may still matter; 0 when none can have been lost
		SinceLossMs        int64 `cbor:"3,keyasint"` // time since the last departure that may have lost records
		WeakLeftMs         int64 `cbor:"4,keyasint"` // time for which the sender's weak records are still kept
	}
)

func newDepartureHistory(self record.Writer, c clock.Clock, retention time.Duration) *departureHistory {
	return &departureHistory{
		self: self, clock: c, retention: retention,
		members: map[record.Writer]route.Member{}, uncontacted: map[record.Writer]bool{},
		handedOver: map[record.Writer]bool{}, weakUntil: map[record.Writer]time.Time{},
	}
}

// setTable applies the members of a new routing table. Tables are skipped until
// the first that contains this instance: they are earlier states, from a log
// that is still being read.
func (h *departureHistory) setTable(t *route.Table) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	earlierSelf := h.self // before this instance rejoined; it kept its records
	h.self = t.Self
	next := make(map[record.Writer]route.Member, len(t.Members))
	for _, m := range t.Members {
		next[m.Writer] = m
	}
	if _, joined := next[h.self]; h.startedAt.IsZero() && !joined {
		return
	}
	if h.startedAt.IsZero() {
		h.startedAt, h.startedInNewFleet, h.noDepartures = now, t.Departed == 0, t.Departed == 0
		for w := range next {
			h.uncontacted[w] = w != h.self
		}
		delete(h.uncontacted, h.self)
		h.allDeparturesKnown = h.startedInNewFleet && len(h.uncontacted) == 0
	}
	mayBeWeak := h.mayHaveWeakRecords(now, singleDomainGrace/2)
	h.updateOneDomain(next, now)
	for w, m := range h.members {
		if _, ok := next[w]; !ok && w != h.self && w != earlierSelf {
			h.addDeparture(m, mayBeWeak, now)
		}
	}
	h.members = next
}

// updateOneDomain updates oneDomainSince. When a second failure domain joins
// after members may have stored weak records, weak records of all members are
// assumed to exist until the retention time has passed.
func (h *departureHistory) updateOneDomain(next map[record.Writer]route.Member, now time.Time) {
	domains := map[string]bool{}
	for _, m := range next {
		domains[m.FailureDomain] = true
	}
	switch {
	case len(domains) > 1 && !h.oneDomainSince.IsZero():
		if h.mayHaveWeakRecords(now, singleDomainGrace/2) {
			for w := range h.members {
				h.weakUntil[w] = now.Add(h.retention)
			}
		}
		h.oneDomainSince = time.Time{}
	case len(domains) == 1 && h.oneDomainSince.IsZero():
		h.oneDomainSince = now
	}
}

// mayHaveWeakRecords reports whether all members are in one failure domain and,
// in a fleet that no member has left yet, have been for at least grace, so that
// members in other failure domains have had time to start.
func (h *departureHistory) mayHaveWeakRecords(now time.Time, grace time.Duration) bool {
	return !h.oneDomainSince.IsZero() && (!h.noDepartures || now.Sub(h.oneDomainSince) >= grace)
}

// addDeparture records that m is no longer a member. mayBeWeak means that m
// may have stored weak records because all members were in one failure domain.
func (h *departureHistory) addDeparture(m route.Member, mayBeWeak bool, now time.Time) {
	h.noDepartures = false
	if h.uncontacted[m.Writer] {
		delete(h.uncontacted, m.Writer)
		h.startedInNewFleet, h.allDeparturesKnown = false, false
	}
	if h.handedOver[m.Writer] {
		delete(h.handedOver, m.Writer)
		return
	}
	h.departures = append(h.departures, departure{domain: m.FailureDomain, at: now})
	oldest := now.Add(-h.retention)
	for h.departures[0].at.Before(oldest) {
		h.departures = h.departures[1:]
	}
	domains := map[string]bool{}
	for _, d := range h.departures {
		domains[d.domain] = true
	}
	if len(domains) > 1 || mayBeWeak || h.weakUntil[m.Writer].After(now) {
		h.possibleLossAt = now
	}
	delete(h.weakUntil, m.Writer)
}

// recordWeakIfAllowed reports whether this instance may store a record without a
// replica in another failure domain, and if so extends this instance's weakUntil.
func (h *departureHistory) recordWeakIfAllowed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	if !h.mayHaveWeakRecords(now, singleDomainGrace) {
		return false
	}
	h.weakUntil[h.self] = now.Add(h.retention)
	return true
}

// merge applies the report of member w.
func (h *departureHistory) merge(w record.Writer, r departureReport) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	delete(h.uncontacted, w)
	if until := now.Add(milliseconds(r.WeakLeftMs)); r.WeakLeftMs > 0 && until.After(h.weakUntil[w]) {
		h.weakUntil[w] = until
	}
	if r.AllKnown {
		h.allDeparturesKnown = true
	}
	if from := now.Add(-milliseconds(r.SinceLossMs)); r.AllKnown && r.PossibleLossLeftMs > 0 && from.After(h.possibleLossAt) {
		h.possibleLossAt = from
	}
	if h.startedInNewFleet && len(h.uncontacted) == 0 {
		h.allDeparturesKnown = true
	}
}

// report returns the departureReport of this instance.
func (h *departureHistory) report() departureReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	r := departureReport{AllKnown: h.allDeparturesKnown || (!h.startedAt.IsZero() && now.Sub(h.startedAt) >= h.retention)}
	if left := h.possibleLossAt.Add(h.retention).Sub(now); !h.possibleLossAt.IsZero() && left > 0 {
		r.PossibleLossLeftMs, r.SinceLossMs = left.Milliseconds()+1, now.Sub(h.possibleLossAt).Milliseconds()
	}
	if left := h.weakUntil[h.self].Sub(now); left > 0 {
		r.WeakLeftMs = left.Milliseconds() + 1
	}
	return r
}

// allRecordsReachable reports whether every record of the retention time that
// departures have not lost is stored at a member that is not in unresponsive; see
// possibleLoss for lost records. If there are unresponsive members, it returns
// true only if they and the departed members are all in one failure domain, other
// members are in another, and each unresponsive member was contacted and cannot
// have stored weak records.
func (h *departureHistory) allRecordsReachable(unresponsive []route.Member) bool {
	if len(unresponsive) == 0 {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	domains := map[string]bool{}
	for _, d := range h.departures {
		if now.Sub(d.at) < h.retention {
			domains[d.domain] = true
		}
	}
	for _, m := range unresponsive {
		domains[m.FailureDomain] = true
		if h.uncontacted[m.Writer] || h.weakUntil[m.Writer].After(now) {
			return false
		}
	}
	return len(domains) == 1 && h.oneDomainSince.IsZero()
}

// possibleLoss returns the time before which stored records may have been lost,
// or false if none can have been lost.
func (h *departureHistory) possibleLoss() (lostBefore time.Time, mayBeLost bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	if !h.allDeparturesKnown && now.Sub(h.startedAt) < h.retention {
		if h.possibleLossAt.After(h.startedAt) {
			return h.possibleLossAt, true
		}
		return h.startedAt, true
	}
	return h.possibleLossAt, !h.possibleLossAt.IsZero() && now.Sub(h.possibleLossAt) < h.retention
}

// setHandedOver records that w has handed over its records to other members
// before leaving.
func (h *departureHistory) setHandedOver(w record.Writer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handedOver[w] = true
}

// otherMembers returns all members except this instance.
func (h *departureHistory) otherMembers() []route.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]route.Member, 0, len(h.members))
	for w, m := range h.members {
		if w != h.self {
			out = append(out, m)
		}
	}
	return out
}

// uncontactedMembers returns the members of the first routing table with this
// instance from which no message was received yet.
func (h *departureHistory) uncontactedMembers() []route.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []route.Member
	for w := range h.uncontacted {
		out = append(out, h.members[w])
	}
	return out
}

// selfWriter returns the current incarnation of this instance.
func (h *departureHistory) selfWriter() record.Writer {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.self
}

// selfMember returns the membership of this instance.
func (h *departureHistory) selfMember() route.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.members[h.self]
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

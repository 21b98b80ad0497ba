package dispatch

import (
	"sync"
	"time"

	"bronzewind.example/core/clock"
	"bronzewind.example/core/record"
	"bronzewind.example/core/route"
)

// singleDomainGrace is how long a fleet that is just starting waits for instances of a
// second failure domain before a start mark is placed without a copy there.
const singleDomainGrace = 5 * time.Second

type (
	// departureHistory says whether start marks of the retention time may be lost.
	//
	// A mark stands at its dispatcher and at an instance of another failure
	// domain. So marks are lost only when instances of two failure domains
	// departed within the retention time, or one that had placed weak marks,
	// which have no copy in another failure domain.
	departureHistory struct {
		self      record.Writer
		clock     clock.Clock
		retention time.Duration

		mu                 sync.Mutex // guards all below
		startedAt          time.Time  // zero before the first table
		members            map[record.Writer]route.Member
		uncontacted        map[record.Writer]bool // of the first table, and not heard yet
		allDeparturesKnown bool                   // all departures of the retention time are known
		startedInNewFleet  bool                   // no member had ever departed at the first table
		departures         []departure            // of the retention time, in order
		handedOver         map[record.Writer]bool
		weakUntil          map[record.Writer]time.Time // until when weak marks of a member may be kept
		possibleLossAt     time.Time                   // last departure that may have lost marks
		oneDomainSince     time.Time                   // since when all members stand in one domain; zero when not
		noDepartures       bool                        // no member of the fleet has ever departed
	}

	departure struct {
		domain string
		at     time.Time
	}

	// departureReport is what one instance knows of departures, as it tells others.
	departureReport struct {
		AllKnown           bool  `cbor:"1,keyasint"`
		PossibleLossLeftMs int64 `cbor:"2,keyasint"` // marks may be lost for so long yet
		SinceLossMs        int64 `cbor:"3,keyasint"` // since the last departure that left doubt
		WeakLeftMs         int64 `cbor:"4,keyasint"` // own weak marks are kept for so long yet
	}
)

func newDepartureHistory(self record.Writer, c clock.Clock, retention time.Duration) *departureHistory {
	return &departureHistory{
		self: self, clock: c, retention: retention,
		members: map[record.Writer]route.Member{}, uncontacted: map[record.Writer]bool{},
		handedOver: map[record.Writer]bool{}, weakUntil: map[record.Writer]time.Time{},
	}
}

// setTable takes in the members of a new snapshot. Those before the own
// membership are of the past, from a log that is still being read.
func (h *departureHistory) setTable(t *route.Table) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	previous := h.self // of a run that joined again; it kept its marks
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
	weak := h.mayHaveWeakRecords(now, singleDomainGrace/2)
	h.updateOneDomain(next, now)
	for w, m := range h.members {
		if _, ok := next[w]; !ok && w != h.self && w != previous {
			h.addDeparture(m, weak, now)
		}
	}
	h.members = next
}

// updateOneDomain counts the members as placing weak marks once they had no other
// choice for long.
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

// mayHaveWeakRecords reports whether members have stood in one failure domain for longer
// than a fleet takes to start.
func (h *departureHistory) mayHaveWeakRecords(now time.Time, grace time.Duration) bool {
	return !h.oneDomainSince.IsZero() && (!h.noDepartures || now.Sub(h.oneDomainSince) >= grace)
}

// addDeparture notes that m is a member no longer; weak says that it may have placed
// weak marks since all members stood in one failure domain.
func (h *departureHistory) addDeparture(m route.Member, weak bool, now time.Time) {
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
	past := now.Add(-h.retention)
	for h.departures[0].at.Before(past) {
		h.departures = h.departures[1:]
	}
	domains := map[string]bool{}
	for _, d := range h.departures {
		domains[d.domain] = true
	}
	if len(domains) > 1 || weak || h.weakUntil[m.Writer].After(now) {
		h.possibleLossAt = now
	}
	delete(h.weakUntil, m.Writer)
}

// allowWeakRecord reports whether the instance may place a mark without a copy in
// another failure domain, and remembers that it does.
func (h *departureHistory) allowWeakRecord() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	if !h.mayHaveWeakRecords(now, singleDomainGrace) {
		return false
	}
	h.weakUntil[h.self] = now.Add(h.retention)
	return true
}

// merge takes in what member w knows.
func (h *departureHistory) merge(w record.Writer, k departureReport) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	delete(h.uncontacted, w)
	if until := now.Add(milliseconds(k.WeakLeftMs)); k.WeakLeftMs > 0 && until.After(h.weakUntil[w]) {
		h.weakUntil[w] = until
	}
	if k.AllKnown {
		h.allDeparturesKnown = true
	}
	if from := now.Add(-milliseconds(k.SinceLossMs)); k.AllKnown && k.PossibleLossLeftMs > 0 && from.After(h.possibleLossAt) {
		h.possibleLossAt = from
	}
	if h.startedInNewFleet && len(h.uncontacted) == 0 {
		h.allDeparturesKnown = true
	}
}

// report returns what this instance knows.
func (h *departureHistory) report() departureReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	k := departureReport{AllKnown: h.allDeparturesKnown || (!h.startedAt.IsZero() && now.Sub(h.startedAt) >= h.retention)}
	if left := h.possibleLossAt.Add(h.retention).Sub(now); !h.possibleLossAt.IsZero() && left > 0 {
		k.PossibleLossLeftMs, k.SinceLossMs = left.Milliseconds()+1, now.Sub(h.possibleLossAt).Milliseconds()
	}
	if left := h.weakUntil[h.self].Sub(now); left > 0 {
		k.WeakLeftMs = left.Milliseconds() + 1
	}
	return k
}

// coveredWithout reports whether every mark of the retention time stands at a member
// besides silent: those, and the ones that departed, are of one failure domain,
// and placed no weak marks.
func (h *departureHistory) coveredWithout(silent []route.Member) bool {
	if len(silent) == 0 {
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
	for _, m := range silent {
		domains[m.FailureDomain] = true
		if h.uncontacted[m.Writer] || h.weakUntil[m.Writer].After(now) {
			return false
		}
	}
	return len(domains) == 1 && h.oneDomainSince.IsZero()
}

// possibleLoss returns the time up to which marks that were placed may be lost; false
// when none are.
func (h *departureHistory) possibleLoss() (from time.Time, any bool) {
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

// setHandedOver notes that w has given its marks to others before it leaves.
func (h *departureHistory) setHandedOver(w record.Writer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handedOver[w] = true
}

// otherMembers returns all members but this instance.
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

// uncontactedMembers returns the members of the first table that were not heard yet.
func (h *departureHistory) uncontactedMembers() []route.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []route.Member
	for w := range h.uncontacted {
		out = append(out, h.members[w])
	}
	return out
}

// selfWriter returns the present selfWriter of this instance.
func (h *departureHistory) selfWriter() record.Writer {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.self
}

// selfMember returns the member that this instance is.
func (h *departureHistory) selfMember() route.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.members[h.self]
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

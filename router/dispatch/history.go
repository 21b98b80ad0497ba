package dispatch

import (
	"sync"
	"time"

	"bronzewind.example/core/clock"
	"bronzewind.example/core/record"
	"bronzewind.example/core/route"
)

// weakGrace is how long a fleet that is just starting waits for instances of a
// second failure domain before a start mark is placed without a copy there.
const weakGrace = 5 * time.Second

type (
	// history says whether start marks of the retention time may be lost.
	//
	// A mark stands at its dispatcher and at an instance of another failure
	// domain. So marks are lost only when instances of two failure domains
	// departed within the retention time, or one that had placed weak marks,
	// which have no copy in another failure domain.
	history struct {
		self      record.Writer
		clock     clock.Clock
		retention time.Duration

		mu         sync.Mutex // guards all below
		started    time.Time  // zero before the first table
		members    map[record.Writer]route.Member
		unmet      map[record.Writer]bool // of the first table, and not heard yet
		complete   bool                   // all departures of the retention time are known
		fresh      bool                   // no member had ever departed at the first table
		departed   []departure            // of the retention time, in order
		handedOver map[record.Writer]bool
		weak       map[record.Writer]time.Time // until when weak marks of a member may be kept
		doubtFrom  time.Time                   // last departure that may have lost marks
		oneDomain  time.Time                   // since when all members stand in one domain; zero when not
		starting   bool                        // no member of the fleet has ever departed
	}

	departure struct {
		domain string
		at     time.Time
	}

	// word is what one instance knows of departures, as it tells others.
	word struct {
		Complete bool  `cbor:"1,keyasint"`
		DoubtMs  int64 `cbor:"2,keyasint"` // marks may be lost for so long yet
		FromMs   int64 `cbor:"3,keyasint"` // since the last departure that left doubt
		WeakMs   int64 `cbor:"4,keyasint"` // own weak marks are kept for so long yet
	}
)

func newHistory(self record.Writer, c clock.Clock, retention time.Duration) *history {
	return &history{
		self: self, clock: c, retention: retention,
		members: map[record.Writer]route.Member{}, unmet: map[record.Writer]bool{},
		handedOver: map[record.Writer]bool{}, weak: map[record.Writer]time.Time{},
	}
}

// setTable takes in the members of a new snapshot. Those before the own
// membership are of the past, from a log that is still being read.
func (h *history) setTable(t *route.Table) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	previous := h.self // of a run that joined again; it kept its marks
	h.self = t.Self
	next := make(map[record.Writer]route.Member, len(t.Members))
	for _, m := range t.Members {
		next[m.Writer] = m
	}
	if _, joined := next[h.self]; h.started.IsZero() && !joined {
		return
	}
	if h.started.IsZero() {
		h.started, h.fresh, h.starting = now, t.Departed == 0, t.Departed == 0
		for w := range next {
			h.unmet[w] = w != h.self
		}
		delete(h.unmet, h.self)
		h.complete = h.fresh && len(h.unmet) == 0
	}
	weak := h.mayBeWeak(now, weakGrace/2)
	h.noteOneDomain(next, now)
	for w, m := range h.members {
		if _, ok := next[w]; !ok && w != h.self && w != previous {
			h.depart(m, weak, now)
		}
	}
	h.members = next
}

// noteOneDomain counts the members as placing weak marks once they had no other
// choice for long.
func (h *history) noteOneDomain(next map[record.Writer]route.Member, now time.Time) {
	domains := map[string]bool{}
	for _, m := range next {
		domains[m.FailureDomain] = true
	}
	switch {
	case len(domains) > 1 && !h.oneDomain.IsZero():
		if h.mayBeWeak(now, weakGrace/2) {
			for w := range h.members {
				h.weak[w] = now.Add(h.retention)
			}
		}
		h.oneDomain = time.Time{}
	case len(domains) == 1 && h.oneDomain.IsZero():
		h.oneDomain = now
	}
}

// mayBeWeak reports whether members have stood in one failure domain for longer
// than a fleet takes to start.
func (h *history) mayBeWeak(now time.Time, grace time.Duration) bool {
	return !h.oneDomain.IsZero() && (!h.starting || now.Sub(h.oneDomain) >= grace)
}

// depart notes that m is a member no longer; weak says that it may have placed
// weak marks since all members stood in one failure domain.
func (h *history) depart(m route.Member, weak bool, now time.Time) {
	h.starting = false
	if h.unmet[m.Writer] {
		delete(h.unmet, m.Writer)
		h.fresh, h.complete = false, false
	}
	if h.handedOver[m.Writer] {
		delete(h.handedOver, m.Writer)
		return
	}
	h.departed = append(h.departed, departure{domain: m.FailureDomain, at: now})
	past := now.Add(-h.retention)
	for h.departed[0].at.Before(past) {
		h.departed = h.departed[1:]
	}
	domains := map[string]bool{}
	for _, d := range h.departed {
		domains[d.domain] = true
	}
	if len(domains) > 1 || weak || h.weak[m.Writer].After(now) {
		h.doubtFrom = now
	}
	delete(h.weak, m.Writer)
}

// mayPlaceWeak reports whether the instance may place a mark without a copy in
// another failure domain, and remembers that it does.
func (h *history) mayPlaceWeak() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	if !h.mayBeWeak(now, weakGrace) {
		return false
	}
	h.weak[h.self] = now.Add(h.retention)
	return true
}

// hear takes in what member w knows.
func (h *history) hear(w record.Writer, k word) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	delete(h.unmet, w)
	if until := now.Add(milliseconds(k.WeakMs)); k.WeakMs > 0 && until.After(h.weak[w]) {
		h.weak[w] = until
	}
	if k.Complete {
		h.complete = true
	}
	if from := now.Add(-milliseconds(k.FromMs)); k.Complete && k.DoubtMs > 0 && from.After(h.doubtFrom) {
		h.doubtFrom = from
	}
	if h.fresh && len(h.unmet) == 0 {
		h.complete = true
	}
}

// tell returns what this instance knows.
func (h *history) tell() word {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	k := word{Complete: h.complete || (!h.started.IsZero() && now.Sub(h.started) >= h.retention)}
	if left := h.doubtFrom.Add(h.retention).Sub(now); !h.doubtFrom.IsZero() && left > 0 {
		k.DoubtMs, k.FromMs = left.Milliseconds()+1, now.Sub(h.doubtFrom).Milliseconds()
	}
	if left := h.weak[h.self].Sub(now); left > 0 {
		k.WeakMs = left.Milliseconds() + 1
	}
	return k
}

// covered reports whether every mark of the retention time stands at a member
// besides silent: those, and the ones that departed, are of one failure domain,
// and placed no weak marks.
func (h *history) covered(silent []route.Member) bool {
	if len(silent) == 0 {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	domains := map[string]bool{}
	for _, d := range h.departed {
		if now.Sub(d.at) < h.retention {
			domains[d.domain] = true
		}
	}
	for _, m := range silent {
		domains[m.FailureDomain] = true
		if h.unmet[m.Writer] || h.weak[m.Writer].After(now) {
			return false
		}
	}
	return len(domains) == 1 && h.oneDomain.IsZero()
}

// doubt returns the time up to which marks that were placed may be lost; false
// when none are.
func (h *history) doubt() (from time.Time, any bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	if !h.complete && now.Sub(h.started) < h.retention {
		if h.doubtFrom.After(h.started) {
			return h.doubtFrom, true
		}
		return h.started, true
	}
	return h.doubtFrom, !h.doubtFrom.IsZero() && now.Sub(h.doubtFrom) < h.retention
}

// handOver notes that w has given its marks to others before it leaves.
func (h *history) handOver(w record.Writer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handedOver[w] = true
}

// others returns all members but this instance.
func (h *history) others() []route.Member {
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

// strangers returns the members of the first table that were not heard yet.
func (h *history) strangers() []route.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []route.Member
	for w := range h.unmet {
		out = append(out, h.members[w])
	}
	return out
}

// run returns the present run of this instance.
func (h *history) run() record.Writer {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.self
}

// own returns the member that this instance is.
func (h *history) own() route.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.members[h.self]
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

package dispatch

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzewind.example/core/clock"
	"bronzewind.example/core/code"
	"bronzewind.example/core/record"
)

const (
	suspectTTL         = 10 * time.Minute // after this time a request is no longer suspect
	quarantineDuration = time.Hour
	survivalThreshold  = time.Second // an incarnation that runs this long after a broken connection survived it
	maxExclusiveTime   = time.Second // after this time other requests start beside a suspect
	maxSuspects        = 4096
	maxBrokenRequests  = 64
	probeTimeout       = 100 * time.Millisecond
	quarantineLevel    = 2
)

type (
	// Fingerprint distinguishes requests by method, target and, if it is small,
	// body.
	Fingerprint uint64

	// SuspectUpdate notifies other instances in how many crashes a request was
	// involved; Crashes is 0 when the request is cleared of suspicion.
	SuspectUpdate struct {
		Fingerprint Fingerprint `cbor:"1,keyasint"`
		Level       int         `cbor:"2,keyasint"`
	}

	// suspectTable holds what one instance knows of requests that were in flight
	// when a backend server died. A suspect that was alone in flight when a
	// second backend server died is refused from then on.
	suspectTable struct {
		clock            clock.Clock
		broadcast        func(SuspectUpdate)      // to other instances
		reportQuarantine func(record.Quarantined) // to the log
		nonEmpty         atomic.Bool              // false while both maps are empty

		mu          sync.Mutex
		entries     map[Fingerprint]suspect     // guarded by mu
		quarantined map[quarantineKey]time.Time // time of the end of each quarantine, from the log; guarded by mu
	}

	suspect struct {
		level     int // never 0
		expiresAt time.Time
	}

	quarantineKey struct {
		service     string
		fingerprint Fingerprint
	}

	// inFlightTracker tracks the requests in flight to one backend server and
	// lets a suspect request run alone.
	inFlightTracker struct {
		suspects *suspectTable
		clock    clock.Clock

		mu             sync.Mutex // guards all below
		incarnation    uint64
		inFlight       map[*inFlightRequest]bool
		exclusive      *inFlightRequest // the suspect that runs alone or waits to do so
		exclusiveSince time.Time        // zero while exclusive waits
		changed        chan struct{}    // closed when a request leaves inFlight or exclusive
		brokenRequests []brokenRequest  // in the current incarnation, in order
	}

	// inFlightRequest is one request in flight or waiting to be sent.
	inFlightRequest struct {
		request  *Request
		suspect  bool
		isolated bool // no other request was in flight at the same time
	}

	brokenRequest struct {
		service         string
		fingerprint     Fingerprint
		at              time.Time
		isolatedSuspect bool // it ran alone, as a suspect of an earlier crash
	}
)

func newSuspectTable(c clock.Clock) *suspectTable {
	return &suspectTable{
		clock: c, broadcast: func(SuspectUpdate) {}, reportQuarantine: func(record.Quarantined) {},
		entries: map[Fingerprint]suspect{}, quarantined: map[quarantineKey]time.Time{},
	}
}

// fingerprint returns the fingerprint of r. Of a streamed body, only the
// length is included.
func fingerprint(r *Request) Fingerprint {
	h := xxhash.New()
	for _, s := range []string{r.Service, "\n", r.Method, "\n", r.Target, "\n"} {
		_, _ = h.WriteString(s)
	}
	_ = binary.Write(h, binary.BigEndian, r.Length)
	if b, ok := r.Body.(*bytes.Reader); ok {
		_, _ = io.Copy(h, io.NewSectionReader(b, 0, b.Size()))
	}
	return Fingerprint(h.Sum64())
}

// check returns in how many crashes r was involved, or an error when it is
// quarantined.
func (s *suspectTable) check(r *Request) (crashes int, err error) {
	if !s.nonEmpty.Load() {
		return 0, nil
	}
	p := fingerprint(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	if until := s.quarantined[quarantineKey{service: r.Service, fingerprint: p}]; s.clock.Now().Before(until) {
		return 0, code.NewError(code.Quarantined, fmt.Sprintf("the request is quarantined because it crashed backend servers; its fingerprint is %016x", uint64(p)))
	}
	entry, ok := s.entries[p]
	switch {
	case !ok || s.clock.Now().After(entry.expiresAt):
		return 0, nil
	case entry.level >= quarantineLevel:
		return 0, code.NewError(code.Quarantined, fmt.Sprintf("a second backend server died while it ran the request alone; its fingerprint is %016x", uint64(p)))
	default:
		return entry.level, nil
	}
}

// merge applies an update of this or another instance.
func (s *suspectTable) merge(n SuspectUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.Level == 0 {
		delete(s.entries, n.Fingerprint)
		s.updateNonEmpty()
		return
	}
	now := s.clock.Now()
	for p, entry := range s.entries {
		if now.After(entry.expiresAt) {
			delete(s.entries, p)
		}
	}
	if old, ok := s.entries[n.Fingerprint]; ok && old.level > n.Level || !ok && len(s.entries) >= maxSuspects {
		return
	}
	s.entries[n.Fingerprint] = suspect{level: n.Level, expiresAt: now.Add(suspectTTL)}
	s.updateNonEmpty()
}

// mergeAndBroadcast applies n here and sends it to the other instances.
func (s *suspectTable) mergeAndBroadcast(n SuspectUpdate) {
	if n.Level == 0 && !s.contains(n.Fingerprint) {
		return
	}
	s.merge(n)
	s.broadcast(n)
}

func (s *suspectTable) contains(p Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.entries[p]
	return ok
}

// setQuarantined replaces the quarantines with those in the log. A request
// that the log has released from quarantine is no longer suspect.
func (s *suspectTable) setQuarantined(keys map[quarantineKey]time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.quarantined {
		if _, ok := keys[k]; !ok {
			delete(s.entries, k.fingerprint)
		}
	}
	s.quarantined = keys
	s.updateNonEmpty()
}

// updateNonEmpty requires that s.mu is held.
func (s *suspectTable) updateNonEmpty() { s.nonEmpty.Store(len(s.entries)+len(s.quarantined) > 0) }

func newInFlightTracker(s *suspectTable) *inFlightTracker {
	return &inFlightTracker{suspects: s, clock: s.clock, inFlight: map[*inFlightRequest]bool{}, changed: make(chan struct{})}
}

// waitToSend waits until r may be sent. A suspect waits until nothing else is
// in flight; other requests wait while a suspect runs alone, for up to
// maxExclusiveTime.
func (w *inFlightTracker) waitToSend(ctx context.Context, r *Request) (*inFlightRequest, error) {
	crashes, err := w.suspects.check(r)
	if err != nil {
		return nil, err
	}
	f := &inFlightRequest{request: r, suspect: crashes > 0}
	for {
		added, changed, wait := w.tryAdd(f)
		if added {
			return f, nil
		}
		timer := w.clock.NewTimer(wait)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			w.cancel(f)
			return nil, code.NewError(code.DeadlineBeforeStart, "the wait ended before the request could be sent: a request that may crash the backend server runs alone")
		}
		if _, err := w.suspects.check(r); err != nil {
			w.cancel(f)
			return nil, err
		}
	}
}

// tryAdd adds f to the requests in flight, or returns the channel to wait on
// and the longest wait before it is called again.
func (w *inFlightTracker) tryAdd(f *inFlightRequest) (added bool, changed <-chan struct{}, wait time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	if f.suspect && w.exclusive == nil {
		w.exclusive = f
	}
	blocked := w.exclusive != nil && w.exclusive != f
	if blocked && !w.exclusiveSince.IsZero() && !f.suspect && now.Sub(w.exclusiveSince) >= maxExclusiveTime {
		w.exclusive.isolated, blocked = false, false
	}
	if blocked || (f.suspect && len(w.inFlight) > 0) {
		return false, w.changed, maxExclusiveTime
	}
	f.isolated = len(w.inFlight) == 0
	for other := range w.inFlight {
		other.isolated = false
	}
	w.inFlight[f] = true
	if f.suspect {
		w.exclusiveSince = now
	}
	return true, nil, 0
}

// cancel ends the wait of f.
func (w *inFlightTracker) cancel(f *inFlightRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removeLocked(f)
}

// removeLocked requires that w.mu is held.
func (w *inFlightTracker) removeLocked(f *inFlightRequest) {
	delete(w.inFlight, f)
	if w.exclusive == f {
		w.exclusive, w.exclusiveSince = nil, time.Time{}
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

// remove records the end of f. connLost means that its connection broke before
// the response was complete, and was not cancelled; down means that the
// backend server accepts no connection now, so that it probably died.
func (w *inFlightTracker) remove(f *inFlightRequest, connLost, down bool) {
	if connLost || f.suspect {
		p, isolatedSuspect := fingerprint(f.request), f.suspect && f.isolated
		switch {
		case connLost && down:
			w.suspects.mergeAndBroadcast(SuspectUpdate{Fingerprint: p, Level: suspicionLevel(isolatedSuspect)})
		case !connLost && isolatedSuspect:
			w.suspects.mergeAndBroadcast(SuspectUpdate{Fingerprint: p})
		}
		w.addBroken(brokenRequest{service: f.request.Service, fingerprint: p, at: w.clock.Now(), isolatedSuspect: isolatedSuspect}, connLost)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removeLocked(f)
}

func (w *inFlightTracker) addBroken(b brokenRequest, connLost bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if connLost && len(w.brokenRequests) < maxBrokenRequests {
		w.brokenRequests = append(w.brokenRequests, b)
	}
}

func suspicionLevel(isolatedSuspect bool) int {
	if isolatedSuspect {
		return quarantineLevel
	}
	return 1
}

// setIncarnation applies the incarnation of the backend server. A new
// incarnation proves that the earlier one died. One that continues clears the
// requests whose connection broke earlier than survivalThreshold ago.
func (w *inFlightTracker) setIncarnation(incarnation uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	died := w.incarnation != 0 && incarnation != w.incarnation
	w.incarnation = incarnation
	if died {
		w.confirmCrash()
		return
	}
	oldest := w.clock.Now().Add(-survivalThreshold)
	for len(w.brokenRequests) > 0 && w.brokenRequests[0].at.Before(oldest) {
		w.suspects.mergeAndBroadcast(SuspectUpdate{Fingerprint: w.brokenRequests[0].fingerprint})
		w.brokenRequests = w.brokenRequests[1:]
	}
}

// serverDown records that the incarnation of the backend server has ended.
func (w *inFlightTracker) serverDown() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.confirmCrash()
}

// connectFails reports whether no connection to address could be opened, so
// that probably nothing listens there.
func connectFails(address string) bool {
	c, err := net.DialTimeout("tcp", address, probeTimeout)
	if err != nil {
		return true
	}
	c.Close()
	return false
}

// confirmCrash adds the requests with broken connections to the suspects, and
// reports for quarantine those that ran alone as suspects when a second
// incarnation died. w.mu must be held.
func (w *inFlightTracker) confirmCrash() {
	for _, b := range w.brokenRequests {
		w.suspects.mergeAndBroadcast(SuspectUpdate{Fingerprint: b.fingerprint, Level: suspicionLevel(b.isolatedSuspect)})
		if b.isolatedSuspect {
			w.suspects.reportQuarantine(record.Quarantined{
				Service: b.service, Fingerprint: uint64(b.fingerprint),
				UntilMillis: w.clock.Now().Add(quarantineDuration).UnixMilli(),
			})
		}
	}
	w.brokenRequests = nil
}

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
	suspectTTL         = 10 * time.Minute // then a suspect counts as innocent
	quarantineDuration = time.Hour
	survivalThreshold  = time.Second // a run that goes on so long after a break survived it
	maxExclusiveTime   = time.Second // then other work starts beside a suspect
	maxSuspects        = 4096
	maxBrokenRequests  = 64
	probeTimeout       = 100 * time.Millisecond
	crashesToBlock     = 2
)

type (
	// Fingerprint tells requests apart by method, target and, where it is small,
	// body.
	Fingerprint uint64

	// SuspectUpdate tells other instances of crashes that a request took part in;
	// Crashes is 0 when it is cleared.
	SuspectUpdate struct {
		Fingerprint Fingerprint `cbor:"1,keyasint"`
		Crashes     int         `cbor:"2,keyasint"`
	}

	// suspectTable is what one instance knows of requests that were in flight when a
	// backend server died. One that was alone when a second one died is not run
	// any more.
	suspectTable struct {
		clock            clock.Clock
		broadcast        func(SuspectUpdate)      // to other instances
		reportQuarantine func(record.Quarantined) // to the log
		nonEmpty         atomic.Bool              // false while all maps are empty

		mu          sync.Mutex
		entries     map[Fingerprint]suspect     // guarded by mu
		quarantined map[quarantineKey]time.Time // until when, by the log; guarded by mu
	}

	suspect struct {
		crashes   int // never 0
		expiresAt time.Time
	}

	quarantineKey struct {
		service     string
		fingerprint Fingerprint
	}

	// inFlightTracker follows the requests in flight to one backend server and lets a
	// suspect run alone.
	inFlightTracker struct {
		suspects *suspectTable
		clock    clock.Clock

		mu             sync.Mutex // guards all below
		incarnation    uint64
		inFlight       map[*inFlightRequest]bool
		exclusive      *inFlightRequest // the suspect that runs or waits to run alone
		exclusiveSince time.Time        // zero while alone waits
		changed        chan struct{}    // closed at each change of flights or alone
		brokenRequests []brokenRequest  // in the present incarnation, in order
	}

	// inFlightRequest is one request on its way.
	inFlightRequest struct {
		request  *Request
		suspect  bool
		isolated bool // no other request was in flight at any time
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

// fingerprint returns the fingerprint of r. A streamed body counts by its
// length alone.
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

// check returns how often r took part in a crash, or an error when it is
// quarantined.
func (s *suspectTable) check(r *Request) (crashes int, err error) {
	if !s.nonEmpty.Load() {
		return 0, nil
	}
	p := fingerprint(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	if until := s.quarantined[quarantineKey{service: r.Service, fingerprint: p}]; s.clock.Now().Before(until) {
		return 0, code.NewError(code.Quarantined, fmt.Sprintf("the request crashed backend servers; its fingerprint is %016x", uint64(p)))
	}
	row, ok := s.entries[p]
	switch {
	case !ok || s.clock.Now().After(row.expiresAt):
		return 0, nil
	case row.crashes >= crashesToBlock:
		return 0, code.NewError(code.Quarantined, fmt.Sprintf("a second backend server died while it ran the request alone; its fingerprint is %016x", uint64(p)))
	default:
		return row.crashes, nil
	}
}

// merge takes in what this or another instance found.
func (s *suspectTable) merge(n SuspectUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.Crashes == 0 {
		delete(s.entries, n.Fingerprint)
		s.updateNonEmpty()
		return
	}
	now := s.clock.Now()
	for p, row := range s.entries {
		if now.After(row.expiresAt) {
			delete(s.entries, p)
		}
	}
	if old, ok := s.entries[n.Fingerprint]; ok && old.crashes > n.Crashes || !ok && len(s.entries) >= maxSuspects {
		return
	}
	s.entries[n.Fingerprint] = suspect{crashes: n.Crashes, expiresAt: now.Add(suspectTTL)}
	s.updateNonEmpty()
}

// mergeAndBroadcast notes n here and tells the other instances.
func (s *suspectTable) mergeAndBroadcast(n SuspectUpdate) {
	if n.Crashes == 0 && !s.contains(n.Fingerprint) {
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

// setQuarantined replaces what the log says. A suspect that the log released is
// free again.
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

// updateNonEmpty needs s.mu held.
func (s *suspectTable) updateNonEmpty() { s.nonEmpty.Store(len(s.entries)+len(s.quarantined) > 0) }

func newInFlightTracker(s *suspectTable) *inFlightTracker {
	return &inFlightTracker{suspects: s, clock: s.clock, inFlight: map[*inFlightRequest]bool{}, changed: make(chan struct{})}
}

// waitToSend waits until r may be sent: a suspect until nothing else is in flight,
// other work while a suspect has its time alone.
func (w *inFlightTracker) waitToSend(ctx context.Context, r *Request) (*inFlightRequest, error) {
	crashes, err := w.suspects.check(r)
	if err != nil {
		return nil, err
	}
	f := &inFlightRequest{request: r, suspect: crashes > 0}
	for {
		entered, changed, wait := w.tryAdd(f)
		if entered {
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
			return nil, code.NewError(code.DeadlineBeforeStart, "a request that may crash the backend server runs alone")
		}
		if _, err := w.suspects.check(r); err != nil {
			w.cancel(f)
			return nil, err
		}
	}
}

// tryAdd enters f, or returns what to wait for.
func (w *inFlightTracker) tryAdd(f *inFlightRequest) (entered bool, changed <-chan struct{}, wait time.Duration) {
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

// removeLocked needs w.mu held.
func (w *inFlightTracker) removeLocked(f *inFlightRequest) {
	delete(w.inFlight, f)
	if w.exclusive == f {
		w.exclusive, w.exclusiveSince = nil, time.Time{}
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

// remove notes the end of f. broke says that its connection broke before the
// answer was whole, and was not cancelled; down, that the backend server takes
// no connection now, so that it probably died.
func (w *inFlightTracker) remove(f *inFlightRequest, broke, down bool) {
	if broke || f.suspect {
		p, second := fingerprint(f.request), f.suspect && f.isolated
		switch {
		case broke && down:
			w.suspects.mergeAndBroadcast(SuspectUpdate{Fingerprint: p, Crashes: crashCount(second)})
		case !broke && second:
			w.suspects.mergeAndBroadcast(SuspectUpdate{Fingerprint: p})
		}
		w.addBroken(brokenRequest{service: f.request.Service, fingerprint: p, at: w.clock.Now(), isolatedSuspect: second}, broke)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removeLocked(f)
}

func (w *inFlightTracker) addBroken(b brokenRequest, broke bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if broke && len(w.brokenRequests) < maxBrokenRequests {
		w.brokenRequests = append(w.brokenRequests, b)
	}
}

func crashCount(second bool) int {
	if second {
		return crashesToBlock
	}
	return 1
}

// setIncarnation takes in the run of the backend server. A new run proves that
// the earlier one died; one that goes on clears those whose connection broke.
func (w *inFlightTracker) setIncarnation(run uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	died := w.incarnation != 0 && run != w.incarnation
	w.incarnation = run
	if died {
		w.confirmCrash()
		return
	}
	past := w.clock.Now().Add(-survivalThreshold)
	for len(w.brokenRequests) > 0 && w.brokenRequests[0].at.Before(past) {
		w.suspects.mergeAndBroadcast(SuspectUpdate{Fingerprint: w.brokenRequests[0].fingerprint})
		w.brokenRequests = w.brokenRequests[1:]
	}
}

// serverDown takes in that the backend server's run is over.
func (w *inFlightTracker) serverDown() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.confirmCrash()
}

// probeRefused reports whether nothing listens at address.
func probeRefused(address string) bool {
	c, err := net.DialTimeout("tcp", address, probeTimeout)
	if err != nil {
		return true
	}
	c.Close()
	return false
}

// confirmCrash reports what was alone when a second run died; w.mu is held.
func (w *inFlightTracker) confirmCrash() {
	for _, b := range w.brokenRequests {
		w.suspects.mergeAndBroadcast(SuspectUpdate{Fingerprint: b.fingerprint, Crashes: crashCount(b.isolatedSuspect)})
		if b.isolatedSuspect {
			w.suspects.reportQuarantine(record.Quarantined{
				Service: b.service, Fingerprint: uint64(b.fingerprint),
				UntilMillis: w.clock.Now().Add(quarantineDuration).UnixMilli(),
			})
		}
	}
	w.brokenRequests = nil
}

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
	quarantineLevel    = 2 // level of suspicion from which a request is refused
)

type (
	// Fingerprint is a hash of a request's service, method, URI, length and, if
	// it is buffered in memory, body.
	Fingerprint uint64

	// SuspectUpdate notifies other instances of the level of suspicion of a
	// request: 0 when it is no longer suspect, 1 when it was in flight at a crash
	// of a backend server, quarantineLevel when it ran alone, as a suspect, at a
	// crash.
	SuspectUpdate struct {
		Fingerprint Fingerprint `cbor:"1,keyasint"`
		Level       int         `cbor:"2,keyasint"`
	}

	// suspectTable holds the suspect requests and quarantines that this instance
	// has recorded or received. A suspect that ran alone when a second incarnation
	// crashed is refused for suspectTTL, and until its quarantine ends.
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
		level     int // of suspicion, see SuspectUpdate; never 0
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
		isolatedSuspect bool // the request ran alone, as a suspect of an earlier crash
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
	for _, s := range []string{r.Service, "\n", r.Method, "\n", r.RequestURI, "\n"} {
		_, _ = h.WriteString(s)
	}
	_ = binary.Write(h, binary.BigEndian, r.Length)
	if b, ok := r.Body.(*bytes.Reader); ok {
		_, _ = io.Copy(h, io.NewSectionReader(b, 0, b.Size()))
	}
	return Fingerprint(h.Sum64())
}

// check returns the level of suspicion of r, or an error if r is quarantined or
// its level is quarantineLevel.
func (s *suspectTable) check(r *Request) (level int, err error) {
	if !s.nonEmpty.Load() {
		return 0, nil
	}
	fp := fingerprint(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	if until := s.quarantined[quarantineKey{service: r.Service, fingerprint: fp}]; s.clock.Now().Before(until) {
		return 0, code.NewError(code.Quarantined, fmt.Sprintf("the request is quarantined because it crashed backend servers; its fingerprint is %016x", uint64(fp)))
	}
	entry, ok := s.entries[fp]
	switch {
	case !ok || s.clock.Now().After(entry.expiresAt):
		return 0, nil
	case entry.level >= quarantineLevel:
		return 0, code.NewError(code.Quarantined, fmt.Sprintf("the request is refused: a backend server crashed again while it ran the request alone; its fingerprint is %016x", uint64(fp)))
	default:
		return entry.level, nil
	}
}

// merge applies an update of this or another instance. Level 0 clears the
// request; otherwise an update with a lower level than the stored one is
// ignored. A full table ignores new suspects.
func (s *suspectTable) merge(update SuspectUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if update.Level == 0 {
		delete(s.entries, update.Fingerprint)
		s.updateNonEmpty()
		return
	}
	now := s.clock.Now()
	for fp, entry := range s.entries {
		if now.After(entry.expiresAt) {
			delete(s.entries, fp)
		}
	}
	if old, ok := s.entries[update.Fingerprint]; ok && old.level > update.Level || !ok && len(s.entries) >= maxSuspects {
		return
	}
	s.entries[update.Fingerprint] = suspect{level: update.Level, expiresAt: now.Add(suspectTTL)}
	s.updateNonEmpty()
}

// mergeAndBroadcast applies update here and sends it to the other instances.
func (s *suspectTable) mergeAndBroadcast(update SuspectUpdate) {
	if update.Level == 0 && !s.contains(update.Fingerprint) {
		return
	}
	s.merge(update)
	s.broadcast(update)
}

func (s *suspectTable) contains(fp Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.entries[fp]
	return ok
}

// setQuarantined replaces the quarantines with those in the log. A request
// whose quarantine was released or has ended is no longer suspect.
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

// waitToSend waits until r may be sent. A suspect waits until no other request
// is in flight. Other requests wait while a suspect waits or runs alone; once it
// has run for maxExclusiveTime, requests that are not suspect are sent beside it.
func (t *inFlightTracker) waitToSend(ctx context.Context, r *Request) (*inFlightRequest, error) {
	level, err := t.suspects.check(r)
	if err != nil {
		return nil, err
	}
	f := &inFlightRequest{request: r, suspect: level > 0}
	for {
		added, changed, wait := t.tryAdd(f)
		if added {
			return f, nil
		}
		timer := t.clock.NewTimer(wait)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			t.cancel(f)
			return nil, code.NewError(code.DeadlineBeforeStart, "not sent before the deadline or cancellation: a suspect request must run alone")
		}
		if _, err := t.suspects.check(r); err != nil {
			t.cancel(f)
			return nil, err
		}
	}
}

// tryAdd adds f to the requests in flight, or returns the channel to wait on
// and the longest wait before it is called again.
func (t *inFlightTracker) tryAdd(f *inFlightRequest) (added bool, changed <-chan struct{}, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	if f.suspect && t.exclusive == nil {
		t.exclusive = f
	}
	mustWait := t.exclusive != nil && t.exclusive != f
	if mustWait && !t.exclusiveSince.IsZero() && !f.suspect && now.Sub(t.exclusiveSince) >= maxExclusiveTime {
		t.exclusive.isolated, mustWait = false, false
	}
	if mustWait || (f.suspect && len(t.inFlight) > 0) {
		return false, t.changed, maxExclusiveTime
	}
	f.isolated = len(t.inFlight) == 0
	for other := range t.inFlight {
		other.isolated = false
	}
	t.inFlight[f] = true
	if f.suspect {
		t.exclusiveSince = now
	}
	return true, nil, 0
}

// cancel ends the wait of f.
func (t *inFlightTracker) cancel(f *inFlightRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeLocked(f)
}

// removeLocked requires that t.mu is held.
func (t *inFlightTracker) removeLocked(f *inFlightRequest) {
	delete(t.inFlight, f)
	if t.exclusive == f {
		t.exclusive, t.exclusiveSince = nil, time.Time{}
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// remove takes f out of the requests in flight. connLost means that its
// connection broke before the response was complete, and f was not cancelled;
// down means that no connection to the backend server can be opened now, so that
// it probably crashed. With both, f becomes suspect, at quarantineLevel if it
// already was a suspect and ran alone. A suspect that was alone in flight and
// ends without connLost is cleared, even if it was never sent.
func (t *inFlightTracker) remove(f *inFlightRequest, connLost, down bool) {
	if connLost || f.suspect {
		fp, isolatedSuspect := fingerprint(f.request), f.suspect && f.isolated
		switch {
		case connLost && down:
			t.suspects.mergeAndBroadcast(SuspectUpdate{Fingerprint: fp, Level: suspicionLevel(isolatedSuspect)})
		case !connLost && isolatedSuspect:
			t.suspects.mergeAndBroadcast(SuspectUpdate{Fingerprint: fp})
		}
		t.addIfBroken(brokenRequest{service: f.request.Service, fingerprint: fp, at: t.clock.Now(), isolatedSuspect: isolatedSuspect}, connLost)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeLocked(f)
}

// addIfBroken adds b to brokenRequests if its connection was lost.
func (t *inFlightTracker) addIfBroken(b brokenRequest, connLost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if connLost && len(t.brokenRequests) < maxBrokenRequests {
		t.brokenRequests = append(t.brokenRequests, b)
	}
}

func suspicionLevel(isolatedSuspect bool) int {
	if isolatedSuspect {
		return quarantineLevel
	}
	return 1
}

// setIncarnation applies the incarnation of the backend server. If the
// incarnation has changed, the prior one has ended, which counts as a crash. If
// not, requests whose connection broke more than survivalThreshold ago are
// cleared of suspicion.
func (t *inFlightTracker) setIncarnation(incarnation uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	incarnationEnded := t.incarnation != 0 && incarnation != t.incarnation
	t.incarnation = incarnation
	if incarnationEnded {
		t.confirmCrash()
		return
	}
	oldest := t.clock.Now().Add(-survivalThreshold)
	for len(t.brokenRequests) > 0 && t.brokenRequests[0].at.Before(oldest) {
		t.suspects.mergeAndBroadcast(SuspectUpdate{Fingerprint: t.brokenRequests[0].fingerprint})
		t.brokenRequests = t.brokenRequests[1:]
	}
}

// serverDown treats the requests with broken connections as in flight at a
// crash. It is called for each routing table that does not report the backend
// server up, also before a new incarnation is first reported up.
func (t *inFlightTracker) serverDown() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmCrash()
}

// connectFails reports whether a connection to address could not be opened
// within probeTimeout.
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
// incarnation crashed. t.mu must be held.
func (t *inFlightTracker) confirmCrash() {
	for _, b := range t.brokenRequests {
		t.suspects.mergeAndBroadcast(SuspectUpdate{Fingerprint: b.fingerprint, Level: suspicionLevel(b.isolatedSuspect)})
		if b.isolatedSuspect {
			t.suspects.reportQuarantine(record.Quarantined{
				Service: b.service, Fingerprint: uint64(b.fingerprint),
				UntilMillis: t.clock.Now().Add(quarantineDuration).UnixMilli(),
			})
		}
	}
	t.brokenRequests = nil
}

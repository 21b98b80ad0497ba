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
	suspicionTime  = 10 * time.Minute // then a suspect counts as innocent
	quarantineTime = time.Hour
	survivalTime   = time.Second // a run that goes on so long after a break survived it
	maxAloneTime   = time.Second // then other work starts beside a suspect
	maxSuspects    = 4096
	maxBroken      = 64
	probeTimeout   = 100 * time.Millisecond
	crashesToBlock = 2
)

type (
	// Fingerprint tells requests apart by method, target and, where it is small,
	// body.
	Fingerprint uint64

	// SuspectNote tells other instances of crashes that a request took part in;
	// Crashes is 0 when it is cleared.
	SuspectNote struct {
		Print   Fingerprint `cbor:"1,keyasint"`
		Crashes int         `cbor:"2,keyasint"`
	}

	// suspects is what one instance knows of requests that were in flight when a
	// backend server died. One that was alone when a second one died is not run
	// any more.
	suspects struct {
		clock  clock.Clock
		tell   func(SuspectNote)        // to other instances
		report func(record.Quarantined) // to the log
		any    atomic.Bool              // false while all maps are empty

		mu          sync.Mutex
		rows        map[Fingerprint]suspect     // guarded by mu
		quarantined map[quarantineKey]time.Time // until when, by the log; guarded by mu
	}

	suspect struct {
		crashes int // never 0
		until   time.Time
	}

	quarantineKey struct {
		service string
		print   Fingerprint
	}

	// watch follows the requests in flight to one backend server and lets a
	// suspect run alone.
	watch struct {
		suspects *suspects
		clock    clock.Clock

		mu          sync.Mutex // guards all below
		incarnation uint64
		flights     map[*flight]bool
		alone       *flight       // the suspect that runs or waits to run alone
		aloneSince  time.Time     // zero while alone waits
		changed     chan struct{} // closed at each change of flights or alone
		broken      []broken      // in the present incarnation, in order
	}

	// flight is one request on its way.
	flight struct {
		request *Request
		suspect bool
		alone   bool // no other request was in flight at any time
	}

	broken struct {
		service string
		print   Fingerprint
		at      time.Time
		second  bool // it ran alone, as a suspect of an earlier crash
	}
)

func newSuspects(c clock.Clock) *suspects {
	return &suspects{
		clock: c, tell: func(SuspectNote) {}, report: func(record.Quarantined) {},
		rows: map[Fingerprint]suspect{}, quarantined: map[quarantineKey]time.Time{},
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
func (s *suspects) check(r *Request) (crashes int, err error) {
	if !s.any.Load() {
		return 0, nil
	}
	p := fingerprint(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	if until := s.quarantined[quarantineKey{service: r.Service, print: p}]; s.clock.Now().Before(until) {
		return 0, code.NewError(code.Quarantined, fmt.Sprintf("the request crashed backend servers; its fingerprint is %016x", uint64(p)))
	}
	row, ok := s.rows[p]
	switch {
	case !ok || s.clock.Now().After(row.until):
		return 0, nil
	case row.crashes >= crashesToBlock:
		return 0, code.NewError(code.Quarantined, fmt.Sprintf("a second backend server died while it ran the request alone; its fingerprint is %016x", uint64(p)))
	default:
		return row.crashes, nil
	}
}

// note takes in what this or another instance found.
func (s *suspects) note(n SuspectNote) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.Crashes == 0 {
		delete(s.rows, n.Print)
		s.setAny()
		return
	}
	now := s.clock.Now()
	for p, row := range s.rows {
		if now.After(row.until) {
			delete(s.rows, p)
		}
	}
	if old, ok := s.rows[n.Print]; ok && old.crashes > n.Crashes || !ok && len(s.rows) >= maxSuspects {
		return
	}
	s.rows[n.Print] = suspect{crashes: n.Crashes, until: now.Add(suspicionTime)}
	s.setAny()
}

// found notes n here and tells the other instances.
func (s *suspects) found(n SuspectNote) {
	if n.Crashes == 0 && !s.known(n.Print) {
		return
	}
	s.note(n)
	s.tell(n)
}

func (s *suspects) known(p Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.rows[p]
	return ok
}

// setQuarantined replaces what the log says. A suspect that the log released is
// free again.
func (s *suspects) setQuarantined(keys map[quarantineKey]time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.quarantined {
		if _, ok := keys[k]; !ok {
			delete(s.rows, k.print)
		}
	}
	s.quarantined = keys
	s.setAny()
}

// setAny needs s.mu held.
func (s *suspects) setAny() { s.any.Store(len(s.rows)+len(s.quarantined) > 0) }

func newWatch(s *suspects) *watch {
	return &watch{suspects: s, clock: s.clock, flights: map[*flight]bool{}, changed: make(chan struct{})}
}

// enter waits until r may be sent: a suspect until nothing else is in flight,
// other work while a suspect has its time alone.
func (w *watch) enter(ctx context.Context, r *Request) (*flight, error) {
	crashes, err := w.suspects.check(r)
	if err != nil {
		return nil, err
	}
	f := &flight{request: r, suspect: crashes > 0}
	for {
		entered, changed, wait := w.tryEnter(f)
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
			w.withdraw(f)
			return nil, code.NewError(code.DeadlineBeforeStart, "a request that may crash the backend server runs alone")
		}
		if _, err := w.suspects.check(r); err != nil {
			w.withdraw(f)
			return nil, err
		}
	}
}

// tryEnter enters f, or returns what to wait for.
func (w *watch) tryEnter(f *flight) (entered bool, changed <-chan struct{}, wait time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	if f.suspect && w.alone == nil {
		w.alone = f
	}
	blocked := w.alone != nil && w.alone != f
	if blocked && !w.aloneSince.IsZero() && !f.suspect && now.Sub(w.aloneSince) >= maxAloneTime {
		w.alone.alone, blocked = false, false
	}
	if blocked || (f.suspect && len(w.flights) > 0) {
		return false, w.changed, maxAloneTime
	}
	f.alone = len(w.flights) == 0
	for other := range w.flights {
		other.alone = false
	}
	w.flights[f] = true
	if f.suspect {
		w.aloneSince = now
	}
	return true, nil, 0
}

// withdraw ends the wait of f.
func (w *watch) withdraw(f *flight) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.end(f)
}

// end needs w.mu held.
func (w *watch) end(f *flight) {
	delete(w.flights, f)
	if w.alone == f {
		w.alone, w.aloneSince = nil, time.Time{}
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

// leave notes the end of f. broke says that its connection broke before the
// answer was whole, and was not cancelled; down, that the backend server takes
// no connection now, so that it probably died.
func (w *watch) leave(f *flight, broke, down bool) {
	if broke || f.suspect {
		p, second := fingerprint(f.request), f.suspect && f.alone
		switch {
		case broke && down:
			w.suspects.found(SuspectNote{Print: p, Crashes: crashes(second)})
		case !broke && second:
			w.suspects.found(SuspectNote{Print: p})
		}
		w.noteBroken(broken{service: f.request.Service, print: p, at: w.clock.Now(), second: second}, broke)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.end(f)
}

func (w *watch) noteBroken(b broken, broke bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if broke && len(w.broken) < maxBroken {
		w.broken = append(w.broken, b)
	}
}

func crashes(second bool) int {
	if second {
		return crashesToBlock
	}
	return 1
}

// setIncarnation takes in the run of the backend server. A new run proves that
// the earlier one died; one that goes on clears those whose connection broke.
func (w *watch) setIncarnation(run uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	died := w.incarnation != 0 && run != w.incarnation
	w.incarnation = run
	if died {
		w.confirm()
		return
	}
	past := w.clock.Now().Add(-survivalTime)
	for len(w.broken) > 0 && w.broken[0].at.Before(past) {
		w.suspects.found(SuspectNote{Print: w.broken[0].print})
		w.broken = w.broken[1:]
	}
}

// lost takes in that the backend server's run is over.
func (w *watch) lost() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.confirm()
}

// refusesConnections reports whether nothing listens at address.
func refusesConnections(address string) bool {
	c, err := net.DialTimeout("tcp", address, probeTimeout)
	if err != nil {
		return true
	}
	c.Close()
	return false
}

// confirm reports what was alone when a second run died; w.mu is held.
func (w *watch) confirm() {
	for _, b := range w.broken {
		w.suspects.found(SuspectNote{Print: b.print, Crashes: crashes(b.second)})
		if b.second {
			w.suspects.report(record.Quarantined{
				Service: b.service, Fingerprint: uint64(b.print),
				UntilMillis: w.clock.Now().Add(quarantineTime).UnixMilli(),
			})
		}
	}
	w.broken = nil
}

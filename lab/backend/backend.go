// Package backend is a small stand-in of a backend server that takes fenced
// grants, with faults.
package backend

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	core "bronzewind.example/core/backend"
	"bronzewind.example/core/keyspace"
)

const (
	// FaultsPath takes Faults by PUT.
	FaultsPath = "/faults"
	// SeenPath answers the requests that ran.
	SeenPath = "/seen"
	// CrashHeader marks a request that crashes the server.
	CrashHeader = "X-Crash"
	// IDHeader names a request; the answer carries the same.
	IDHeader = "X-Request-Id"

	defaultSlots = 6
	coldFactor   = 5
)

type (
	// Faults are what the stand-in does wrong at present.
	Faults struct {
		Frozen     bool `json:"frozen"`      // no answer until thawed
		Shed       bool `json:"shed"`        // refuses all work
		Leaving    bool `json:"leaving"`     // says that it drains
		ServiceMs  int  `json:"service-ms"`  // time that each request takes
		ColdMs     int  `json:"cold-ms"`     // for so long after the start, work takes coldFactor times as long
		ReportIdle bool `json:"report-idle"` // the load report lies
		RefuseLate bool `json:"refuse-late"` // refuses work whose deadline has passed
	}

	// Start is one request that began to run.
	Start struct {
		Server string `json:"server"`
		Run    uint64 `json:"run"` // incarnation of the server
		Key    string `json:"idempotency-key"`
		ID     string `json:"request-id"`
		Slot   uint32 `json:"slot"`
		Epoch  uint64 `json:"epoch"`
		At     int64  `json:"at-us"`  // wall clock
		Ended  int64  `json:"end-us"` // wall clock; 0 while it runs
	}

	// Server is one backend server; it is safe for concurrent use.
	Server struct {
		name         string
		checksGrants bool
		incarnation  uint64
		started      time.Time
		onCrash      func()
		journal      func(Start)
		slots        chan struct{} // holds a token for each running request

		mu       sync.Mutex // guards all below
		faults   Faults
		thawed   chan struct{} // closed while not frozen
		epoch    uint64
		sequence uint64
		until    int64 // microseconds on the own clock
		granted  core.Grant
		listed   uint64 // sequence of granted
		running  int
		queued   int
		seen     []Start
	}

	// Option changes a Server at its construction.
	Option func(*Server)
)

// WithoutGrantChecks makes a server that runs whatever it is sent.
func WithoutGrantChecks() Option { return func(s *Server) { s.checksGrants = false } }

// WithFaults sets the faults at the start.
func WithFaults(f Faults) Option { return func(s *Server) { s.faults = f } }

// WithSlots sets how many requests run at once.
func WithSlots(n int) Option { return func(s *Server) { s.slots = make(chan struct{}, n) } }

// WithCrash sets what a marked request calls.
func WithCrash(f func()) Option { return func(s *Server) { s.onCrash = f } }

// WithJournal sets what is told of each start, and again of its end.
func WithJournal(f func(Start)) Option { return func(s *Server) { s.journal = f } }

// NewServer returns a backend server without grants.
func NewServer(name string, options ...Option) *Server {
	thawed := make(chan struct{})
	close(thawed)
	s := &Server{
		name: name, checksGrants: true, started: time.Now(),
		incarnation: uint64(time.Now().UnixNano()), thawed: thawed,
		onCrash: func() {}, journal: func(Start) {}, slots: make(chan struct{}, defaultSlots),
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case f.Frozen && !s.faults.Frozen:
		s.thawed = make(chan struct{})
	case !f.Frozen && s.faults.Frozen:
		close(s.thawed)
	}
	s.faults = f
}

// Seen returns the requests that began to run, in order.
func (s *Server) Seen() []Start {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Start(nil), s.seen...)
}

// Handler answers grants and requests.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+core.GrantPath, s.serveGrant)
	mux.HandleFunc("GET "+core.LoadPath, s.serveLoad)
	mux.HandleFunc("PUT "+FaultsPath, s.serveFaults)
	mux.HandleFunc("GET "+SeenPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Seen()) })
	mux.HandleFunc("/", s.serveWork)
	return mux
}

func (s *Server) clock() int64 { return time.Since(s.started).Microseconds() }

func (s *Server) waitThawed(r *http.Request) {
	s.mu.Lock()
	thawed := s.thawed
	s.mu.Unlock()
	select {
	case <-thawed:
	case <-r.Context().Done():
	}
}

func (s *Server) serveGrant(w http.ResponseWriter, r *http.Request) {
	s.waitThawed(r)
	var g core.Grant
	if err := json.NewDecoder(r.Body).Decode(&g); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := core.GrantAnswer{Incarnation: s.incarnation, ClockMicros: s.clock(), Leaving: s.faults.Leaving}
	a.Unlisted = g.SameAs != 0 && (g.Epoch != s.epoch || g.SameAs != s.listed || g.Incarnation != s.incarnation)
	a.Reason = s.take(g)
	a.Accepted = a.Reason == ""
	a.Epoch = s.epoch
	writeJSON(w, a)
}

// take applies g or says why not; s.mu is held.
func (s *Server) take(g core.Grant) string {
	switch {
	case g.Incarnation == 0:
		return "asked for the clock alone"
	case g.Incarnation != s.incarnation:
		return "grant is for another run"
	case g.Epoch < s.epoch:
		return "epoch is old"
	case g.Epoch == s.epoch && g.Sequence <= s.sequence:
		return "sequence is old"
	case g.SameAs != 0 && (g.Epoch != s.epoch || g.SameAs != s.listed):
		return "lists of the grant named are not the last ones"
	}
	s.epoch, s.sequence, s.until = g.Epoch, g.Sequence, g.UntilMicros
	if g.SameAs == 0 {
		s.granted, s.listed = g, g.Sequence
	}
	return ""
}

func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	s.waitThawed(r)
	w.Header().Set(core.SequenceHeader, r.Header.Get(core.SequenceHeader))
	w.Header().Set(core.IncarnationHeader, strconv.FormatUint(s.incarnation, 10))
	w.Header().Set(IDHeader, r.Header.Get(IDHeader))
	arrived := time.Now()
	if !s.takeSlot(r) {
		return
	}
	defer func() { <-s.slots }()
	slot, _ := strconv.ParseUint(r.Header.Get(core.SlotHeader), 10, 32)
	epoch, _ := strconv.ParseUint(r.Header.Get(core.EpochHeader), 10, 64)
	hash, _ := strconv.ParseUint(r.Header.Get(core.HashHeader), 16, 64)
	if reason := s.start(keyspace.Slot(slot), keyspace.Hash(hash), epoch, late(r, arrived)); reason != "" {
		w.Header().Set(core.RefusedHeader, reason)
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	defer s.end()
	b := Start{
		Server: s.name, Run: s.incarnation, Key: r.Header.Get(core.IdempotencyHeader), ID: r.Header.Get(IDHeader),
		Slot: uint32(slot), Epoch: epoch, At: time.Now().UnixMicro(),
	}
	s.record(b)
	if r.Header.Get(CrashHeader) != "" {
		s.onCrash()
		panic(http.ErrAbortHandler)
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.work(r)
	b.Ended = time.Now().UnixMicro()
	s.journal(b)
	fmt.Fprintf(w, "%s %s by %s, %d bytes read\n", r.Method, r.URL.Path, s.name, n)
}

// takeSlot waits for one of the slots; it returns false when the request ended
// first.
func (s *Server) takeSlot(r *http.Request) bool {
	s.count(&s.queued, 1)
	defer s.count(&s.queued, -1)
	select {
	case s.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

// late reports whether the deadline of r, in milliseconds from its arrival, has
// passed.
func late(r *http.Request, arrived time.Time) bool {
	left, err := strconv.ParseInt(r.Header.Get(core.DeadlineHeader), 10, 64)
	return err == nil && time.Since(arrived) >= time.Duration(left)*time.Millisecond
}

// start takes a request in or says why it is refused.
func (s *Server) start(slot keyspace.Slot, hash keyspace.Hash, epoch uint64, late bool) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.Shed:
		return "shedding load"
	case s.faults.RefuseLate && late:
		return "deadline has passed"
	case s.checksGrants && epoch < s.epoch:
		return "epoch is old"
	case s.checksGrants && s.clock() >= s.until:
		return "grant has lapsed"
	case s.checksGrants && !s.granted.Covers(hash, slot):
		return "key is not granted"
	}
	s.running++
	return ""
}

func (s *Server) end() { s.count(&s.running, -1) }

// count adds n to a counter of s.
func (s *Server) count(counter *int, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*counter += n
}

func (s *Server) record(b Start) {
	s.journal(b)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = append(s.seen, b)
}

// work takes the time of one request, or less when it is cancelled.
func (s *Server) work(r *http.Request) {
	s.mu.Lock()
	d := time.Duration(s.faults.ServiceMs) * time.Millisecond
	if time.Since(s.started) < time.Duration(s.faults.ColdMs)*time.Millisecond {
		d *= coldFactor
	}
	s.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := core.LoadReport{Running: s.running, Queued: s.queued, Busy: float64(s.running) / float64(cap(s.slots))}
	if s.faults.ReportIdle {
		l = core.LoadReport{}
	}
	writeJSON(w, l)
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

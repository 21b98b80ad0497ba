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
)

type (
	// Faults are what the stand-in does wrong at present.
	Faults struct {
		Frozen     bool `json:"frozen"`      // no answer until thawed
		Shed       bool `json:"shed"`        // refuses all work
		Leaving    bool `json:"leaving"`     // drains
		ServiceMs  int  `json:"service-ms"`  // time that each request takes
		ReportIdle bool `json:"report-idle"` // the load report lies
	}

	// Start is one request that began to run.
	Start struct {
		Key   string `json:"idempotency-key"`
		Slot  uint32 `json:"slot"`
		Epoch uint64 `json:"epoch"`
		Body  int64  `json:"body-bytes"`
	}

	// Server is one backend server; it is safe for concurrent use.
	Server struct {
		name         string
		checksGrants bool
		incarnation  uint64
		started      time.Time
		onCrash      func()

		mu       sync.Mutex // guards all below
		faults   Faults
		thawed   chan struct{} // closed while not frozen
		epoch    uint64
		sequence uint64
		until    int64 // microseconds on the own clock
		granted  core.Grant
		running  int
		seen     []Start
	}

	// Option changes a Server at its construction.
	Option func(*Server)
)

// WithoutGrantChecks makes a server that runs whatever it is sent.
func WithoutGrantChecks() Option { return func(s *Server) { s.checksGrants = false } }

// WithServiceTime sets how long each request takes.
func WithServiceTime(d time.Duration) Option {
	return func(s *Server) { s.faults.ServiceMs = int(d.Milliseconds()) }
}

// WithCrash sets what a marked request calls.
func WithCrash(f func()) Option { return func(s *Server) { s.onCrash = f } }

// NewServer returns a backend server without grants.
func NewServer(name string, options ...Option) *Server {
	thawed := make(chan struct{})
	close(thawed)
	s := &Server{
		name: name, checksGrants: true, started: time.Now(),
		incarnation: uint64(time.Now().UnixNano()), thawed: thawed, onCrash: func() {},
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
	}
	s.epoch, s.sequence, s.until, s.granted = g.Epoch, g.Sequence, g.UntilMicros, g
	return ""
}

func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	s.waitThawed(r)
	w.Header().Set(core.SequenceHeader, r.Header.Get(core.SequenceHeader))
	w.Header().Set(core.IncarnationHeader, strconv.FormatUint(s.incarnation, 10))
	slot, _ := strconv.ParseUint(r.Header.Get(core.SlotHeader), 10, 32)
	epoch, _ := strconv.ParseUint(r.Header.Get(core.EpochHeader), 10, 64)
	hash, _ := strconv.ParseUint(r.Header.Get(core.HashHeader), 16, 64)
	if reason := s.start(keyspace.Slot(slot), keyspace.Hash(hash), epoch); reason != "" {
		w.Header().Set(core.RefusedHeader, reason)
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	defer s.end()
	if r.Header.Get(CrashHeader) != "" {
		s.onCrash()
		panic(http.ErrAbortHandler)
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.record(Start{Key: r.Header.Get(core.IdempotencyHeader), Slot: uint32(slot), Epoch: epoch, Body: n})
	s.work(r)
	fmt.Fprintf(w, "%s %s by %s, %d bytes read\n", r.Method, r.URL.Path, s.name, n)
}

// start takes a request in or says why it is refused.
func (s *Server) start(slot keyspace.Slot, hash keyspace.Hash, epoch uint64) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.Shed:
		return "shedding load"
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

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) record(b Start) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = append(s.seen, b)
}

// work takes the time of one request, or less when it is cancelled.
func (s *Server) work(r *http.Request) {
	s.mu.Lock()
	d := time.Duration(s.faults.ServiceMs) * time.Millisecond
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
	l := core.LoadReport{Running: s.running}
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

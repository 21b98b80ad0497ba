package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

type (
	// server is a backend server. It speaks the protocol of the pages; answer decides what it
	// does with a request that it may run.
	server struct {
		fleet   *fleet
		id      string
		service string
		zone    string
		slots   int
		sharded bool
		born    int64
		answer  func(s *server, c net.Conn, hr *http.Request, body []byte) (keep bool)
		stated  string // value of Server-Limit; "" for none

		listener net.Listener

		mu      sync.Mutex
		conns   map[net.Conn]struct{} // guarded by mu
		closed  bool                  // guarded by mu
		holds   []hold                // in the order of their arrival; guarded by mu
		grants  []grant               // guarded by mu
		arrived []time.Time           // requests, of any outcome; guarded by mu
		runs    map[string]int        // by request ID; guarded by mu
	}

	// hold is a grant, or a release if until is zero.
	hold struct {
		from, to uint32
		fence    uint64
		until    time.Time
	}

	// grant is an accepted grant.
	grant struct {
		server    string
		from, to  uint32
		fence     uint64
		at, until time.Time
	}
)

// startServer starts a server and lists it in the store.
func (f *fleet) startServer(s *server, ip int) error {
	s.fleet, s.conns, s.runs = f, map[net.Conn]struct{}{}, map[string]int{}
	if s.born == 0 {
		s.born = time.Now().UnixMilli()
	}
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:9000", f.network, ip))
	if err != nil {
		return err
	}
	s.listener = l
	go s.accept()
	s.list("ready")
	return nil
}

// list writes the server's record.
func (s *server) list(state string) {
	s.fleet.mu.Lock()
	s.fleet.sequence[s.id]++
	sequence := s.fleet.sequence[s.id]
	s.fleet.mu.Unlock()
	data, _ := json.Marshal(map[string]any{
		"address": s.listener.Addr().String(), "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "maxConcurrency": s.slots},
		"status": map[string]any{"state": state, "sequence": sequence, "warmupLeft": "0ms"},
	})
	s.fleet.store.Put("keyed.servers", s.id, data)
}

// unlist removes the server's record.
func (s *server) unlist() { s.fleet.store.Put("keyed.servers", s.id, nil) }

// crash ends the server: its connections break and its port is closed.
func (s *server) crash() {
	s.mu.Lock()
	s.closed = true
	conns := s.conns
	s.conns = map[net.Conn]struct{}{}
	s.mu.Unlock()
	_ = s.listener.Close()
	for c := range conns {
		_ = c.Close()
	}
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		closed := s.closed
		if !closed {
			s.conns[c] = struct{}{}
		}
		s.mu.Unlock()
		if closed {
			_ = c.Close()
			return
		}
		go s.serve(c)
	}
}

func (s *server) serve(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		hr, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(hr.Body)
		if err != nil || !s.handle(c, hr, body) {
			return
		}
	}
}

func (s *server) handle(c net.Conn, hr *http.Request, body []byte) (keep bool) {
	expected := hr.Header.Get("X-Expect-Instance")
	switch {
	case hr.URL.Path == "/health":
		return s.write(c, hr, 200, "X-Instance-Id: "+s.id+"\r\n", "")
	case expected != "" && expected != s.id:
		return s.write(c, hr, 421, "X-Not-Executed: 1\r\nX-Instance-Id: "+s.id+"\r\n", "")
	case hr.URL.Path == "/v1/grant":
		return s.grant(c, hr, body)
	case hr.URL.Path == "/v1/release":
		return s.release(c, hr, body)
	}
	s.mu.Lock()
	s.arrived = append(s.arrived, time.Now())
	key, err := strconv.ParseUint(hr.Header.Get("X-Shard-Key"), 10, 32)
	misdirected := s.sharded && (err != nil || !s.holdsLocked(uint32(key)))
	if !misdirected {
		s.runs[hr.Header.Get("X-Request-Id")]++
	}
	s.mu.Unlock()
	if misdirected {
		return s.write(c, hr, 421, "X-Not-Executed: 1\r\nX-Instance-Id: "+s.id+"\r\n", "")
	}
	return s.answer(s, c, hr, body)
}

// succeed answers a request that has run.
func (s *server) succeed(c net.Conn, hr *http.Request, body string) bool {
	return s.write(c, hr, 200, "X-Response-Signature: signed-by-"+s.id+"\r\n", body)
}

func (s *server) write(c net.Conn, hr *http.Request, status int, headers, body string) bool {
	if id := hr.Header.Get("X-Request-Id"); id != "" {
		headers += "X-Request-Id: " + id + "\r\n"
	}
	if s.stated != "" {
		headers += "Server-Limit: " + s.stated + "\r\n"
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\nKeep-Alive: timeout=10\r\n%s\r\n%s", status, http.StatusText(status), len(body), headers, body)
	return err == nil
}

func (s *server) holdsLocked(key uint32) bool {
	for k := len(s.holds) - 1; k >= 0; k-- {
		if h := s.holds[k]; h.from <= key && key <= h.to {
			return h.until.After(time.Now())
		}
	}
	return false
}

// holdsKey reports whether the server runs and holds key.
func (s *server) holdsKey(key uint32) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.closed && s.holdsLocked(key)
}

func (s *server) grant(c net.Conn, hr *http.Request, body []byte) bool {
	var call struct {
		From  uint32 `json:"from"`
		To    uint32 `json:"to"`
		Fence uint64 `json:"fence"`
		TTL   string `json:"hold_time"`
	}
	err := json.Unmarshal(body, &call)
	ttl, ttlErr := time.ParseDuration(call.TTL)
	if err != nil || ttlErr != nil || call.From > call.To {
		return s.write(c, hr, 400, "", "")
	}
	now := time.Now()
	s.mu.Lock()
	refused := false
	for _, h := range s.holds {
		refused = refused || h.from <= call.To && call.From <= h.to && h.fence > call.Fence
	}
	if !refused {
		s.holds = append(s.holds, hold{call.From, call.To, call.Fence, now.Add(ttl)})
		s.grants = append(s.grants, grant{s.id, call.From, call.To, call.Fence, now, now.Add(ttl)})
	}
	s.mu.Unlock()
	if refused {
		return s.write(c, hr, 409, "", "")
	}
	return s.write(c, hr, 200, "", "")
}

func (s *server) release(c net.Conn, hr *http.Request, body []byte) bool {
	var call struct {
		From  uint32 `json:"from"`
		To    uint32 `json:"to"`
		Fence uint64 `json:"fence"`
	}
	if err := json.Unmarshal(body, &call); err != nil {
		return s.write(c, hr, 400, "", "")
	}
	s.mu.Lock()
	s.holds = append(s.holds, hold{call.From, call.To, call.Fence, time.Time{}})
	s.mu.Unlock()
	return s.write(c, hr, 200, fmt.Sprintf("X-Handover: %x\r\n", call.Fence), "")
}

// ran returns how often the request with an ID began to run.
func (s *server) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

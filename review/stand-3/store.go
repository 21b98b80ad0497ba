package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is an in-memory stand-in for the platform's metadata store: keyed topics with one
// partition, conditional appends by a producer's epoch, and one-member-at-a-time groups.
type store struct {
	listener net.Listener

	mu      sync.Mutex
	topics  map[string]*topic // guarded by mu
	groups  map[string]*group // guarded by mu
	changed chan struct{}     // closed at each append; guarded by mu
}

type topic struct {
	records   [][]byte // each is the length of its key, the key and the value
	producers map[string]*producer
}

type producer struct {
	epoch, sequence uint64
	offsets         map[uint64]int // of the appends that are known, by sequence
}

type group struct {
	generation uint64
	expires    map[string]time.Time // by member
}

func startStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, topics: map[string]*topic{}, groups: map[string]*group{}, changed: make(chan struct{})}
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }() // ends with the process
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes a record as the operator and the backend servers do.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	record := append([]byte{byte(len(key))}, key...)
	t.records = append(t.records, append(record, value...))
	s.wake()
}

func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{producers: map[string]*producer{}}
		s.topics[name] = t
	}
	return t
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/log-append":
		s.serveAppend(w, r)
	case "/v1/log-read":
		s.serveRead(w, r)
	case "/v1/log-newest":
		s.serveNewest(w, r)
	case "/v1/log-join":
		s.serveJoin(w, r)
	case "/v1/log-leave":
		s.serveLeave(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client may have left
}

func number(r *http.Request, name string) uint64 {
	n, _ := strconv.ParseUint(r.URL.Query().Get(name), 10, 64) // absent means 0
	return n
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	status, result := s.append(r, body)
	s.wake()
	s.mu.Unlock()
	writeJSON(w, status, result)
}

func (s *store) append(r *http.Request, body []byte) (int, any) {
	t := s.topic(r.URL.Query().Get("topic"))
	first, sequence := len(t.records), number(r, "sequence")
	if name := r.URL.Query().Get("producer"); name != "" {
		epoch, p := number(r, "epoch"), t.producers[name]
		if p == nil || epoch > p.epoch {
			p = &producer{epoch: epoch, sequence: sequence - 1, offsets: map[uint64]int{}}
			t.producers[name] = p
		}
		offset, known := p.offsets[sequence]
		switch {
		case epoch < p.epoch:
			return http.StatusConflict, map[string]any{"why": "fenced"}
		case known:
			return http.StatusOK, map[string]any{"offset": offset, "endOffset": len(t.records)}
		case sequence != p.sequence+1:
			return http.StatusConflict, map[string]any{"why": "seq", "sequence": p.sequence + 1}
		}
		p.sequence, p.offsets[sequence] = sequence, first
	}
	for len(body) >= 4 {
		n := binary.BigEndian.Uint32(body)
		t.records = append(t.records, append([]byte{}, body[4:4+n]...))
		body = body[4+n:]
	}
	return http.StatusOK, map[string]any{"offset": first, "endOffset": len(t.records)}
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	from := number(r, "from")
	end := time.Now().Add(time.Duration(number(r, "waitMs")) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed := s.topic(r.URL.Query().Get("topic")).records, s.changed
		s.mu.Unlock()
		if uint64(len(records)) > from || !time.Now().Before(end) {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, record := range records[min(from, uint64(len(records))):] {
				out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
				out = append(out, record...)
			}
			_, _ = w.Write(out) // the client may have left
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-time.After(time.Until(end)):
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	records := s.topic(r.URL.Query().Get("topic")).records
	s.mu.Unlock()
	newest := map[string]item{}
	for offset, record := range records {
		keyEnd := 1 + int(record[0])
		key, value := string(record[1:keyEnd]), record[keyEnd:]
		newest[key] = item{key, base64.StdEncoding.EncodeToString(value), offset}
		if len(value) == 0 {
			delete(newest, key)
		}
	}
	items := []item{}
	for _, i := range newest {
		items = append(items, i)
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": false, "endOffset": len(records)})
}

type groupCall struct {
	Group  string   `json:"group"`
	Member string   `json:"member"`
	Topics []string `json:"topics"`
	TTL    string   `json:"ttl_time"`
}

// serveJoin deals the 24 partitions of the first topic evenly to the members.
func (s *store) serveJoin(w http.ResponseWriter, r *http.Request) {
	var call groupCall
	if json.NewDecoder(r.Body).Decode(&call) != nil || len(call.Topics) == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl, err := time.ParseDuration(call.TTL)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.groups[call.Group]
	if !ok {
		g = &group{expires: map[string]time.Time{}}
		s.groups[call.Group] = g
	}
	now := time.Now()
	for member, at := range g.expires {
		if now.After(at) {
			delete(g.expires, member)
			g.generation++
		}
	}
	if _, ok := g.expires[call.Member]; !ok {
		g.generation++
	}
	g.expires[call.Member] = now.Add(ttl)
	var members []string
	for member := range g.expires {
		members = append(members, member)
	}
	sort.Strings(members)
	parts := [][]any{}
	for part := range 24 {
		if members[part%len(members)] == call.Member {
			parts = append(parts, []any{call.Topics[0], part, 0})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"generation": g.generation, "ttl_time": call.TTL, "parts": parts})
}

func (s *store) serveLeave(w http.ResponseWriter, r *http.Request) {
	var call groupCall
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if g, ok := s.groups[call.Group]; ok {
		delete(g.expires, call.Member)
		g.generation++
	}
	writeJSON(w, http.StatusOK, map[string]any{})
}

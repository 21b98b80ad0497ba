// Package platform is a small stand-in of the platform's services: the
// append-only log and the list of backend servers, with faults.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	core "bronzewind.example/core/platform"
)

const (
	// FaultsPath takes Faults by PUT.
	FaultsPath = "/faults"
	// JournalPath takes lines by POST and answers all of them.
	JournalPath = "/journal"

	maxRecordBytes  = 4 << 20
	maxBatchEntries = 1000
	maxWait         = 10 * time.Second
)

type (
	// Faults are what the stand-in does wrong at present.
	Faults struct {
		Down        bool `json:"down"`         // every call of the log fails
		SlowMillis  int  `json:"slow-ms"`      // wait before each call of the log
		LoseAnswers bool `json:"lose-answers"` // an append takes effect, and fails
		Keep        int  `json:"keep"`         // newest records kept; 0 keeps all
		ListLagMs   int  `json:"list-lag-ms"`  // age of what the list shows
	}

	// Platform is log and list in memory; it is safe for concurrent use.
	Platform struct {
		mu      sync.Mutex
		faults  Faults
		first   uint64 // offset of entries[0]
		entries [][]byte
		added   chan struct{} // closed at each append
		lists   []listing     // in order of time; the last is the present
		journal []byte        // lines that backend servers wrote, for checks
	}

	listing struct {
		at   time.Time
		rows []core.Listed
	}
)

// New returns an empty log and an empty list without faults.
func New() *Platform {
	return &Platform{added: make(chan struct{}), lists: []listing{{}}}
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.trim()
}

// SetList replaces the list of backend servers.
func (p *Platform) SetList(rows []core.Listed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = append(p.lists, listing{at: time.Now(), rows: append([]core.Listed(nil), rows...)})
}

// Append adds data to the log, ignoring faults, and returns its offset.
func (p *Platform) Append(data []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = append(p.entries, data)
	offset := p.first + uint64(len(p.entries)) - 1
	p.trim()
	close(p.added)
	p.added = make(chan struct{})
	return offset
}

// trim drops records past retention; p.mu is held.
func (p *Platform) trim() {
	if over := len(p.entries) - p.faults.Keep; p.faults.Keep > 0 && over > 0 {
		p.entries = append([][]byte(nil), p.entries[over:]...)
		p.first += uint64(over)
	}
}

// Handler answers the platform's protocol.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+core.LogPath, p.faulty(p.serveAppend))
	mux.HandleFunc("GET "+core.LogPath, p.faulty(p.serveRead))
	mux.HandleFunc("GET "+core.ListPath, p.serveList)
	mux.HandleFunc("PUT "+core.ListPath, p.serveSetList)
	mux.HandleFunc("PUT "+FaultsPath, p.serveFaults)
	mux.HandleFunc("POST "+JournalPath, p.serveWriteJournal)
	mux.HandleFunc("GET "+JournalPath, p.serveJournal)
	return mux
}

// faulty makes h down or slow as the faults say.
func (p *Platform) faulty(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		f := p.faults
		p.mu.Unlock()
		if f.SlowMillis > 0 {
			sleep(r.Context(), time.Duration(f.SlowMillis)*time.Millisecond)
		}
		if f.Down {
			http.Error(w, "log service is down", http.StatusServiceUnavailable)
			return
		}
		h(w, r)
	}
}

func (p *Platform) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	offset := p.Append(data)
	p.mu.Lock()
	lose := p.faults.LoseAnswers
	p.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]uint64{"offset": offset})
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: "+err.Error(), http.StatusBadRequest)
		return
	}
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	ctx, cancel := context.WithTimeout(r.Context(), min(wait, maxWait))
	defer cancel()
	b, ok := p.readOrWait(ctx, from)
	if !ok {
		w.Header().Set(core.OldestHeader, strconv.FormatUint(b.Oldest, 10))
		http.Error(w, "no longer kept; the oldest record is "+strconv.FormatUint(b.Oldest, 10), http.StatusGone)
		return
	}
	writeJSON(w, map[string]any{"oldest": b.Oldest, "end": b.End, "first": b.First, "entries": b.Entries})
}

// readOrWait returns the records from offset on, waiting for the first until
// ctx ends; false when offset is no longer kept.
func (p *Platform) readOrWait(ctx context.Context, from uint64) (core.Batch, bool) {
	for {
		p.mu.Lock()
		b := core.Batch{Oldest: p.first, End: p.first + uint64(len(p.entries)), First: from}
		added := p.added
		if from < p.first {
			p.mu.Unlock()
			return b, false
		}
		if skip := from - p.first; skip < uint64(len(p.entries)) {
			b.Entries = p.entries[skip:min(skip+maxBatchEntries, uint64(len(p.entries)))]
		}
		p.mu.Unlock()
		if len(b.Entries) > 0 {
			return b, true
		}
		select {
		case <-ctx.Done():
			return b, true
		case <-added:
		}
	}
}

func (p *Platform) serveList(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	seen := time.Now().Add(-time.Duration(p.faults.ListLagMs) * time.Millisecond)
	rows := []core.Listed{}
	for _, l := range p.lists {
		if !l.at.After(seen) && l.rows != nil {
			rows = l.rows
		}
	}
	p.mu.Unlock()
	writeJSON(w, rows)
}

func (p *Platform) serveSetList(w http.ResponseWriter, r *http.Request) {
	var rows []core.Listed
	if err := json.NewDecoder(r.Body).Decode(&rows); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetList(rows)
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}

// serveWriteJournal keeps a line; it outlives the server that wrote it.
func (p *Platform) serveWriteJournal(w http.ResponseWriter, r *http.Request) {
	line, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.journal = append(append(p.journal, line...), '\n')
}

func (p *Platform) serveJournal(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	lines := p.journal
	p.mu.Unlock()
	_, _ = w.Write(lines)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

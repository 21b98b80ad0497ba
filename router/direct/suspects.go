package direct

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	suspicionTime   = 30 * time.Second
	quarantineTime  = 60 * time.Second
	crashesToBlock  = 3
	maxSuspects     = 4096
	maxPrintedBytes = 64 << 10
)

type (
	// Fingerprint tells requests apart by method, target, caller and body.
	Fingerprint uint64

	// suspects counts, for each request, the backend servers that went down while
	// they ran it. It answers callers that send a request again which crashes
	// every server that runs it.
	suspects struct {
		mu   sync.Mutex
		rows map[Fingerprint]suspect // guarded by mu
	}

	suspect struct {
		crashes int
		last    time.Time
	}
)

func newSuspects() *suspects { return &suspects{rows: map[Fingerprint]suspect{}} }

func fingerprint(method, target, caller string, body []byte) Fingerprint {
	d := xxhash.New()
	for _, s := range []string{method, target, caller} {
		_, _ = d.WriteString(s) // never fails
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body[:min(len(body), maxPrintedBytes)])
	return Fingerprint(d.Sum64())
}

// crashed counts a server that went down while it ran f, here or at another
// instance.
func (s *suspects) crashed(f Fingerprint, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	row := s.rows[f]
	if now.Sub(row.last) > suspicionTime {
		row.crashes = 0
	}
	row.crashes++
	row.last = now
	if len(s.rows) >= maxSuspects {
		s.forget(now)
	}
	s.rows[f] = row
	return row.crashes
}

// blocked reports whether f is not to run any more.
func (s *suspects) blocked(f Fingerprint, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[f]
	return ok && row.crashes >= crashesToBlock && now.Sub(row.last) < quarantineTime
}

// forget drops what is old, or else everything that is not blocked; s.mu is
// held.
func (s *suspects) forget(now time.Time) {
	for f, row := range s.rows {
		if now.Sub(row.last) > suspicionTime {
			delete(s.rows, f)
		}
	}
	if len(s.rows) < maxSuspects {
		return
	}
	for f, row := range s.rows {
		if row.crashes < crashesToBlock {
			delete(s.rows, f)
		}
	}
}

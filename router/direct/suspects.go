package direct

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	crashCountWindow    = 30 * time.Second
	quarantineDuration  = 60 * time.Second
	quarantineCrashes   = 3
	maxSuspects         = 4096
	maxFingerprintBytes = 64 << 10
)

type (
	// Fingerprint tells requests apart by method, target, caller and body.
	Fingerprint uint64

	// suspects counts, for each request, the backend servers that went down while
	// they ran it. It answers callers that send a request again which crashes
	// every server that runs it.
	suspects struct {
		mu            sync.Mutex
		byFingerprint map[Fingerprint]suspect // guarded by mu
	}

	suspect struct {
		crashes   int
		lastCrash time.Time
	}
)

func newSuspects() *suspects { return &suspects{byFingerprint: map[Fingerprint]suspect{}} }

func fingerprint(method, target, caller string, body []byte) Fingerprint {
	d := xxhash.New()
	for _, s := range []string{method, target, caller} {
		_, _ = d.WriteString(s) // never fails
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body[:min(len(body), maxFingerprintBytes)])
	return Fingerprint(d.Sum64())
}

// recordCrash counts a server that went down while it ran f, here or at another
// instance.
func (s *suspects) recordCrash(f Fingerprint, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	row := s.byFingerprint[f]
	if now.Sub(row.lastCrash) > crashCountWindow {
		row.crashes = 0
	}
	row.crashes++
	row.lastCrash = now
	if len(s.byFingerprint) >= maxSuspects {
		s.evict(now)
	}
	s.byFingerprint[f] = row
	return row.crashes
}

// quarantined reports whether f is not to run any more.
func (s *suspects) quarantined(f Fingerprint, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.byFingerprint[f]
	return ok && row.crashes >= quarantineCrashes && now.Sub(row.lastCrash) < quarantineDuration
}

// evict drops what is old, or else everything that is not blocked; s.mu is
// held.
func (s *suspects) evict(now time.Time) {
	for f, row := range s.byFingerprint {
		if now.Sub(row.lastCrash) > crashCountWindow {
			delete(s.byFingerprint, f)
		}
	}
	if len(s.byFingerprint) < maxSuspects {
		return
	}
	for f, row := range s.byFingerprint {
		if row.crashes < quarantineCrashes {
			delete(s.byFingerprint, f)
		}
	}
}

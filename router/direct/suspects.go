package direct

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	crashCountWindow    = 30 * time.Second // longest time between crashes that are counted together
	quarantineDuration  = 60 * time.Second
	quarantineThreshold = 3 // crashes after which a request is refused
	evictionThreshold   = 4096
	maxFingerprintBytes = 64 << 10 // of the body
)

type (
	// Fingerprint is a hash of a request's method, target, caller and body that
	// identifies repetitions of the same request.
	Fingerprint uint64

	// suspects counts, for each request, the backend servers that crashed while
	// running it. It protects the servers from callers that resend a request which
	// crashes every server that runs it.
	suspects struct {
		mu            sync.Mutex
		byFingerprint map[Fingerprint]crashRecord // guarded by mu
	}

	crashRecord struct {
		crashes   int
		lastCrash time.Time
	}
)

func newSuspects() *suspects { return &suspects{byFingerprint: map[Fingerprint]crashRecord{}} }

func fingerprint(method, target, caller string, body []byte) Fingerprint {
	d := xxhash.New()
	for _, s := range []string{method, target, caller} {
		_, _ = d.WriteString(s) // never fails
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body[:min(len(body), maxFingerprintBytes)])
	return Fingerprint(d.Sum64())
}

// recordCrash counts a server crash while it ran f, at this or another instance,
// and returns the number of crashes counted for f.
func (s *suspects) recordCrash(f Fingerprint, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.byFingerprint[f]
	if now.Sub(entry.lastCrash) > crashCountWindow {
		entry.crashes = 0
	}
	entry.crashes++
	entry.lastCrash = now
	if len(s.byFingerprint) >= evictionThreshold {
		s.evict(now)
	}
	s.byFingerprint[f] = entry
	return entry.crashes
}

// quarantined reports whether f must not be sent to any server.
func (s *suspects) quarantined(f Fingerprint, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.byFingerprint[f]
	return ok && entry.crashes >= quarantineThreshold && now.Sub(entry.lastCrash) < quarantineDuration
}

// evict removes old entries. If that is not enough, it removes all entries with
// fewer than quarantineCrashes crashes. The caller holds s.mu.
func (s *suspects) evict(now time.Time) {
	for f, entry := range s.byFingerprint {
		if now.Sub(entry.lastCrash) > crashCountWindow {
			delete(s.byFingerprint, f)
		}
	}
	if len(s.byFingerprint) < evictionThreshold {
		return
	}
	for f, entry := range s.byFingerprint {
		if entry.crashes < quarantineThreshold {
			delete(s.byFingerprint, f)
		}
	}
}

package direct

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	crashCountWindow    = 30 * time.Second // longest time between crashes that are counted together
	quarantineDuration  = 60 * time.Second
	quarantineThreshold = 3        // crashes from which a request is quarantined
	evictionThreshold   = 4096     // entries from which evict is called; quarantined entries may exceed it
	maxFingerprintBytes = 64 << 10 // of the body
)

type (
	// Fingerprint is a hash of a request's method, URI, caller's IP address and
	// the first maxFingerprintBytes of its body. Requests with equal fingerprints
	// are taken for the same request.
	Fingerprint uint64

	// suspects counts, for each request, the backend servers that crashed while
	// running it. It protects the servers from callers that resend a request which
	// crashes every server that runs it.
	suspects struct {
		mu            sync.Mutex
		byFingerprint map[Fingerprint]crashRecord // guarded by mu
	}

	// crashRecord holds the crashes counted for one fingerprint.
	crashRecord struct {
		crashes   int
		lastCrash time.Time
	}
)

func newSuspects() *suspects { return &suspects{byFingerprint: map[Fingerprint]crashRecord{}} }

func fingerprint(method, requestURI, callerIP string, body []byte) Fingerprint {
	d := xxhash.New()
	for _, s := range []string{method, requestURI, callerIP} {
		_, _ = d.WriteString(s) // never fails
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body[:min(len(body), maxFingerprintBytes)])
	return Fingerprint(d.Sum64())
}

// recordCrash counts a crash of a backend server that was running a request
// with fingerprint f, and returns the number of crashes counted for f. The
// crash may have been detected by another instance.
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

// quarantined reports whether requests with fingerprint f are refused at
// present.
func (s *suspects) quarantined(f Fingerprint, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.byFingerprint[f]
	return ok && entry.crashes >= quarantineThreshold && now.Sub(entry.lastCrash) < quarantineDuration
}

// evict removes entries whose last crash is more than crashCountWindow ago,
// which ends their quarantine early. If that is not enough, it removes all
// entries with fewer than quarantineThreshold crashes. s.mu must be held.
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

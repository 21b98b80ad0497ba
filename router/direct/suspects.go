package direct

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzewind.example/core/ownership"
)

// The decisions in this file handle callers that resend a request which crashes every
// backend server that runs it.

const (
	crashCountWindow    = 30 * time.Second // longest time between crashes that are counted together
	quarantineThreshold = 3                // servers from whose crash on a request is quarantined
	maxCountedServers   = 8                // of one request

	// The first quarantine of a request lasts quarantineDuration, and each further one
	// twice as long, up to maxQuarantineDuration.
	quarantineDuration    = 60 * time.Second
	maxQuarantineDuration = 16 * time.Minute

	// probationTime is how long after a quarantine a single further crash begins the next
	// one.
	probationTime = 30 * time.Minute

	maxSuspects         = 4096     // entries; the oldest ones are evicted
	maxFingerprintBytes = 64 << 10 // of the body
)

type (
	// Fingerprint is a hash of a request's method, URI, caller's IP address and
	// the first maxFingerprintBytes of its body. Requests with equal fingerprints
	// are taken for the same request.
	Fingerprint uint64

	// CrashReport names the servers that have crashed lately while they ran requests with a
	// fingerprint, as far as one instance knows.
	CrashReport struct {
		Fingerprint Fingerprint
		Servers     []ownership.Incarnation
	}

	// Quarantine is the time for which requests with a fingerprint are refused.
	Quarantine struct {
		Fingerprint Fingerprint
		Number      int // 1 for the first quarantine of the fingerprint
		Until       time.Time
	}

	// suspects holds, for each fingerprint, the backend servers that crashed while running
	// it.
	suspects struct {
		mu            sync.Mutex
		byFingerprint map[Fingerprint]crashRecord // guarded by mu
	}

	// crashRecord is what is known of one fingerprint. It is immutable.
	crashRecord struct {
		servers    []ownership.Incarnation // that crashed within crashCountWindow of one another; at most maxCountedServers
		lastCrash  time.Time
		quarantine Quarantine // the last one; its Number is 0 if there was none
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

// Duration returns how long the quarantine lasts in all.
func (q Quarantine) Duration() time.Duration {
	d := quarantineDuration
	for n := 1; n < q.Number && d < maxQuarantineDuration; n++ {
		d *= 2
	}
	return min(d, maxQuarantineDuration)
}

// Forgotten reports whether so much time has passed since the quarantine that the
// fingerprint counts as unknown.
func (q Quarantine) Forgotten(now time.Time) bool { return now.Sub(q.Until) >= probationTime }

// withCrashes returns the record after crashes of servers that ran the request. A server that
// was counted before has no effect. The request is quarantined if enough servers have
// crashed, or if one has while the request is on probation.
func (c crashRecord) withCrashes(f Fingerprint, servers []ownership.Incarnation, now time.Time) crashRecord {
	if now.Sub(c.lastCrash) > crashCountWindow {
		c.servers = nil
	}
	if c.quarantine.Forgotten(now) {
		c.quarantine = Quarantine{}
	}
	known := len(c.servers)
	for _, s := range servers {
		if len(c.servers) < maxCountedServers && !slices.Contains(c.servers, s) {
			c.servers = append(slices.Clip(c.servers), s)
		}
	}
	if len(c.servers) == known {
		return c
	}
	c.lastCrash = now
	guilty := len(c.servers) >= quarantineThreshold || c.quarantine.Number > 0
	if guilty && !now.Before(c.quarantine.Until) {
		c.quarantine = Quarantine{Fingerprint: f, Number: c.quarantine.Number + 1}
		c.quarantine.Until = now.Add(c.quarantine.Duration())
	}
	return c
}

// expired reports whether the record has no effect any more.
func (c crashRecord) expired(now time.Time) bool {
	return now.Sub(c.lastCrash) > crashCountWindow && c.quarantine.Forgotten(now)
}

// recordCrashes adds a report, which may come from another instance. It returns the servers
// counted so far and the quarantine that begins with the report; its Number is 0 if none
// does.
func (s *suspects) recordCrashes(r CrashReport, now time.Time) ([]ownership.Incarnation, Quarantine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.byFingerprint[r.Fingerprint]
	next := old.withCrashes(r.Fingerprint, r.Servers, now)
	s.store(r.Fingerprint, next, now)
	if next.quarantine.Number > old.quarantine.Number {
		return next.servers, next.quarantine
	}
	return next.servers, Quarantine{}
}

// addQuarantine adds a quarantine that began elsewhere, or before the instance started.
func (s *suspects) addQuarantine(q Quarantine, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.byFingerprint[q.Fingerprint]
	if q.Number < record.quarantine.Number || q.Number == record.quarantine.Number && !q.Until.After(record.quarantine.Until) {
		return
	}
	record.quarantine = q
	s.store(q.Fingerprint, record, now)
}

// quarantined reports whether requests with fingerprint f are refused at
// present.
func (s *suspects) quarantined(f Fingerprint, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.byFingerprint[f].quarantine.Until)
}

// dropCompleted drops the record of a request that a server has run to its end, so that a request
// which was in flight at servers that crashed for another reason is not taken for the
// cause. A quarantine that is in force stays.
func (s *suspects) dropCompleted(f Fingerprint, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if record, ok := s.byFingerprint[f]; ok && !now.Before(record.quarantine.Until) {
		delete(s.byFingerprint, f)
	}
}

// store sets a record and evicts others if there are too many: those that have expired, or
// else the one whose last crash is the oldest. s.mu must be held.
func (s *suspects) store(f Fingerprint, record crashRecord, now time.Time) {
	if _, ok := s.byFingerprint[f]; !ok && len(s.byFingerprint) >= maxSuspects {
		s.evict(now)
	}
	s.byFingerprint[f] = record
}

func (s *suspects) evict(now time.Time) {
	var oldest Fingerprint
	first := true
	for f, record := range s.byFingerprint {
		if record.expired(now) {
			delete(s.byFingerprint, f)
			continue
		}
		if first || record.olderThan(s.byFingerprint[oldest], now) {
			oldest, first = f, false
		}
	}
	if len(s.byFingerprint) >= maxSuspects {
		delete(s.byFingerprint, oldest)
	}
}

// olderThan reports whether c is evicted before other: records without a quarantine in
// force first, and then by their last crash.
func (c crashRecord) olderThan(other crashRecord, now time.Time) bool {
	inForce, otherInForce := now.Before(c.quarantine.Until), now.Before(other.quarantine.Until)
	if inForce != otherInForce {
		return otherInForce
	}
	return c.lastCrash.Before(other.lastCrash)
}

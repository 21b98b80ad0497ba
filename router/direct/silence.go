package direct

import (
	"context"
	"errors"
	"os"
	"sync"
	"time"

	"bronzewind.example/core/ownership"
)

// The decisions in this file handle a request that crashes backend servers, before they respond
// or within their responses. A server whose connection breaks has crashed if it accepts no other
// one. A crash may also come without a reset: connections stay open and silent, or are reset only
// once the servers have restarted. Silence alone does not show a crash, since a slow or frozen
// server and a cut link are silent too. It counts as a crash only if the incarnation that was
// sent the request has ended, and has responded to no later request.

const (
	silenceLife = 20 * time.Second // how long an attempt without a complete response is kept after its end
	maxSilences = 512              // attempts that are remembered
)

const (
	// serverListed means that the server may still be running.
	serverListed serverEnd = iota
	// serverUnlisted means that its record has been deleted from the store. The server may
	// be running without reaching the store.
	serverUnlisted
	// serverReplaced means that another incarnation has its address.
	serverReplaced
	// serverLeft means that the server has announced its end.
	serverLeft
)

type (
	// serverEnd is what is known of the end of an incarnation.
	serverEnd int

	// silence is an attempt at a server that ended without a complete response.
	silence struct {
		fingerprint Fingerprint
		backend     *backend
		sentAt      time.Time
		endedAt     time.Time
	}

	// silences holds the attempts without a complete response of which it is not known whether their
	// servers have crashed.
	silences struct {
		mu   sync.Mutex
		list []silence // in the order of endedAt; at most maxSilences; guarded by mu
	}
)

// add adds an attempt, unless there are too many. It drops those that have expired.
func (s *silences) add(x silence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropIf(func(old silence) bool { return x.endedAt.Sub(old.endedAt) > silenceLife })
	if len(s.list) < maxSilences {
		s.list = append(s.list, x)
	}
}

// respondedTo drops the attempts at b that were sent before a request to which b has
// responded: b has not crashed on them.
func (s *silences) respondedTo(b *backend, sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropIf(func(x silence) bool { return x.backend == b && x.sentAt.Before(sentAt) })
}

// dropCompleted drops the attempts of a request that were sent before a server ran it to its end.
func (s *silences) dropCompleted(f Fingerprint, sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropIf(func(x silence) bool { return x.fingerprint == f && x.sentAt.Before(sentAt) })
}

// conclude removes and returns the attempts at servers that have crashed, and returns those
// at servers that have if they accept no connection. It drops those that have expired.
func (s *silences) conclude(end func(*backend) serverEnd, now time.Time) (crashed, inDoubt []silence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropIf(func(x silence) bool { return now.Sub(x.endedAt) > silenceLife })
	s.dropIf(func(x silence) bool {
		switch end(x.backend) {
		case serverReplaced:
			crashed = append(crashed, x)
		case serverUnlisted:
			inDoubt = append(inDoubt, x)
		case serverLeft:
		default:
			return false
		}
		return true
	})
	return crashed, inDoubt
}

// dropIf removes attempts; s.mu must be held.
func (s *silences) dropIf(drop func(silence) bool) {
	kept := s.list[:0]
	for _, x := range s.list {
		if !drop(x) {
			kept = append(kept, x)
		}
	}
	clear(s.list[len(kept):])
	s.list = kept
}

// unanswered reports whether a request was sent and no byte of a response was received, so
// that the server may have crashed on it.
func (a attemptResult) unanswered() bool {
	return !a.responded && (a.outcome == outcomeUnknown || a.outcome == outcomeCancelled && a.requestBytes > 0)
}

// cutOff reports whether a response began and did not end, so that the server may have crashed
// within it.
func (a attemptResult) cutOff() bool {
	return a.responded && a.outcome == outcomeUnknown && (a.closedByServer() || errors.Is(a.err, os.ErrDeadlineExceeded))
}

// closedByServer reports whether the server closed or reset the connection before the end of its
// response.
func (a attemptResult) closedByServer() bool {
	return a.closedBeforeResponse || closedByPeer(a.err) || errors.Is(a.err, errWriteFailed)
}

// observeSilence records whether the server responded to an attempt, and looks for a crash
// if its response is not complete.
func (s *Server) observeSilence(b *backend, f Fingerprint, a attemptResult) {
	now := time.Now()
	if a.outcome == outcomeDone && a.response.status < 500 {
		s.suspects.dropCompleted(f, now)
		s.silences.dropCompleted(f, a.sentAt)
	}
	if a.responded {
		b.recordResponse(a.sentAt)
		s.silences.respondedTo(b, a.sentAt)
	}
	if !a.unanswered() && !a.cutOff() {
		return
	}
	x := silence{fingerprint: f, backend: b, sentAt: a.sentAt, endedAt: now}
	switch {
	case a.closedByServer(): // until then, it may have responded to requests that were sent later
		s.checkCrash(x)
	case !b.respondedSince(a.sentAt):
		s.addSilence(x)
	}
}

func (s *Server) addSilence(x silence) {
	s.silences.add(x)
	s.concludeSilences() // its server may have ended before the attempt did
}

// concludeSilences counts the crashes that the server list shows.
func (s *Server) concludeSilences() {
	list := s.servers.Load()
	crashed, inDoubt := s.silences.conclude(list.endOf, time.Now())
	for _, x := range crashed {
		s.countCrash(x)
	}
	for _, x := range inDoubt {
		s.checkCrash(x)
	}
}

// endOf returns what the list shows of the end of the incarnation that b stands for.
func (l *serverSnapshot) endOf(b *backend) serverEnd {
	info := b.info.Load()
	known, ok := l.incarnations[info.Incarnation]
	switch {
	case info.Leaving || b.statedLeaving.Load():
		return serverLeft
	case l.replaced(info) || b.replaced(time.Now()):
		return serverReplaced
	case !ok || known.backend != b || known.unlisted:
		return serverUnlisted
	default:
		return serverListed
	}
}

// replaced reports whether a later incarnation is listed with the address of info.
func (l *serverSnapshot) replaced(info *ServerInfo) bool {
	return l.newestStart[info.Address] > info.StartedMillis
}

// checkCrash checks in the background whether the server still accepts connections. If not,
// and if the instance reaches other servers, it counts a crash. A server that accepts
// connections may have restarted, which the server list shows later; see healthCheckState.due.
func (s *Server) checkCrash(x silence) {
	s.crashChecks.Go(func() {
		switch {
		case s.reaches(context.Background(), x.backend):
			if s.servers.Load().endOf(x.backend) != serverUnlisted {
				s.addSilence(x)
			}
		case !s.reachability.partitioned():
			s.countCrash(x)
		}
	})
}

// countCrash counts a crash of the server that was running a request.
func (s *Server) countCrash(x silence) {
	info := x.backend.info.Load()
	s.observeCrashBytes(x.backend, time.Now())
	report := CrashReport{Fingerprint: x.fingerprint, Servers: []ownership.Incarnation{info.Incarnation}}
	servers, quarantine := s.suspects.recordCrashes(report, time.Now())
	s.onCrash(CrashReport{Fingerprint: x.fingerprint, Servers: servers})
	s.log.Limited("server-crashed", "server", info.ID, "service", info.Service, "fingerprint", uint64(x.fingerprint), "crashes", len(servers))
	s.reportQuarantine(quarantine, true)
}

func (s *Server) reportQuarantine(q Quarantine, own bool) {
	if q.Number == 0 {
		return
	}
	s.log.Event("request-quarantined", "fingerprint", uint64(q.Fingerprint), "number", q.Number, "for-ms", q.Duration().Milliseconds())
	s.onQuarantine(q, own)
}

// RecordCrashes counts crashes that another instance reported.
func (s *Server) RecordCrashes(r CrashReport) {
	_, quarantine := s.suspects.recordCrashes(r, time.Now())
	s.reportQuarantine(quarantine, false)
}

// AddQuarantine adds a quarantine that began at another instance, or before this one started.
func (s *Server) AddQuarantine(q Quarantine) { s.suspects.addQuarantine(q, time.Now()) }

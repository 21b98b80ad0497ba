package direct

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzewind.example/core/code"
	"bronzewind.example/core/ownership"
)

// TestSilentCrashesAreCounted guards against a request that makes each server silent that
// runs it, and is never quarantined because no connection breaks. Servers that are slow,
// frozen or leaving are silent too and do not count.
func TestSilentCrashesAreCounted(t *testing.T) {
	const f = Fingerprint(7)
	later := func(i ServerInfo) ServerInfo {
		i.StartedMillis++
		return i
	}
	attempts := map[string]attemptResult{
		"without a byte":    {outcome: outcomeUnknown, requestBytes: 1},
		"within a response": {outcome: outcomeUnknown, requestBytes: 1, responded: true, code: code.AnswerCutOff, err: os.ErrDeadlineExceeded},
	}
	for _, c := range []struct {
		name  string
		after func(s *Server, b *backend, sentAt time.Time) []ServerInfo // the list after a silent attempt at b
		want  bool                                                       // whether the request is quarantined after three servers
	}{
		{"back as another incarnation", func(_ *Server, b *backend, _ time.Time) []ServerInfo {
			return []ServerInfo{later(*b.info.Load())}
		}, true},
		{"another server has the address, and the record is still there", func(_ *Server, b *backend, _ time.Time) []ServerInfo {
			other := later(*b.info.Load())
			other.ID, other.Service = "other", "other"
			return []ServerInfo{*b.info.Load(), other}
		}, true},
		{"a rejection has shown another server", func(s *Server, b *backend, _ time.Time) []ServerInfo {
			s.MarkReplaced(b.info.Load().Incarnation, time.Now())
			return []ServerInfo{*b.info.Load()}
		}, true},
		{"no record, and no connection is accepted", func(*Server, *backend, time.Time) []ServerInfo { return nil }, true},
		{"listed as before", func(_ *Server, b *backend, _ time.Time) []ServerInfo { return []ServerInfo{*b.info.Load()} }, false},
		{"a response to a later request", func(s *Server, b *backend, sentAt time.Time) []ServerInfo {
			s.observeSilence(b, 1, attemptResult{outcome: outcomeUnknown, responded: true, sentAt: sentAt.Add(time.Millisecond)})
			return []ServerInfo{later(*b.info.Load())}
		}, false},
		{"leaving", func(_ *Server, b *backend, _ time.Time) []ServerInfo {
			b.statedLeaving.Store(true)
			return []ServerInfo{later(*b.info.Load())}
		}, false},
		{"no record, while no server is reachable", func(s *Server, _ *backend, _ time.Time) []ServerInfo {
			s.reachability.conclude(false, time.Now())
			return nil
		}, false},
	} {
		for silent, a := range attempts {
			t.Run(silent+", "+c.name, func(t *testing.T) {
				s := newTestServer(t, Route{}, false)
				for n := range quarantineThreshold {
					info := ServerInfo{Incarnation: ownership.Incarnation{ID: fmt.Sprint("i", n), StartedMillis: 1}, Service: "s", Address: "127.0.0.1:1"}
					s.SetServers([]ServerInfo{info}, time.Now())
					b := s.servers.Load().incarnations[info.Incarnation].backend
					a.sentAt = time.Now()
					s.observeSilence(b, f, a)
					s.SetServers(c.after(s, b, a.sentAt), time.Now())
					s.Wait()
				}
				if got := s.suspects.quarantined(f, time.Now()); got != c.want {
					t.Errorf("quarantined %v, want %v", got, c.want)
				}
			})
		}
	}
}

// TestCrashesWithinResponsesAreCounted guards against a request that is never quarantined
// because the servers that it crashes have begun to respond, or have responded to later requests
// before they crash. Servers that break a response off and go on do not count.
func TestCrashesWithinResponsesAreCounted(t *testing.T) {
	const head = "HTTP/1.1 200 X\r\nT-Id: r\r\nT-Signed: s\r\n"
	for name, beginning := range map[string]string{
		"nothing":                   "",
		"part of a head":            head,
		"an interim response":       "HTTP/1.1 103 X\r\n\r\n",
		"part of a short body":      head + "Content-Length: 100\r\n\r\npart",
		"part of a body in chunks":  head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"part of a streamed body":   head + "Content-Length: 1000000\r\n\r\n" + strings.Repeat("x", 2*streamWindow),
		"part of a body to its end": head + "\r\npart",
	} {
		for _, crash := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, crash=%v", name, crash), func(t *testing.T) {
				var s *Server
				var sends atomic.Int64
				var servers []string
				for range 8 {
					var server *scriptedServer
					server = newScriptedServer(t, func(c net.Conn, _ *http.Request, _ int64) {
						sends.Add(1)
						fmt.Fprint(c, beginning)
						for _, b := range s.listedServers() {
							b.recordResponse(time.Now()) // to a request that was sent later
						}
						if crash {
							server.listener.Close()
						}
						reset(c)
					})
					servers = append(servers, server.listener.Addr().String())
				}
				s = newTestServer(t, Route{Idempotent: true, Attempts: 1}, false, servers...)
				for range 6 {
					sendUntilCut(s)
					s.Wait()
				}
				want := int64(6)
				if crash {
					want = quarantineThreshold
				}
				if got := sends.Load(); got != want {
					t.Errorf("the request was sent %d times, want %d", got, want)
				}
			})
		}
	}
}

// sendUntilCut sends a request of which the response may be broken off.
func sendUntilCut(s *Server) {
	defer func() { _ = recover() }() // ends the connection of the caller
	r := httptest.NewRequest(http.MethodGet, "http://h/x", http.NoBody)
	r.Header.Set("T-Id", "r")
	r.Header.Set("T-Deadline", "20000")
	s.ServeHTTP(httptest.NewRecorder(), r)
}

// TestSilenceIsBounded guards against a fleet of frozen servers that fills the memory with
// attempts without a response.
func TestSilenceIsBounded(t *testing.T) {
	var s silences
	now := time.Unix(1_790_000_000, 0)
	for range 2 * maxSilences {
		s.add(silence{endedAt: now})
	}
	if n := len(s.list); n != maxSilences {
		t.Errorf("%d attempts are remembered, want %d", n, maxSilences)
	}
	s.add(silence{endedAt: now.Add(silenceLife + 1)})
	if n := len(s.list); n != 1 {
		t.Errorf("%d attempts are remembered after %v, want 1", n, silenceLife)
	}
}

// TestRequestThatRanIsNoSuspect guards against a request that is quarantined for attempts
// which servers left unanswered before another one ran it to its end, and for attempts that
// ended long ago.
func TestRequestThatRanIsNoSuspect(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return now.Add(time.Duration(seconds) * time.Second) }
	var s silences
	for n, f := range []Fingerprint{1, 2, 1, 2} {
		s.add(silence{fingerprint: f, backend: &backend{}, sentAt: at(n), endedAt: at(n + 4)})
	}
	s.dropCompleted(1, at(1))
	ended := func(*backend) serverEnd { return serverReplaced }
	crashed, _ := s.conclude(ended, at(8))
	var got []Fingerprint
	for _, x := range crashed {
		got = append(got, x.fingerprint)
	}
	if diff := cmp.Diff([]Fingerprint{2, 1, 2}, got); diff != "" {
		t.Errorf("crashes counted (-want +got):\n%s", diff)
	}
	s.add(silence{fingerprint: 3, backend: &backend{}, sentAt: at(0), endedAt: at(4)})
	if crashed, _ := s.conclude(ended, at(5).Add(silenceLife)); len(crashed) != 0 {
		t.Errorf("%d crashes counted for attempts that ended over %v ago", len(crashed), silenceLife)
	}
}

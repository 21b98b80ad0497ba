package direct

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzewind.example/core/code"
	"bronzewind.example/core/oplog"
	"bronzewind.example/core/ownership"
)

// testProtocol uses header names that differ from the product's, so that a
// header name fixed in the code makes a test fail.
var testProtocol = Protocol{
	RequestID: "T-Id", Deadline: "T-Deadline", Key: "T-Key", ExpectedServer: "T-Expect", ServerID: "T-Server", Signature: "T-Signed",
	NotRun: "T-Not-Run", Load: "T-Load", RateLimit: "T-Limit", ParseLoad: func(string) LoadReport { return LoadReport{} },
	ParseRateLimit: func(v string) (float64, error) { return strconv.ParseFloat(v, 64) },
	Warmup:         "T-Warmup", ParseWarmup: time.ParseDuration,
}

// testTimeout is longer than any request takes on a busy machine.
const testTimeout = 30 * time.Second

// scriptedServer is a backend server that lets respond write the raw bytes of
// each response.
type scriptedServer struct {
	listener net.Listener
	requests atomic.Int64
	respond  func(c net.Conn, r *http.Request, sendNumber int64) // sendNumber counts the requests from 1
	mu       sync.Mutex
	conns    []net.Conn
}

func newScriptedServer(t *testing.T, respond func(c net.Conn, r *http.Request, sendNumber int64)) *scriptedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedServer{listener: l, respond: respond}
	go s.accept()
	t.Cleanup(s.stop)
	return s
}

func (s *scriptedServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, c)
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *scriptedServer) stop() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.Close()
	}
}

func (s *scriptedServer) serve(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			c.Close()
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.respond(c, r, s.requests.Add(1))
	}
}

// writeTestResponse writes a complete response to the request with the given ID.
func writeTestResponse(c net.Conn, status int, id, body string, headers ...string) {
	fmt.Fprintf(c, "HTTP/1.1 %03d X\r\nT-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s",
		status, id, len(body), strings.Join(append(headers, ""), "\r\n"), body)
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// newTestServer returns a Server for one service with backend servers at the
// given addresses.
func newTestServer(t *testing.T, route Route, exclusive bool, addresses ...string) *Server {
	t.Helper()
	s := NewServer(testProtocol, oplog.New(io.Discard))
	route.Name, route.Host, route.Prefix = "r", "h", "/"
	route.Timeout, route.Target = testTimeout, testTimeout
	route.Parts = []Part{{Service: "s", Weight: 1}}
	s.SetRoutingTable(NewRoutingTable(1, []Route{route}, []Service{{Name: "s", Exclusive: exclusive, MaxConnections: 50}}, Limits{}))
	var list []ServerInfo
	for i, a := range addresses {
		list = append(list, ServerInfo{Incarnation: ownership.Incarnation{ID: fmt.Sprint("i", i), StartedMillis: 1}, Service: "s", Address: a, Slots: 6})
	}
	s.SetServers(list, time.Now())
	t.Cleanup(s.Wait)
	return s
}

func sendRequest(t *testing.T, s *Server, method, id, body string) *httptest.ResponseRecorder {
	t.Helper()
	r := httptest.NewRequest(method, "http://h/x?q=1", strings.NewReader(body))
	r.Header.Set("T-Id", id)
	r.Header.Set("T-Deadline", "20000")
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

// TestOutcomes checks, for each kind of response or failure of a server, which
// status the caller gets and how often the request is sent, for idempotent and
// other requests. It guards against running a non-idempotent request twice and
// against passing on a response that is not the server's.
func TestOutcomes(t *testing.T) {
	signed := "T-Signed: s"
	writeGoodResponse := func(c net.Conn, r *http.Request) { writeTestResponse(c, 200, r.Header.Get("T-Id"), "good", signed) }
	for _, c := range []struct {
		name string
		// sendNumber counts the requests to both servers from 1
		respond func(c net.Conn, r *http.Request, sendNumber int64)
		// status and number of sends, for an idempotent and for another request
		idempotent, other [2]int
	}{
		{"complete response", func(c net.Conn, r *http.Request, _ int64) { writeGoodResponse(c, r) }, [2]int{200, 1}, [2]int{200, 1}},
		{"unsigned success", func(c net.Conn, r *http.Request, sendNumber int64) {
			if sendNumber == 1 {
				writeTestResponse(c, 200, r.Header.Get("T-Id"), "bad")
				return
			}
			writeGoodResponse(c, r)
		}, [2]int{200, 2}, [2]int{502, 1}},
		{"encoded success", func(c net.Conn, r *http.Request, sendNumber int64) {
			if sendNumber == 1 {
				writeTestResponse(c, 200, r.Header.Get("T-Id"), "bad", signed, "Content-Encoding: gzip")
				return
			}
			writeGoodResponse(c, r)
		}, [2]int{200, 2}, [2]int{502, 1}},
		{"truncated body", func(c net.Conn, r *http.Request, sendNumber int64) {
			if sendNumber == 1 {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\n%s\r\nContent-Length: 100\r\n\r\nfour", r.Header.Get("T-Id"), signed)
				c.Close()
				return
			}
			writeGoodResponse(c, r)
		}, [2]int{200, 2}, [2]int{502, 1}},
		{"no length, then a reset", func(c net.Conn, r *http.Request, sendNumber int64) {
			if sendNumber == 1 {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\n%s\r\n\r\nfour", r.Header.Get("T-Id"), signed)
				time.Sleep(20 * time.Millisecond)
				reset(c)
				return
			}
			writeGoodResponse(c, r)
		}, [2]int{200, 2}, [2]int{502, 1}},
		{"no length, then a close", func(c net.Conn, r *http.Request, _ int64) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\n%s\r\n\r\ngood", r.Header.Get("T-Id"), signed)
			c.Close()
		}, [2]int{200, 1}, [2]int{200, 1}},
		{"reset before any byte", func(c net.Conn, r *http.Request, sendNumber int64) {
			if sendNumber == 1 {
				reset(c)
				return
			}
			writeGoodResponse(c, r)
		}, [2]int{200, 2}, [2]int{502, 1}},
		{"invalid response head", func(c net.Conn, r *http.Request, sendNumber int64) {
			if sendNumber == 1 {
				fmt.Fprint(c, "garbage\r\n\r\n")
				c.Close()
				return
			}
			writeGoodResponse(c, r)
		}, [2]int{200, 2}, [2]int{502, 1}},
		{"invalid status", func(c net.Conn, r *http.Request, sendNumber int64) {
			if sendNumber == 1 {
				writeTestResponse(c, 0, r.Header.Get("T-Id"), "bad", signed)
				return
			}
			writeGoodResponse(c, r)
		}, [2]int{200, 2}, [2]int{502, 1}},
		{"blank in the name of a field", func(c net.Conn, r *http.Request, sendNumber int64) {
			if sendNumber == 1 {
				writeTestResponse(c, 200, r.Header.Get("T-Id"), "bad", signed, "X-Other : o")
				return
			}
			writeGoodResponse(c, r)
		}, [2]int{200, 2}, [2]int{502, 1}},
		{"response to another request first", func(c net.Conn, r *http.Request, _ int64) {
			writeTestResponse(c, 200, "someone-else", "bad", signed)
			writeGoodResponse(c, r)
		}, [2]int{200, 1}, [2]int{200, 1}},
		{"refused and not run", func(c net.Conn, r *http.Request, sendNumber int64) {
			if sendNumber == 1 {
				writeTestResponse(c, 503, r.Header.Get("T-Id"), "", "T-Not-Run: 1")
				return
			}
			writeGoodResponse(c, r)
		}, [2]int{200, 2}, [2]int{200, 2}},
		{"always refused and not run", func(c net.Conn, r *http.Request, _ int64) {
			writeTestResponse(c, 429, "", "", "T-Not-Run: 1")
		}, [2]int{503, 2}, [2]int{503, 2}},
		{"misdirected", func(c net.Conn, r *http.Request, sendNumber int64) {
			if sendNumber == 1 {
				writeTestResponse(c, 421, "", "")
				return
			}
			writeGoodResponse(c, r)
		}, [2]int{200, 2}, [2]int{200, 2}},
		{"503 that does not state whether the request ran", func(c net.Conn, r *http.Request, _ int64) {
			writeTestResponse(c, 503, r.Header.Get("T-Id"), "", signed)
		}, [2]int{502, 2}, [2]int{502, 1}},
		{"500 from the server", func(c net.Conn, r *http.Request, _ int64) {
			writeTestResponse(c, 500, r.Header.Get("T-Id"), "own", signed)
		}, [2]int{500, 2}, [2]int{500, 1}},
	} {
		for _, idempotent := range []bool{true, false} {
			name, want := c.name+", not idempotent", c.other
			if idempotent {
				name, want = c.name+", idempotent", c.idempotent
			}
			t.Run(name, func(t *testing.T) {
				a, b := newScriptedServer(t, nil), newScriptedServer(t, nil)
				var sends atomic.Int64
				counted := func(conn net.Conn, r *http.Request, _ int64) { c.respond(conn, r, sends.Add(1)) }
				a.respond, b.respond = counted, counted
				s := newTestServer(t, Route{Idempotent: idempotent, Attempts: 2}, false, a.listener.Addr().String(), b.listener.Addr().String())
				w := sendRequest(t, s, "POST", "r1", "body")
				got := [2]int{w.Code, int(sends.Load())}
				if diff := cmp.Diff(want, got); diff != "" {
					t.Errorf("status and sends (-want +got)\n%s", diff)
				}
				if w.Code == 200 && w.Body.String() != "good" {
					t.Errorf("body %q, want %q", w.Body.String(), "good")
				}
			})
		}
	}
}

// TestUnreachableServer checks that a request is sent to another server if the
// first accepts no connection, and that the caller gets a 503 with code
// BackendUnreachable if no server accepts one.
func TestUnreachableServer(t *testing.T) {
	unreachable := newScriptedServer(t, nil)
	good := newScriptedServer(t, func(c net.Conn, r *http.Request, _ int64) {
		writeTestResponse(c, 200, r.Header.Get("T-Id"), "good", "T-Signed: s")
	})
	unreachable.stop() // not before, since the good server might get the same port
	s := newTestServer(t, Route{Attempts: 1}, false, unreachable.listener.Addr().String(), good.listener.Addr().String())
	for i := range 4 {
		if w := sendRequest(t, s, "POST", fmt.Sprint("r", i), "x"); w.Code != 200 {
			t.Errorf("request %d: status %d, want 200", i, w.Code)
		}
	}
	s = newTestServer(t, Route{Attempts: 1}, false, unreachable.listener.Addr().String())
	w := sendRequest(t, s, "POST", "r", "x")
	if w.Code != 503 || w.Header().Get("Retry-After") == "" {
		t.Errorf("status %d and Retry-After %q, want 503 and a Retry-After time", w.Code, w.Header().Get("Retry-After"))
	}
	if got := w.Header().Get(code.Header); got != fmt.Sprint(int(code.BackendUnreachable)) {
		t.Errorf("code %s, want %d", got, code.BackendUnreachable)
	}
}

// TestUnexpectedBytesCloseTheConnection guards against reusing a connection on
// which the server sent bytes after its response: they would be taken for the
// response to the next request.
func TestUnexpectedBytesCloseTheConnection(t *testing.T) {
	sentExtra := make(chan struct{}, 1)
	server := newScriptedServer(t, func(c net.Conn, r *http.Request, _ int64) {
		writeTestResponse(c, 200, r.Header.Get("T-Id"), "good", "T-Signed: s")
		writeTestResponse(c, 200, r.Header.Get("T-Id"), "again", "T-Signed: s")
		sentExtra <- struct{}{}
	})
	s := newTestServer(t, Route{Attempts: 1}, false, server.listener.Addr().String())
	for i := range 3 {
		if w := sendRequest(t, s, "POST", fmt.Sprint("r", i), "x"); w.Code != 200 || w.Body.String() != "good" {
			t.Errorf("request %d: status %d, body %q, want 200, %q", i, w.Code, w.Body.String(), "good")
		}
		<-sentExtra
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	if n := len(server.conns); n != 3 {
		t.Errorf("%d connections for 3 requests, want 3", n)
	}
}

// TestCallerDisconnects checks that the connection to the server is closed when
// the caller of an idempotent request disconnects, and that it stays open for a
// request that is not idempotent.
func TestCallerDisconnects(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		closed := make(chan bool, 1)
		ctx, disconnect := context.WithCancel(context.Background())
		server := newScriptedServer(t, func(c net.Conn, r *http.Request, _ int64) {
			disconnect()
			_ = c.SetReadDeadline(time.Now().Add(400 * time.Millisecond))
			_, err := c.Read(make([]byte, 1))
			netErr, ok := err.(net.Error)
			closed <- !(ok && netErr.Timeout())
			writeTestResponse(c, 200, r.Header.Get("T-Id"), "good", "T-Signed: s")
		})
		s := newTestServer(t, Route{Idempotent: idempotent, Attempts: 1}, false, server.listener.Addr().String())
		r := httptest.NewRequestWithContext(ctx, "GET", "http://h/x", nil)
		r.Header.Set("T-Id", "r1")
		if responded := serveUntilEnd(s, httptest.NewRecorder(), r); responded == idempotent {
			t.Errorf("idempotent %v: responded %v, want %v", idempotent, responded, !idempotent)
		}
		if got := <-closed; got != idempotent {
			t.Errorf("idempotent %v: connection to the server closed: %v, want %v", idempotent, got, idempotent)
		}
		disconnect()
	}
}

// TestResponseBeforeBodyIsWritten guards against reusing a connection on which
// the server responded before the request body was completely written.
func TestResponseBeforeBodyIsWritten(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var conns atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				writeTestResponse(c, 503, r.Header.Get("T-Id"), "", "T-Not-Run: 1")
				time.Sleep(200 * time.Millisecond)
			}()
		}
	}()
	s := newTestServer(t, Route{Attempts: 1, Bulk: true}, false, l.Addr().String())
	for i := range 2 {
		if w := sendRequest(t, s, "POST", fmt.Sprint("r", i), strings.Repeat("x", 16<<20)); w.Header().Get(code.Header) != fmt.Sprint(int(code.RefusedByBackend)) {
			t.Errorf("request %d: status %d with code %s, want code %d", i, w.Code, w.Header().Get(code.Header), code.RefusedByBackend)
		}
	}
	if n := conns.Load(); n != 2 {
		t.Errorf("%d connections for 2 requests, want 2", n)
	}
}

// TestSuspectRequestsAreQuarantined guards against a request that crashes every
// server that runs it: after quarantineThreshold crashes it is not sent again.
func TestSuspectRequestsAreQuarantined(t *testing.T) {
	var sends atomic.Int64
	var servers []string
	for range 8 {
		var s *scriptedServer
		s = newScriptedServer(t, func(c net.Conn, r *http.Request, _ int64) {
			sends.Add(1)
			s.listener.Close()
			reset(c)
		})
		servers = append(servers, s.listener.Addr().String())
	}
	s := newTestServer(t, Route{Idempotent: true, Attempts: 1}, false, servers...)
	var notified atomic.Int64
	s.onCrash = func(CrashReport) { notified.Add(1) }
	for range 6 {
		sendRequest(t, s, "GET", "r", "")
		s.Wait()
	}
	if got := sends.Load(); got != quarantineThreshold {
		t.Errorf("request sent %d times, want %d", got, quarantineThreshold)
	}
	if notified.Load() != quarantineThreshold {
		t.Errorf("onCrash was called %d times, want %d", notified.Load(), quarantineThreshold)
	}
}

// FuzzReadResponse reads arbitrary bytes as a response. readResponse must
// report a 2xx response as done only if it has the request's ID and a
// signature.
func FuzzReadResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nT-Id: r1\r\nT-Signed: s\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nT-Id: r2\r\nT-Signed: s\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nT-Id: r1\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nT-Id: r1\r\nT-Signed: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		server, client := net.Pipe()
		go func() {
			_, _ = server.Write(data)
			server.Close()
		}()
		c := &conn{Conn: client, idleTimeout: time.Second}
		c.reader = bufio.NewReader(c)
		s := NewServer(testProtocol, oplog.New(io.Discard))
		write := &requestWrite{result: make(chan error, 1)}
		write.result <- nil
		c.bytesWritten = 1
		var got attemptResult
		r := &request{id: "r1", method: "GET", deadline: time.Now().Add(time.Second)}
		s.readResponse(context.Background(), c, r, &got, write)
		client.Close()
		if got.outcome != outcomeDone || got.response.status >= 300 {
			return
		}
		if got.response.header.Get("T-Id") != "r1" || got.response.header.Get("T-Signed") == "" {
			t.Fatalf("success from bytes that are not the server's response to the request: %q", data)
		}
	})
}

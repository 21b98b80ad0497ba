package direct

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzewind.example/core/code"
	"bronzewind.example/core/memory"
)

// TestLateCopyOfRefusal guards against a refusal that is sent twice: the second copy
// arrives when the same request is being sent to the server again, as to the owner of
// its key, and would state that the second attempt was not run although it runs.
func TestLateCopyOfRefusal(t *testing.T) {
	const refusal = "T-Not-Run: 1"
	for _, c := range []struct {
		name string
		id   string
	}{
		{"with the request's ID", "r1"},
		{"without an ID, to an earlier request", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			var first net.Conn
			server := newScriptedServer(t, func(conn net.Conn, r *http.Request, sendNumber int64) {
				if sendNumber == 1 {
					first = conn
					writeTestResponse(conn, 503, c.id, "", refusal)
					return
				}
				if conn == first {
					writeTestResponse(conn, 503, c.id, "", refusal) // the second copy of the first response
				}
				writeTestResponse(conn, 200, r.Header.Get("T-Id"), "good", "T-Signed: s")
			})
			s := newTestServer(t, Route{Attempts: 2}, false, server.listener.Addr().String())
			_ = sendRequest(t, s, "POST", c.id, "x")
			if w := sendRequest(t, s, "POST", "r1", "x"); w.Code != http.StatusOK {
				t.Errorf("status %d (code %s) for a request that was run, want 200", w.Code, w.Header().Get(code.Header))
			}
		})
	}
}

// TestRefusalWithoutIDOnReusedConnection has a server refuse requests on a kept connection
// without naming them. The refusal belongs to the request if every earlier one has had its
// own response and no other response came first; its Retry-After is then obeyed. It must
// not be taken for the refusal of a request that runs if it may be a second copy of an
// earlier refusal, or if a late response shows that the connection is out of step.
func TestRefusalWithoutIDOnReusedConnection(t *testing.T) {
	const refusal = "T-Not-Run: 1"
	type result struct {
		Status     []int
		Conns      int
		TurnedAway bool
	}
	for _, c := range []struct {
		name   string
		second func(conn net.Conn) // responses to the second of three requests
		want   result
	}{
		{"own refusal", func(conn net.Conn) {
			writeTestResponse(conn, 503, "", "", refusal)
		}, result{Status: []int{200, 503, 200}, Conns: 2}},
		{"own refusal with Retry-After", func(conn net.Conn) {
			writeTestResponse(conn, 503, "", "", refusal, "Retry-After: 30")
		}, result{Status: []int{200, 503, 503}, Conns: 1, TurnedAway: true}},
		{"second copy of a refusal", func(conn net.Conn) {
			writeTestResponse(conn, 503, "", "", refusal)
			writeTestResponse(conn, 503, "", "", refusal)
		}, result{Status: []int{200, 503, 200}, Conns: 2}},
		{"after a late response", func(conn net.Conn) {
			writeTestResponse(conn, 200, "r0", "good", "T-Signed: s")
			writeTestResponse(conn, 503, "", "", refusal)
		}, result{Status: []int{200, 502, 200}, Conns: 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := newScriptedServer(t, func(conn net.Conn, r *http.Request, sendNumber int64) {
				if sendNumber == 2 {
					c.second(conn)
					return
				}
				writeTestResponse(conn, 200, r.Header.Get("T-Id"), "good", "T-Signed: s")
			})
			s := newTestServer(t, Route{Attempts: 1}, false, server.listener.Addr().String())
			var got result
			for i := range 3 {
				got.Status = append(got.Status, sendRequest(t, s, "POST", fmt.Sprint("r", i), "x").Code)
			}
			server.mu.Lock()
			got.Conns = len(server.conns)
			server.mu.Unlock()
			b := s.servers.Load().services["s"][0]
			_, got.TurnedAway = b.notices.turnedAway.Until(time.Now())
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

// TestHeadResponse checks that the response to a HEAD, which announces the length of a
// body that it does not have, is complete.
func TestHeadResponse(t *testing.T) {
	server := newScriptedServer(t, func(conn net.Conn, r *http.Request, _ int64) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Signed: s\r\nContent-Length: 1234\r\n\r\n", r.Header.Get("T-Id"))
	})
	s := newTestServer(t, Route{Attempts: 1}, false, server.listener.Addr().String())
	for i := range 2 { // the second one on the same connection
		w := sendRequest(t, s, "HEAD", fmt.Sprint("r", i), "")
		if w.Code != http.StatusOK || w.Header().Get("Content-Length") != "1234" {
			t.Errorf("status %d and length %q, want 200 and 1234", w.Code, w.Header().Get("Content-Length"))
		}
	}
}

// endless gives bytes of a repeated text without end.
type endless struct {
	text string
	at   int
}

// Read implements io.Reader.
func (e *endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = e.text[e.at%len(e.text)]
		e.at++
	}
	return len(p), nil
}

// TestEndlessResponses has a server send without end in each part of a response. The
// instance must close the connection after a bounded number of bytes and take the
// request for one that may have run: it is sent again only if it is idempotent.
func TestEndlessResponses(t *testing.T) {
	const (
		mostBytes  = maxResponseBytes + 16<<20 // with what the kernel buffers
		reserved   = 1 << 20
		mostMemory = 16 * reserved // with what grows and is copied, and with the server's own
	)
	for _, c := range []struct{ name, begin, repeat string }{
		{"no status line", "", "x"},
		{"header name", "HTTP/1.1 200 OK\r\n", "x"},
		{"header value", "HTTP/1.1 200 OK\r\nX: ", "x"},
		{"header lines", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"chunk header", "HTTP/1.1 200 OK\r\nT-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		{"chunk size", "HTTP/1.1 200 OK\r\nT-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		{"chunks", "HTTP/1.1 200 OK\r\nT-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nabcde\r\n"},
		{"trailer", "HTTP/1.1 200 OK\r\nT-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
		{"body without a length", "HTTP/1.1 200 OK\r\nT-Id: r\r\n\r\n", "x"},
		{"body with a length", "HTTP/1.1 200 OK\r\nT-Id: r\r\nContent-Length: 9000000000000\r\n\r\n", "x"},
		{"responses to other requests", "", "HTTP/1.1 200 OK\r\nT-Id: other\r\nContent-Length: 1\r\n\r\nx"},
	} {
		t.Run(c.name, func(t *testing.T) {
			written := make(chan int64, 1)
			bad := newScriptedServer(t, func(conn net.Conn, _ *http.Request, _ int64) {
				n, _ := io.Copy(struct{ io.Writer }{conn}, io.MultiReader(strings.NewReader(c.begin), &endless{text: c.repeat}))
				written <- n
			})
			s := newTestServer(t, Route{Attempts: 1}, false, bad.listener.Addr().String())
			s.memory = memory.NewBudget(memory.NewLimits(defaultMemory).WithResponseBytes(reserved))
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			w := sendRequest(t, s, "POST", "r", "x")
			runtime.ReadMemStats(&after)
			if w.Code != http.StatusBadGateway {
				t.Errorf("status %d, want 502, since the request may have run", w.Code)
			}
			select {
			case n := <-written:
				if n > mostBytes {
					t.Errorf("the server could send %d bytes, want the connection closed before %d", n, mostBytes)
				}
			case <-time.After(testTimeout):
				t.Error("the connection was not closed")
			}
			if used := after.TotalAlloc - before.TotalAlloc; used > mostMemory {
				t.Errorf("%d bytes were allocated for the response, want at most %d", used, mostMemory)
			}
			if n := s.memory.Used(); n != 0 {
				t.Errorf("%d bytes stay reserved after the request", n)
			}
		})
	}
}

// discardingWriter is the caller of a response that it does not keep.
type discardingWriter struct {
	header http.Header
	bytes  int64
}

// Header implements http.ResponseWriter.
func (w *discardingWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *discardingWriter) WriteHeader(int) {}

// Write implements http.ResponseWriter.
func (w *discardingWriter) Write(b []byte) (int, error) {
	w.bytes += int64(len(b))
	return len(b), nil
}

// Hold implements holdingWriter.
func (w *discardingWriter) Hold(int64) {}

// TryHold implements holdingWriter.
func (w *discardingWriter) TryHold(int64) bool { return true }

// TestEndlessStream has a server send a signed success without end, which is passed on while it
// is received. It must be broken off after a bounded number of bytes, of which the instance
// keeps few, directly and by way of a peer.
func TestEndlessStream(t *testing.T) {
	const (
		mostBytes  = maxResponseBytes + 16<<20 // with what the kernel buffers
		mostMemory = 8 << 20                   // of the heap, which both instances and the server share
	)
	start := "HTTP/1.1 200 OK\r\nT-Id: r\r\nT-Signed: s\r\n"
	for _, c := range []struct{ name, begin, repeat string }{
		{"without a length", start + "\r\n", "x"},
		{"with a length", start + "Content-Length: 9000000000000\r\n\r\n", "x"},
		{"in chunks", start + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 1<<12) + "\r\n"},
	} {
		written := make(chan int64, 2)
		server := newScriptedServer(t, func(conn net.Conn, _ *http.Request, _ int64) {
			n, _ := io.Copy(struct{ io.Writer }{conn}, io.MultiReader(strings.NewReader(c.begin), &endless{text: c.repeat}))
			written <- n
		})
		for _, way := range waysTo(t, Route{Attempts: 1, Idempotent: true}, server.listener.Addr().String()) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			w := &discardingWriter{header: http.Header{}}
			r := httptest.NewRequest("GET", "http://h/x", nil)
			r.Header.Set("T-Id", "r")
			r.Header.Set("T-Deadline", "20000")
			complete := serveUntilEnd(way.server, w, r)
			runtime.GC()
			runtime.ReadMemStats(&after)
			if complete || w.bytes == 0 || w.bytes > mostBytes {
				t.Errorf("%s, %s: complete %v after %d bytes, want it broken off after 1 to %d", c.name, way.name, complete, w.bytes, int64(mostBytes))
			}
			if n := <-written; n > mostBytes {
				t.Errorf("%s, %s: the server could send %d bytes, want the connection closed before %d", c.name, way.name, n, int64(mostBytes))
			}
			if after.HeapAlloc > before.HeapAlloc+mostMemory {
				t.Errorf("%s, %s: the heap grew from %d to %d bytes, want at most %d more", c.name, way.name, before.HeapAlloc, after.HeapAlloc, mostMemory)
			}
		}
	}
}

// TestResponseCutAnywhere guards against a response that ends early and reaches the caller
// as a complete success, above all one that ends within its head. The server closes the
// connection after each possible number of bytes; the last attempt gets all of them.
func TestResponseCutAnywhere(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nT-Id: request\r\nT-Signed: s\r\n"
	for name, full := range map[string]string{
		"with a length": head + "Content-Length: 12\r\n\r\ntwelve bytes",
		"in chunks":     head + "Transfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n5\r\ntwelv\r\n7\r\ne bytes\r\n0\r\nX-End: yes\r\n\r\n",
		"without body":  head + "Content-Length: 0\r\n\r\n",
		"no content":    strings.Replace(head, "200 OK", "204 No Content", 1) + "\r\n",
		"after a hint":  "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok",
	} {
		var written int
		server := newScriptedServer(t, func(c net.Conn, _ *http.Request, _ int64) {
			_, _ = io.WriteString(c, full[:written])
			c.Close()
		})
		direct := newTestServer(t, Route{Attempts: 1}, false, server.listener.Addr().String())
		partitioned, peer := newPartitionedServer(t, Route{Attempts: 1}, server.listener.Addr().String())
		for way, s := range map[string]*Server{"directly": direct, "by way of a peer": partitioned} {
			for written = 1; written <= len(full); written++ {
				// A failed attempt ejects the server, or the peer, for a moment only.
				got := sendRequest(t, s, http.MethodGet, "request", "").Code
				if success := got >= 200 && got < 300; success != (written == len(full)) {
					t.Errorf("%s, %s: status %d after %d of %d bytes: %q", name, way, got, written, len(full), full[:written])
				}
			}
		}
		peer.Wait()
		if got, want := server.requests.Load(), int64(2*len(full)); got != want {
			t.Errorf("%s: the server got %d requests, want %d", name, got, want)
		}
	}
}

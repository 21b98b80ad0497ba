package direct

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzewind.example/core/oplog"
	"bronzewind.example/core/tcp"
)

// earlyResponder is a server that responds without a length before it has read the request's
// body, and then ends the connection. The response ends with the connection.
type earlyResponder struct {
	status int
	header string // further lines of the head
	part   int    // bytes of the response's body
	end    func(c *net.TCPConn, rest io.Reader)
}

// uploadResult is what the caller of an upload gets.
type uploadResult struct {
	Status   int // 0 without a response
	Complete bool
}

// listen serves connections until the test ends.
func (e earlyResponder) listen(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

func (e earlyResponder) serve(c *net.TCPConn) {
	defer c.Close()
	in := bufio.NewReader(c)
	r, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	fmt.Fprintf(c, "HTTP/1.1 %d X\r\nT-Id: %s\r\nT-Signed: s\r\n%s\r\n%s", e.status, r.Header.Get("T-Id"), e.header, strings.Repeat("x", e.part))
	e.end(c, in)
}

// closeUnread closes c once bytes of the upload wait to be read, so that the kernel resets it.
func closeUnread(c *net.TCPConn, _ io.Reader) {
	for end := time.Now().Add(testTimeout); !tcp.Readable(c) && time.Now().Before(end); {
		<-time.After(time.Millisecond)
	}
	c.Close()
}

// TestResetDuringUpload guards against a part of a response that looks complete. A reset ends
// the writing of a long request and the reading of its response; the kernel reports it once, and
// if the writing gets the error, the reading gets the end of the stream. A response that ends
// with its connection is complete if the server ended it in order.
func TestResetDuringUpload(t *testing.T) {
	const tries = 10
	body := strings.Repeat("x", 24<<20) // more than the kernel buffers
	badGateway := []uploadResult{{Status: http.StatusBadGateway, Complete: true}}
	// If the reset comes before the first window was received, nothing is passed on.
	brokenOff := append([]uploadResult{{Status: http.StatusOK}}, badGateway...)
	// Of a refusal only the head counts. It is not read if the reading gets the kernel's error.
	refused := append([]uploadResult{{Status: http.StatusServiceUnavailable, Complete: true}}, badGateway...)
	resetConn := func(c *net.TCPConn, _ io.Reader) { reset(c) }
	for _, c := range []struct {
		name   string
		server earlyResponder
		want   []uploadResult // one of them
	}{
		{"reset, short part", earlyResponder{200, "", 5, resetConn}, badGateway},
		{"closed with the upload unread", earlyResponder{200, "", 5, closeUnread}, badGateway},
		{"reset, no body", earlyResponder{200, "", 0, resetConn}, badGateway},
		{"reset, part that is passed on while it is received", earlyResponder{200, "", 200 << 10, resetConn}, brokenOff},
		{"reset, failure", earlyResponder{500, "", 5, resetConn}, badGateway},
		{"reset, refusal", earlyResponder{503, "T-Not-Run: 1\r\n", 5, resetConn}, refused},
		{"closed in order, upload read", earlyResponder{200, "", 5, func(c *net.TCPConn, rest io.Reader) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, rest)
		}}, []uploadResult{{Status: http.StatusOK, Complete: true}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for _, way := range waysTo(t, Route{Attempts: 1, Bulk: true}, c.server.listen(t)) {
				front := httptest.NewUnstartedServer(way.server)
				front.Config.ErrorLog = discardLog()
				front.Start()
				defer front.Close()
				for n := range tries {
					got := upload(t, front.Listener.Addr().String(), body)
					if !slices.Contains(c.want, got) {
						t.Fatalf("%s, try %d (-want +got):\n%s", way.name, n, cmp.Diff(c.want, []uploadResult{got}))
					}
				}
			}
		})
	}
}

// TestFailedWriteBesideResponse checks which responses a failed writing of their requests cuts
// off: those that the end of the connection completes, but for refusals, of which only the head
// counts.
func TestFailedWriteBesideResponse(t *testing.T) {
	const own = "T-Id: r1\r\nT-Signed: s\r\n"
	for _, c := range []struct {
		name     string
		raw      string
		writeErr error
		want     attemptOutcome
	}{
		{"without a length", "HTTP/1.1 200 X\r\n" + own + "\r\npart", syscall.ECONNRESET, outcomeUnknown},
		{"without a length, timeout of the kernel", "HTTP/1.1 200 X\r\n" + own + "\r\npart", syscall.ETIMEDOUT, outcomeUnknown},
		{"without a length, long", "HTTP/1.1 500 X\r\n" + own + "\r\n" + strings.Repeat("x", 2*streamWindow), syscall.EPIPE, outcomeUnknown},
		{"without a length, written", "HTTP/1.1 200 X\r\n" + own + "\r\nwhole", nil, outcomeDone},
		{"without a length, deadline of the writing", "HTTP/1.1 200 X\r\n" + own + "\r\nwhole", os.ErrDeadlineExceeded, outcomeDone},
		{"with a length", "HTTP/1.1 200 X\r\n" + own + "Content-Length: 5\r\n\r\nwhole", syscall.ECONNRESET, outcomeDone},
		{"in chunks", "HTTP/1.1 200 X\r\n" + own + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", syscall.ECONNRESET, outcomeDone},
		{"refusal without a length", "HTTP/1.1 503 X\r\n" + own + "T-Not-Run: 1\r\n\r\npart", syscall.ECONNRESET, outcomeNotRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			server, client := net.Pipe()
			go func() {
				_, _ = io.WriteString(server, c.raw)
				server.Close()
			}()
			defer client.Close()
			s := NewServer(testProtocol, oplog.New(io.Discard))
			connection := &conn{Conn: client, bytesWritten: 1}
			connection.reader = bufio.NewReader(connection)
			write := &requestWrite{result: make(chan error, 1)}
			write.result <- c.writeErr
			var got attemptResult
			r := &request{id: "r1", method: "POST", deadline: time.Now().Add(testTimeout)}
			reusable := s.readResponse(t.Context(), connection, r, &got, write)
			if got.outcome != c.want || reusable && c.writeErr != nil {
				t.Errorf("outcome %v with error %v, want %v; connection may be used again: %v", got.outcome, got.err, c.want, reusable)
			}
		})
	}
}

// upload sends a POST with the given body.
func upload(t *testing.T, address, body string) uploadResult {
	t.Helper()
	r, err := http.NewRequest("POST", "http://"+address+"/x", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("T-Id", "r")
	r.Header.Set("T-Deadline", "20000")
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return uploadResult{}
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return uploadResult{Status: resp.StatusCode, Complete: err == nil}
}

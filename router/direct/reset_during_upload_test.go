package direct

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// earlyResponder is a server that responds without a length before it has read the request's
// body, and then ends the connection. The response ends with the connection.
type earlyResponder struct {
	status int
	part   int // bytes of the response's body
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
	fmt.Fprintf(c, "HTTP/1.1 %d X\r\nT-Id: %s\r\nT-Signed: s\r\n\r\n%s", e.status, r.Header.Get("T-Id"), strings.Repeat("x", e.part))
	e.end(c, in)
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
	resetConn := func(c *net.TCPConn, _ io.Reader) { reset(c) }
	for _, c := range []struct {
		name   string
		server earlyResponder
		want   []uploadResult // one of them
	}{
		{"reset, short part", earlyResponder{200, 5, resetConn}, badGateway},
		{"closed with the upload unread", earlyResponder{200, 5, func(c *net.TCPConn, _ io.Reader) { c.Close() }}, badGateway},
		{"reset, no body", earlyResponder{200, 0, resetConn}, badGateway},
		{"reset, part that is passed on while it is received", earlyResponder{200, 200 << 10, resetConn}, brokenOff},
		{"reset, failure", earlyResponder{500, 5, resetConn}, badGateway},
		{"closed in order, upload read", earlyResponder{200, 5, func(c *net.TCPConn, rest io.Reader) {
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

package direct

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// invalidResponse is what a server in trouble writes in place of the response to a request
// with the ID "bad".
type invalidResponse struct {
	name, raw string
	ends      bool // the server closes the connection after it
}

// wayToServer is a Server that reaches the test's backend server, directly or by way of
// another instance.
type wayToServer struct {
	name   string
	server *Server
}

// waysTo returns both ways to the backend server at address. The peer's report that it reaches
// the server does not expire during the test.
func waysTo(t *testing.T, route Route, address string) []wayToServer {
	t.Helper()
	partitioned, _ := newPartitionedServer(t, route, address)
	for name, known := range partitioned.peers.reached {
		partitioned.ObservePeer(Peer{Name: name, Address: known.backend.info.Load().Address}, true, time.Now().Add(testTimeout))
	}
	return []wayToServer{{"directly", newTestServer(t, route, false, address)}, {"by way of a peer", partitioned}}
}

// testInvalidResponses checks that no byte of an invalid response reaches a caller, on a new
// and on a kept connection. The request may have run, so the caller gets 502. An instance that
// reads on runs into the deadline, unless the server closes the connection.
func testInvalidResponses(t *testing.T, invalid []invalidResponse) {
	t.Helper()
	for _, c := range invalid {
		for _, idempotent := range []bool{true, false} {
			for _, kept := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, idempotent=%v, kept connection=%v", c.name, idempotent, kept), func(t *testing.T) {
					t.Parallel()
					testInvalidResponse(t, c, Route{Attempts: 1, Idempotent: idempotent}, kept)
				})
			}
		}
	}
}

func testInvalidResponse(t *testing.T, invalid invalidResponse, route Route, kept bool) {
	t.Helper()
	type result struct {
		Before, Status int
		Body           string
		Sent           int64
	}
	server := newScriptedServer(t, func(conn net.Conn, r *http.Request, _ int64) {
		if r.Header.Get("T-Id") == "bad" {
			fmt.Fprint(conn, invalid.raw)
			if invalid.ends {
				conn.Close()
			}
			return
		}
		writeTestResponse(conn, 200, r.Header.Get("T-Id"), "good", "T-Signed: s")
	})
	for _, way := range waysTo(t, route, server.listener.Addr().String()) {
		server.requests.Store(0)
		got, want := result{}, result{Status: http.StatusBadGateway, Sent: 1}
		if kept {
			got.Before = sendRequest(t, way.server, "POST", "before", "x").Code
			want.Before, want.Sent = http.StatusOK, 2
		}
		w := sendRequest(t, way.server, "POST", "bad", "x")
		got.Status, got.Body, got.Sent = w.Code, w.Body.String(), server.requests.Load()
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", way.name, diff)
		}
	}
}

// TestInvalidStatus guards against statuses outside of HTTP's range. One below 200 was taken
// for that of an interim response: its head was skipped, and its body read as the response.
func TestInvalidStatus(t *testing.T) {
	const inner = "HTTP/1.1 200 OK\r\nT-Id: bad\r\nT-Signed: s\r\nContent-Length: 5\r\n\r\ninner"
	var invalid []invalidResponse
	for _, status := range []string{"000", "007", "099", "101", "600", "999"} {
		head := "HTTP/1.1 " + status + " X\r\nT-Id: bad\r\nT-Signed: s\r\n"
		invalid = append(
			invalid,
			invalidResponse{status + " with a body", fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(inner), inner), false},
			invalidResponse{status + " without a body", head + "Content-Length: 0\r\n\r\n", false},
			invalidResponse{status + " after an interim response", "HTTP/1.1 103 Early Hints\r\n\r\n" + head + "\r\n" + inner, false},
		)
	}
	testInvalidResponses(t, invalid)
}

// TestInvalidHeaderName guards against names of fields with a blank or a control byte. net/http
// refuses control bytes, but keeps a name with a blank: the line had no effect on the framing
// of the body, and was passed on, or dropped, with the response.
func TestInvalidHeaderName(t *testing.T) {
	const (
		start   = "HTTP/1.1 200 X\r\nT-Id: bad\r\nT-Signed: s\r\n"
		chunked = start + "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n"
		whole   = start + "Content-Length: 4\r\n\r\ngood"
	)
	invalid := []invalidResponse{
		{"length", start + "Content-Length : 2\r\n\r\ngood", true},
		{"chunks", start + "Transfer-Encoding : chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n", true},
		{"length before chunks", start + "Content-Length : 2\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n", false},
		{"not run", "HTTP/1.1 503 X\r\nT-Id: bad\r\nT-Not-Run : 1\r\nContent-Length: 0\r\n\r\n", false},
	}
	for _, name := range []string{"X-Other ", "X Other", "X\tOther", "X\x00", "X\x01", "X\x1f", "X\x7f", "\x0bX", ""} {
		line := name + ": o\r\n"
		invalid = append(
			invalid,
			invalidResponse{fmt.Sprintf("head, %q", name), start + line + "Content-Length: 4\r\n\r\ngood", false},
			invalidResponse{fmt.Sprintf("interim response, %q", name), "HTTP/1.1 103 X\r\nLink: l\r\n" + line + "\r\n" + whole, false},
			invalidResponse{fmt.Sprintf("trailer, %q", name), chunked + line + "\r\n", false},
		)
	}
	testInvalidResponses(t, invalid)
}

// TestInvalidTrailerOfStream guards against a large response that looks complete to its caller
// although an invalid trailer follows its body.
func TestInvalidTrailerOfStream(t *testing.T) {
	type result struct {
		Status   int
		Complete bool
	}
	for trailer, want := range map[string]result{
		"X-Other: o\r\n":  {http.StatusOK, true},
		"X Other: o\r\n":  {http.StatusOK, false},
		"X\x01: o\r\n":    {http.StatusOK, false},
		"X-Other : o\r\n": {http.StatusOK, false},
	} {
		server := newScriptedServer(t, func(c net.Conn, r *http.Request, _ int64) {
			fmt.Fprintf(c, "HTTP/1.1 200 X\r\nT-Id: %s\r\nT-Signed: s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s\r\n",
				r.Header.Get("T-Id"), largeBody, strings.Repeat("x", largeBody), trailer)
		})
		for _, way := range waysTo(t, Route{Attempts: 1, Idempotent: true}, server.listener.Addr().String()) {
			front := httptest.NewUnstartedServer(way.server)
			front.Config.ErrorLog = discardLog()
			front.Start()
			status, _, complete := download(t, front.Listener.Addr().String())
			front.Close()
			if diff := cmp.Diff(want, result{status, complete}); diff != "" {
				t.Errorf("%q, %s (-want +got):\n%s", trailer, way.name, diff)
			}
		}
	}
}

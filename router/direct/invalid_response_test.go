package direct

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// invalidResponse is what a server in trouble writes in place of the response to a request
// with the ID "bad".
type invalidResponse struct{ name, raw string }

// wayToServer is a Server that reaches the test's backend server, directly or by way of
// another instance.
type wayToServer struct {
	name   string
	server *Server
}

// waysTo returns both ways to the backend server at address.
func waysTo(t *testing.T, route Route, address string) []wayToServer {
	t.Helper()
	partitioned, _ := newPartitionedServer(t, route, address)
	return []wayToServer{{"directly", newTestServer(t, route, false, address)}, {"by way of a peer", partitioned}}
}

// testInvalidResponses checks that no byte of an invalid response reaches a caller, on a new
// and on a kept connection. The request may have run, so the caller gets 502. The server
// keeps the connection open, so that an instance that reads on runs into the deadline.
func testInvalidResponses(t *testing.T, invalid []invalidResponse) {
	t.Helper()
	for _, c := range invalid {
		for _, idempotent := range []bool{true, false} {
			for _, kept := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, idempotent=%v, kept connection=%v", c.name, idempotent, kept), func(t *testing.T) {
					t.Parallel()
					testInvalidResponse(t, c.raw, Route{Attempts: 1, Idempotent: idempotent}, kept)
				})
			}
		}
	}
}

func testInvalidResponse(t *testing.T, raw string, route Route, kept bool) {
	t.Helper()
	type result struct {
		Before, Status int
		Body           string
		Sent           int64
	}
	server := newScriptedServer(t, func(conn net.Conn, r *http.Request, _ int64) {
		if r.Header.Get("T-Id") == "bad" {
			fmt.Fprint(conn, raw)
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
			invalidResponse{status + " with a body", fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(inner), inner)},
			invalidResponse{status + " without a body", head + "Content-Length: 0\r\n\r\n"},
			invalidResponse{status + " after an interim response", "HTTP/1.1 103 Early Hints\r\n\r\n" + head + "\r\n" + inner},
		)
	}
	testInvalidResponses(t, invalid)
}

package direct

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// partition makes s reach no backend server.
func partition(s *Server) {
	s.dial = func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	s.SetServers(nil, time.Now())
	s.reachability.conclude(false, time.Now())
}

// newPartitionedServer returns a Server that reaches no backend server, with a peer that
// uses the servers at the given addresses.
func newPartitionedServer(t *testing.T, route Route, addresses ...string) (s, peer *Server) {
	t.Helper()
	peer = newTestServer(t, route, false, addresses...)
	listener := httptest.NewServer(peer.ForwardedHandler())
	t.Cleanup(listener.Close)
	s = newTestServer(t, route, false)
	partition(s)
	s.ObservePeer(Peer{Name: "peer", Address: listener.Listener.Addr().String()}, true, time.Now())
	return s, peer
}

// TestOutcomesByWayOfPeer checks, for each way in which an attempt at a server can end, what
// the caller of a partitioned instance gets and how often the server gets the request. It
// guards against work that runs twice, and against callers who are told that work has not
// run although it may have.
func TestOutcomesByWayOfPeer(t *testing.T) {
	type result struct {
		Status int
		Sent   int64
	}
	for _, c := range []struct {
		name              string
		respond           func(c net.Conn, r *http.Request, n int64)
		idempotent, other result
	}{
		{"complete response", func(c net.Conn, r *http.Request, _ int64) {
			writeTestResponse(c, 200, r.Header.Get("T-Id"), "good", "T-Signed: s")
		}, result{200, 1}, result{200, 1}},
		{"the server's own failure", func(c net.Conn, r *http.Request, _ int64) {
			writeTestResponse(c, 500, r.Header.Get("T-Id"), "bad", "T-Signed: s")
		}, result{500, 1}, result{500, 1}},
		{"refused as not run", func(c net.Conn, r *http.Request, _ int64) {
			writeTestResponse(c, 503, r.Header.Get("T-Id"), "", "T-Not-Run: 1")
		}, result{503, 1}, result{503, 1}},
		{"refused without a word on whether it ran", func(c net.Conn, r *http.Request, _ int64) {
			writeTestResponse(c, 503, r.Header.Get("T-Id"), "")
		}, result{502, 1}, result{502, 1}},
		{"reset without a response", func(c net.Conn, _ *http.Request, _ int64) { reset(c) }, result{502, 1}, result{502, 1}},
		{"response cut off", func(c net.Conn, r *http.Request, _ int64) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Signed: s\r\nContent-Length: 9\r\n\r\nhalf", r.Header.Get("T-Id"))
			c.Close()
		}, result{502, 1}, result{502, 1}},
	} {
		for _, idempotent := range []bool{true, false} {
			server := newScriptedServer(t, c.respond)
			s, peer := newPartitionedServer(t, Route{Attempts: 2, Idempotent: idempotent}, server.listener.Addr().String())
			got := result{sendRequest(t, s, http.MethodPost, "request", "body").Code, server.requests.Load()}
			peer.Wait()
			want := c.other
			if idempotent {
				want = c.idempotent
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("%s, idempotent=%v (-want +got):\n%s", c.name, idempotent, diff)
			}
		}
	}
}

// TestForwardedRequestIsServedUnderItsConfiguration guards against callers who get a 404, or the
// response of a former service, because their request was passed on to an instance that does not
// have the newest configuration yet.
func TestForwardedRequestIsServedUnderItsConfiguration(t *testing.T) {
	type result struct {
		Status int
		Sent   int64
	}
	for name, c := range map[string]struct {
		own, peer uint64 // versions of the routing tables
		peerRoute bool   // the peer's table has the route
		want      result
	}{
		"the peer lacks the new route":               {3, 2, false, result{503, 0}},
		"the peer sends the route to a former place": {3, 2, true, result{503, 0}},
		"the same version":                           {3, 3, true, result{200, 1}},
		"the peer has a newer version":               {3, 4, true, result{200, 1}},
	} {
		server := newScriptedServer(t, func(c net.Conn, r *http.Request, _ int64) {
			writeTestResponse(c, 200, r.Header.Get("T-Id"), "good", "T-Signed: s")
		})
		s, peer := newPartitionedServer(t, Route{Attempts: 2}, server.listener.Addr().String())
		route, services := Route{Name: "r", Host: "h", Prefix: "/", Attempts: 2, Timeout: testTimeout, Target: testTimeout, Parts: []Part{{Service: "s", Weight: 1}}}, []Service{{Name: "s", MaxConnections: 50}}
		s.SetRoutingTable(NewRoutingTable(c.own, []Route{route}, services, Limits{}))
		peerRoute := route
		if !c.peerRoute {
			peerRoute.Prefix = "/former/"
		}
		peer.SetRoutingTable(NewRoutingTable(c.peer, []Route{peerRoute}, services, Limits{}))
		got := result{sendRequest(t, s, http.MethodPost, "request", "body").Code, server.requests.Load()}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}

// TestForwardedRequestIsUnchanged guards against servers that get headers meant for another
// instance, and against responses that are changed on the way back.
func TestForwardedRequestIsUnchanged(t *testing.T) {
	type sent struct{ Method, URI, Host, Expected, CallerIP, ConfigVersion string }
	got := make(chan sent, 1)
	server := newScriptedServer(t, func(c net.Conn, r *http.Request, _ int64) {
		got <- sent{r.Method, r.RequestURI, r.Host, r.Header.Get("T-Expect"), r.Header.Get(callerIPHeader), r.Header.Get(configVersionHeader)}
		writeTestResponse(c, 201, r.Header.Get("T-Id"), "made", "T-Signed: s", "X-Other: o")
	})
	s, _ := newPartitionedServer(t, Route{Attempts: 1}, server.listener.Addr().String())
	w := sendRequest(t, s, http.MethodPut, "request", "body")
	if diff := cmp.Diff(sent{"PUT", "http://h/x?q=1", "h", "i0", "", ""}, <-got); diff != "" {
		t.Errorf("request at the server (-want +got):\n%s", diff)
	}
	type response struct{ Status, Signature, Other, Body string }
	want := response{"201", "s", "o", "made"}
	if diff := cmp.Diff(want, response{fmt.Sprint(w.Code), w.Header().Get("T-Signed"), w.Header().Get("X-Other"), w.Body.String()}); diff != "" {
		t.Errorf("response at the caller (-want +got):\n%s", diff)
	}
}

// TestRequestsAreForwardedOnce guards against requests that travel from instance to instance
// when all are partitioned. The caller learns that the request has not run.
func TestRequestsAreForwardedOnce(t *testing.T) {
	s, peer := newPartitionedServer(t, Route{Attempts: 3, Idempotent: true})
	partition(peer)
	other := newTestServer(t, Route{Attempts: 1}, false)
	reached := false
	listener := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reached = true
		other.ForwardedHandler().ServeHTTP(w, r)
	}))
	defer listener.Close()
	peer.ObservePeer(Peer{Name: "other", Address: listener.Listener.Addr().String()}, true, time.Now())
	w := sendRequest(t, s, http.MethodGet, "request", "")
	if w.Code != http.StatusServiceUnavailable || reached {
		t.Errorf("status %d, want 503; forwarded a second time: %v", w.Code, reached)
	}
}

// TestPeerTakesLimitedRequests guards against an instance that neglects its own callers for
// those of a partitioned one.
func TestPeerTakesLimitedRequests(t *testing.T) {
	release := make(chan struct{})
	server := newScriptedServer(t, func(c net.Conn, r *http.Request, _ int64) {
		<-release
		writeTestResponse(c, 200, r.Header.Get("T-Id"), "", "T-Signed: s")
	})
	s, peer := newPartitionedServer(t, Route{Attempts: 1}, server.listener.Addr().String())
	for range maxForwardedRequests {
		peer.peers.serving <- struct{}{}
	}
	if w := sendRequest(t, s, http.MethodPost, "refused", ""); w.Code != http.StatusServiceUnavailable {
		t.Errorf("status %d from a peer that serves %d requests of others, want 503", w.Code, maxForwardedRequests)
	}
	<-peer.peers.serving
	close(release)
	<-time.After(minUnsentBackoff) // the refusal has ejected the peer
	if w := sendRequest(t, s, http.MethodPost, "served", ""); w.Code != http.StatusOK {
		t.Errorf("status %d from a peer with room, want 200", w.Code)
	}
}

// TestDepartureOfCallerReachesServer guards against servers that work on for callers of a
// partitioned instance who have left. An idempotent request is cancelled at the server.
func TestDepartureOfCallerReachesServer(t *testing.T) {
	const noticed = 500 * time.Millisecond
	arrived, closed := make(chan struct{}), make(chan struct{})
	server := newScriptedServer(t, func(c net.Conn, _ *http.Request, _ int64) {
		close(arrived)
		_, _ = c.Read(make([]byte, 1)) // until the connection is closed
		close(closed)
	})
	s, peer := newPartitionedServer(t, Route{Attempts: 1, Idempotent: true}, server.listener.Addr().String())
	ctx, leave := context.WithCancel(t.Context())
	r := httptest.NewRequest(http.MethodGet, "http://h/x", nil).WithContext(ctx)
	r.Header.Set("T-Id", "request")
	r.Header.Set("T-Deadline", "20000")
	ended := make(chan struct{})
	go func() {
		serveUntilEnd(s, httptest.NewRecorder(), r)
		close(ended)
	}()
	<-arrived
	leave()
	select {
	case <-closed:
	case <-time.After(noticed):
		t.Errorf("the server still works %v after the caller has left", noticed)
	}
	<-ended
	peer.Wait()
}

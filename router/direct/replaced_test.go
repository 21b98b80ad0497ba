package direct

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzewind.example/core/code"
	"bronzewind.example/core/ownership"
)

// TestReplacedServerGetsNoMoreRequests guards against requests that go on, twice each, to
// the address of a server that has ended, because another one has the address and the list
// can't be read. The first rejection is enough for all requests of the instance if it names the
// other server, or if the service has no keys that a server may lack. Otherwise each request is
// sent there once: the same server would reject it again.
func TestReplacedServerGetsNoMoreRequests(t *testing.T) {
	const requests = 20
	type result struct {
		Statuses map[int]int
		Codes    map[string]int
		Sends    int64 // to the address of the ended server
	}
	for _, c := range []struct {
		name      string
		responder string // header that names the other server; "" for none
		exclusive bool
		want      result
	}{
		{"named, with a key", "T-Server: another", true, result{map[int]int{503: requests}, map[string]int{"2016": requests}, 1}},
		{"named, without a key", "T-Server: another", false, result{map[int]int{200: requests}, map[string]int{"": requests}, 1}},
		{"not named, with a key", "T-Other: x", true, result{map[int]int{503: requests}, map[string]int{"2009": requests}, requests}},
		{"not named, without a key", "T-Other: x", false, result{map[int]int{200: requests}, map[string]int{"": requests}, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			reject := newScriptedServer(t, func(conn net.Conn, r *http.Request, _ int64) {
				writeTestResponse(conn, http.StatusMisdirectedRequest, r.Header.Get("T-Id"), "", c.responder)
			})
			serve := newScriptedServer(t, func(conn net.Conn, r *http.Request, _ int64) {
				writeTestResponse(conn, 200, r.Header.Get("T-Id"), "good", "T-Signed: s")
			})
			s := newTestServer(t, Route{Idempotent: true, Attempts: 2}, c.exclusive, reject.listener.Addr().String(), serve.listener.Addr().String())
			whole := ownership.Partition{Range: ownership.Range{To: ownership.KeyCount - 1}, Owner: ownership.Incarnation{ID: "i0", StartedMillis: 1}, Fence: 1}
			s.SetPartitionMap(ownership.PartitionMap{Service: "s", Version: 1, Epoch: 1, Fence: 1, Partitions: []ownership.Partition{whole}}, time.Now())
			got := result{Statuses: map[int]int{}, Codes: map[string]int{}}
			for range requests {
				w := sendKeyed(s, "7")
				got.Statuses[w.Code]++
				got.Codes[w.Header().Get(code.Header)]++
			}
			got.Sends = reject.requests.Load()
			if !c.exclusive && got.Sends == 0 {
				got.Sends = 1 // the other server was selected each time
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

// TestIdentityCheckShowsReplacement guards against requests that go on to another server at the
// address of an ended one whose rejections do not name it, and against an owner that is taken
// out of use because it lacked a key.
func TestIdentityCheckShowsReplacement(t *testing.T) {
	for _, c := range []struct {
		name   string
		health string // head of the response to the health check
		want   []int  // requests, health checks, and whether the server counts as replaced
	}{
		{"another server, not named", "421 X\r\n", []int{1, 1, 1}},
		{"another server, healthy", "200 X\r\nT-Server: another\r\n", []int{1, 1, 1}},
		{"the owner, healthy", "200 X\r\nT-Server: i0\r\n", []int{3, 1, 0}},
		{"the owner, failing", "503 X\r\nT-Server: i0\r\n", []int{3, 1, 0}},
		{"a rejection that names no server", "400 X\r\nT-Not-Run: 1\r\n", []int{3, 1, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var checks atomic.Int64
			server := newScriptedServer(t, func(conn net.Conn, r *http.Request, _ int64) {
				if r.URL.Path != "/health" {
					writeTestResponse(conn, http.StatusMisdirectedRequest, r.Header.Get("T-Id"), "")
					return
				}
				checks.Add(1)
				if r.Header.Get("T-Expect") != "i0" {
					t.Errorf("the check expects server %q, want i0", r.Header.Get("T-Expect"))
				}
				fmt.Fprintf(conn, "HTTP/1.1 %sContent-Length: 0\r\n\r\n", c.health)
			})
			s := newTestServer(t, Route{Idempotent: true, Attempts: 2}, true, server.listener.Addr().String())
			route, _ := s.routingTable.Load().Route("h", "/")
			s.SetRoutingTable(NewRoutingTable(2, []Route{*route}, []Service{{Name: "s", Exclusive: true, MaxConnections: 50, HealthPath: "/health"}}, Limits{}))
			whole := ownership.Partition{Range: ownership.Range{To: ownership.KeyCount - 1}, Owner: ownership.Incarnation{ID: "i0", StartedMillis: 1}, Fence: 1}
			s.SetPartitionMap(ownership.PartitionMap{Service: "s", Version: 1, Epoch: 1, Fence: 1, Partitions: []ownership.Partition{whole}}, time.Now())
			for range 3 {
				sendKeyed(s, "7")
				s.Wait()
			}
			replaced := 0
			if s.listedServers()[0].replaced(time.Now()) {
				replaced = 1
			}
			got := []int{int(server.requests.Load() - checks.Load()), int(checks.Load()), replaced}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("requests, health checks, replaced (-want +got):\n%s", diff)
			}
		})
	}
}

// TestMisdirectedRequestFollowsItsKey guards against a request that is refused although its key
// has a new owner by the time that the former one has rejected it.
func TestMisdirectedRequestFollowsItsKey(t *testing.T) {
	var s *Server
	grantTo := func(id string, fence uint64) {
		whole := ownership.Partition{Range: ownership.Range{To: ownership.KeyCount - 1}, Owner: ownership.Incarnation{ID: id, StartedMillis: 1}, Fence: fence}
		s.SetPartitionMap(ownership.PartitionMap{Service: "s", Version: fence, Epoch: 1, Fence: fence, Partitions: []ownership.Partition{whole}}, time.Now())
	}
	former := newScriptedServer(t, func(conn net.Conn, r *http.Request, _ int64) {
		grantTo("i1", 2)
		writeTestResponse(conn, http.StatusMisdirectedRequest, r.Header.Get("T-Id"), "")
	})
	owner := newScriptedServer(t, func(conn net.Conn, r *http.Request, _ int64) {
		writeTestResponse(conn, 200, r.Header.Get("T-Id"), "good", "T-Signed: s")
	})
	s = newTestServer(t, Route{Idempotent: true, Attempts: 2}, true, former.listener.Addr().String(), owner.listener.Addr().String())
	grantTo("i0", 1)
	w := sendKeyed(s, "7")
	got := []int64{int64(w.Code), former.requests.Load(), owner.requests.Load()}
	if diff := cmp.Diff([]int64{200, 1, 1}, got); diff != "" {
		t.Errorf("status, requests at the former and the new owner (-want +got):\n%s", diff)
	}
}

func sendKeyed(s *Server, key string) *httptest.ResponseRecorder {
	r := httptest.NewRequest("GET", "http://h/x", http.NoBody)
	r.Header.Set("T-Id", "r"+key)
	r.Header.Set("T-Key", key)
	r.Header.Set("T-Deadline", "20000")
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

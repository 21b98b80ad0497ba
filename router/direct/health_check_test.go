package direct

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzewind.example/core/oplog"
	"bronzewind.example/core/ownership"
)

// TestHealthCheckIsRare replays a server that closes connections again and again. It guards
// against a health check for each of them, and against checks that show nothing new.
func TestHealthCheckIsRare(t *testing.T) {
	in := healthCheckState{path: "/health", coldRate: 6, lastCheck: healthCheckInterval}
	with := func(change func(*healthCheckState)) bool {
		c := in
		change(&c)
		return c.due()
	}
	got := map[string]bool{
		"in doubt":            in.due(),
		"no health path":      with(func(c *healthCheckState) { c.path = "" }),
		"never limited":       with(func(c *healthCheckState) { c.coldRate = 0 }),
		"known to be cold":    with(func(c *healthCheckState) { c.cold = true }),
		"checked a while ago": with(func(c *healthCheckState) { c.lastCheck = healthCheckInterval - 1 }),
	}
	want := map[string]bool{
		"in doubt": true, "no health path": false, "never limited": false, "known to be cold": false, "checked a while ago": false,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("due (-want +got):\n%s", diff)
	}
}

// TestIdentityCheckIsRare guards against a health check for each of many requests that a server
// rejects as misdirected.
func TestIdentityCheckIsRare(t *testing.T) {
	got := map[string]bool{
		"in doubt":            healthCheckState{path: "/health", lastCheck: healthCheckInterval}.identityDue(),
		"no health path":      healthCheckState{lastCheck: healthCheckInterval}.identityDue(),
		"checked a while ago": healthCheckState{path: "/health", lastCheck: healthCheckInterval - 1}.identityDue(),
	}
	if diff := cmp.Diff(map[string]bool{"in doubt": true, "no health path": false, "checked a while ago": false}, got); diff != "" {
		t.Errorf("due (-want +got):\n%s", diff)
	}
}

// TestRestartedServerCountsAsCold guards against a server that closes its connections, is
// back at once under the same ID, and gets as many requests as a warm one until its record is
// read. What is unreadable, or stated by another server, changes nothing.
func TestRestartedServerCountsAsCold(t *testing.T) {
	for _, c := range []struct {
		name    string
		service Service
		headers []string // of the response to the health check
		checks  int
		cold    bool
		logged  int // lines about an unreadable time
	}{
		{"cold", Service{ColdRate: 6, HealthPath: "/health"}, []string{"T-Server: i0", "T-Warmup: 3s"}, 1, true, 0},
		{"warm", Service{ColdRate: 6, HealthPath: "/health"}, []string{"T-Server: i0", "T-Warmup: 0s"}, 1, false, 0},
		{"not stated", Service{ColdRate: 6, HealthPath: "/health"}, []string{"T-Server: i0"}, 1, false, 0},
		{"unreadable", Service{ColdRate: 6, HealthPath: "/health"}, []string{"T-Server: i0", "T-Warmup: many"}, 1, false, 1},
		{"another server", Service{ColdRate: 6, HealthPath: "/health"}, []string{"T-Server: i1", "T-Warmup: 3s"}, 1, false, 0},
		{"servers are never cold", Service{HealthPath: "/health"}, []string{"T-Server: i0", "T-Warmup: 3s"}, 0, false, 0},
		{"no path", Service{ColdRate: 6, HealthPath: "/a b"}, []string{"T-Server: i0", "T-Warmup: 3s"}, 0, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			checks := make(chan string, 8)
			server := newScriptedServer(t, func(conn net.Conn, r *http.Request, _ int64) {
				if r.URL.Path != "/health" {
					reset(conn)
					return
				}
				checks <- r.URL.Path
				fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nContent-Length: 0\r\n%s\r\n\r\n", strings.Join(c.headers, "\r\n"))
			})
			var log strings.Builder
			s := newTestServer(t, Route{Attempts: 1}, false, server.listener.Addr().String())
			s.log = oplog.New(&log)
			ctx, stopLog := context.WithCancel(t.Context())
			logged := make(chan error, 1)
			go s.log.Run(ctx, logged)
			c.service.Name, c.service.ColdTime = "s", 3*time.Second
			route, _ := s.routingTable.Load().Route("h", "/")
			s.SetRoutingTable(NewRoutingTable(2, []Route{*route}, []Service{c.service}, Limits{}))
			for n := range 3 {
				sendRequest(t, s, http.MethodPost, fmt.Sprint("request-", n), "")
				s.Wait()
			}
			known := s.servers.Load().incarnations[ownership.Incarnation{ID: "i0", StartedMillis: 1}]
			if cold := known.backend.notices.warmup.Cold(time.Now()); cold != c.cold {
				t.Errorf("cold %v, want %v", cold, c.cold)
			}
			if n := len(checks); n != c.checks {
				t.Errorf("%d health checks after 3 connections that broke, want %d", n, c.checks)
			}
			stopLog()
			<-logged
			if n := strings.Count(log.String(), "server-warmup-unreadable"); n != c.logged {
				t.Errorf("%d lines about an unreadable time, want %d", n, c.logged)
			}
		})
	}
}

// TestConnectionAfterHealthCheck guards against a response to a health check that is taken
// for the response to the request that follows on its connection.
func TestConnectionAfterHealthCheck(t *testing.T) {
	for response, want := range map[string]bool{
		"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok":                              true,
		"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 X":                false,
		"HTTP/1.1 200 X\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok":         false,
		"HTTP/1.1 200 X\r\nContent-Length: 9999\r\n\r\n" + strings.Repeat("x", 9999): false,
		"HTTP/1.1 503 X\r\nContent-Length: 0\r\nT-Not-Run: 1\r\n\r\n":                false,
		"HTTP/1.1 200 X\r\nX: " + strings.Repeat("x", 2*maxHeadBytes) + "\r\n\r\n":   false,
		"not a response\r\n\r\n":                                                                   false,
		"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n":                                              false,
		"HTTP/1.1 200 X\r\nContent-Length: 2\r\nX Other: o\r\n\r\nok":                              false,
		"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok": false,
	} {
		server := newScriptedServer(t, func(c net.Conn, _ *http.Request, _ int64) { fmt.Fprint(c, response) })
		s := newTestServer(t, Route{Attempts: 1}, false, server.listener.Addr().String())
		b := s.listedServers()[0]
		c, _, err := b.pool.get(t.Context(), server.listener.Addr().String(), "", 1, 0, time.Now().Add(testTimeout))
		if err != nil {
			t.Fatal(err)
		}
		if got := s.exchangeHealth(b, c, "/health"); got != want {
			t.Errorf("after %.60q the connection may be used: %v, want %v", response, got, want)
		}
		b.pool.closeConn(c)
	}
}

package caller_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzewind.example/core/code"
	"bronzewind.example/core/config"
)

// send sends one request and returns its code, or its status when the backend
// server answered.
func send(t *testing.T, client *http.Client, r *http.Request) int {
	t.Helper()
	resp, err := client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	if c := resp.Header.Get(code.Header); c != "" {
		n, _ := strconv.Atoi(c)
		return n
	}
	return resp.StatusCode
}

// dropSecond answers the first request and breaks the connection at the
// second one, which arrives on the same connection.
func dropSecond() func(net.Conn, *http.Request) {
	var n atomic.Int64
	return func(c net.Conn, r *http.Request) {
		if n.Add(1) == 2 {
			c.Close()
			return
		}
		answerOK(c, r)
	}
}

// TestNoSilentRepeat checks that a request on a reused connection that breaks
// is not sent again. The first row shows that net/http does so by itself.
func TestNoSilentRepeat(t *testing.T) {
	tests := []struct {
		name, method string
		direct       bool
		want         []int
		starts       int
	}{
		{name: "net/http alone repeats", method: "POST", direct: true, want: []int{200, 200}, starts: 3},
		{name: "once-only", method: "POST", want: []int{200, int(code.BackendReset)}, starts: 2},
		{name: "no retries configured", method: "PUT", want: []int{200, int(code.BackendReset)}, starts: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, fleetOptions{local: true, script: dropSecond()})
			client, url := newClient(t), f.url
			if tt.direct {
				url = "http://" + f.backend.listener.Addr().String()
			}
			var got []int
			for _, key := range []string{"k1", "k2"} {
				got = append(got, send(t, client, newRequest(t, tt.method, url+"/tins/1", nil, key)))
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("answers (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.starts, len(f.backend.started())); diff != "" {
				t.Errorf("starts (-want +got):\n%s", diff)
			}
		})
	}
}

func newClient(t *testing.T) *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 100}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// TestRetryBudget breaks every answer: retries of idempotent work stay within
// the burst and the ratio, and once-only work has none.
func TestRetryBudget(t *testing.T) {
	const requests = 100
	tests := []struct {
		name, method string
		starts       int // requests, the burst of 10, and a tenth of the requests
	}{
		{"idempotent", "GET", requests + 19},
		{"once-only", "POST", requests},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, fleetOptions{local: true, script: func(c net.Conn, _ *http.Request) { c.Close() }})
			client := newClient(t)
			for i := range requests {
				send(t, client, newRequest(t, tt.method, f.url+"/tins/1", nil, strconv.Itoa(i)))
			}
			if diff := cmp.Diff(tt.starts, len(f.backend.started())); diff != "" {
				t.Errorf("starts (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRetryAfterNotRun starts the backend server late: what was refused a
// connection did not run and is tried again, once-only work too.
func TestRetryAfterNotRun(t *testing.T) {
	f := newFleet(t, fleetOptions{down: true, script: answerOK})
	address := f.backend.listener.Addr().String()
	late := time.AfterFunc(50*time.Millisecond, func() {
		l, err := net.Listen("tcp", address)
		if err != nil {
			t.Error(err)
			return
		}
		f.backend.listen(l)
	})
	defer late.Stop()
	got := send(t, newClient(t), newRequest(t, "POST", f.url+"/tins/1", strings.NewReader("x"), "k"))
	if diff := cmp.Diff(200, got); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
}

// TestCancelReachesBackend checks that a caller who goes away ends idempotent
// work at the backend server, through one instance and through two.
func TestCancelReachesBackend(t *testing.T) {
	for _, local := range []bool{true, false} {
		began, ended := make(chan bool, 1), make(chan bool, 1)
		f := newFleet(t, fleetOptions{local: local, script: func(c net.Conn, _ *http.Request) {
			began <- true
			_, _ = io.Copy(io.Discard, c)
			ended <- true
		}})
		ctx, cancel := context.WithCancel(context.Background())
		answered := make(chan error, 1)
		go func() {
			resp, err := newClient(t).Do(newRequest(t, "GET", f.url+"/tins/1", nil, "").WithContext(ctx))
			if err == nil {
				resp.Body.Close()
			}
			answered <- err
		}()
		<-began
		cancel()
		<-ended
		<-answered
	}
}

// TestStreamedBodyOnce checks that a body that was read in part is not sent
// again though its kind has retries left.
func TestStreamedBodyOnce(t *testing.T) {
	f := newFleet(t, fleetOptions{
		script: func(c net.Conn, r *http.Request) { _, _ = io.CopyN(io.Discard, r.Body, 1); c.Close() },
		change: func(c *config.Configuration) { c.Services[0].Kinds[2].Retries = 3 },
	})
	got := send(t, newClient(t), newRequest(t, "PUT", f.url+"/tins/1", strings.NewReader(strings.Repeat("x", 100<<10)), ""))
	if diff := cmp.Diff(int(code.BackendReset), got); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(1, len(f.backend.started())); diff != "" {
		t.Errorf("starts (-want +got):\n%s", diff)
	}
}

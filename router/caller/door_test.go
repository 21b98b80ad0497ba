package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzewind.example/core/clock"
	"bronzewind.example/core/code"
	"bronzewind.example/core/config"
)

// anyStarts stands where the backend server may or may not see the header.
const anyStarts = -1

// manualClock makes the timers of one duration fire when the test says so.
type manualClock struct {
	clock.System
	duration time.Duration
	made     chan *time.Timer
}

func (m manualClock) NewTimer(d time.Duration) *time.Timer {
	if d != m.duration {
		return m.System.NewTimer(d)
	}
	t := time.NewTimer(time.Hour)
	m.made <- t
	return t
}

// openDoor serves the entry of f until the test or stop ends it.
func openDoor(t *testing.T, f *fleet) (stop func(), done chan error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	done = make(chan error, 1)
	go f.entry.ServeListener(ctx, f.listener, done)
	return cancel, done
}

// TestDrain shuts an instance down, once the entry and once the dispatcher,
// while a request runs: it gets its whole answer, and so does one that comes in
// the move time.
func TestDrain(t *testing.T) {
	const moveTime = 7 * time.Second
	for _, local := range []bool{true, false} {
		t.Run(fmt.Sprintf("local=%t", local), func(t *testing.T) {
			began, release := make(chan bool, 2), make(chan bool)
			move := manualClock{duration: moveTime, made: make(chan *time.Timer, 1)}
			f := newFleet(t, fleetOptions{
				local: local, door: true, clock: move,
				change: func(c *config.Configuration) { c.Limits.MoveTime = config.Duration(moveTime) },
				script: func(c net.Conn, r *http.Request) {
					if r.Method == http.MethodPost {
						began <- true
						<-release
					}
					answerOK(c, r)
				},
			})
			stop, done := openDoor(t, f)
			slow := make(chan int, 1)
			go func() { slow <- send(t, newClient(t), newRequest(t, "POST", f.url+"/tins/1", nil, "k")) }()
			<-began
			stop()
			timer := <-move.made
			resp, err := newClient(t).Do(newRequest(t, "GET", f.url+"/tins/1", nil, ""))
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if diff := cmp.Diff([]any{200, true}, []any{resp.StatusCode, resp.Close}); diff != "" {
				t.Errorf("status and Connection: close in the move time (-want +got):\n%s", diff)
			}
			if !local {
				f.drainHop()
			}
			timer.Reset(0)
			close(release)
			if diff := cmp.Diff(200, <-slow); diff != "" {
				t.Errorf("request that ran (-want +got):\n%s", diff)
			}
			if err := <-done; err != nil {
				t.Error(err)
			}
			if c, err := net.Dial("tcp", f.address); err == nil {
				c.Close()
				t.Error("the entry still takes connections")
			}
		})
	}
}

// TestDoorLimits sends what the door must refuse, byte by byte.
func TestDoorLimits(t *testing.T) {
	const end = "\r\n\r\n"
	tests := []struct {
		name, request string
		hold          int // connections that are opened before
		want          outcome
		starts        int
	}{
		{name: "served", request: "GET /tins/1 HTTP/1.1\r\nHost: x" + end, want: outcome{Outcome: "done", Status: 200}, starts: 1},
		{name: "header too large", request: "GET /tins/1 HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("a", 20<<10) + end, want: outcome{Status: 431}},
		{name: "too many connections", hold: 3, want: outcome{Outcome: "not-run", Code: int(code.TooManyConnections), Status: 503}},
		{name: "slow header", request: "GET /tins/1 HTTP/1.1\r\nHo", want: outcome{Status: 400}},
		{name: "reserved header", request: "GET /tins/1 HTTP/1.1\r\nHost: x\r\nbronzewind-epoch: 9" + end, want: outcome{Outcome: "not-run", Code: int(code.ReservedHeader), Status: 400}},
		{name: "two idempotency keys", request: "POST /tins/1 HTTP/1.1\r\nHost: x\r\nIdempotency-Key: a\r\nIdempotency-Key: b" + end, want: outcome{Outcome: "not-run", Code: int(code.MalformedRequest), Status: 400}},
		{name: "no idempotency key", request: "POST /tins/1 HTTP/1.1\r\nHost: x" + end, want: outcome{Outcome: "not-run", Code: int(code.IdempotencyMissing), Status: 400}},
		{name: "body too large", request: "PUT /tins/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999" + end, want: outcome{Outcome: "not-run", Code: int(code.BodyTooLarge), Status: 413}},
		{name: "two lengths", request: "PUT /tins/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2" + end + "ab", want: outcome{Status: 400}},
		{name: "negative length", request: "PUT /tins/1 HTTP/1.1\r\nHost: x\r\nContent-Length: -1" + end, want: outcome{Status: 400}},
		{name: "unknown coding", request: "PUT /tins/1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip" + end, want: outcome{Status: 501}},
		{name: "space in a header name", request: "GET /tins/1 HTTP/1.1\r\nHost: x\r\nA b: c" + end, want: outcome{Status: 400}},
		{name: "no host", request: "GET /tins/1 HTTP/1.1" + end, want: outcome{Status: 400}},
		{name: "broken chunk", request: "PUT /tins/1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked" + end + "zz\r\n", want: outcome{Outcome: "unknown", Code: int(code.UploadCutOff), Status: 400}, starts: anyStarts},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, fleetOptions{local: true, door: true, script: answerOK, change: func(c *config.Configuration) {
				c.Limits.Connections, c.Limits.HeaderTimeout = 3, config.Duration(300*time.Millisecond)
				c.Limits.MoveTime = config.Duration(time.Millisecond)
			}})
			stop, done := openDoor(t, f)
			for range tt.hold {
				c, err := net.Dial("tcp", f.address)
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
			}
			c, err := net.Dial("tcp", f.address)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			fmt.Fprint(c, tt.request)
			got := readOutcome(c, newRequest(t, "GET", f.url, nil, ""))
			got.Whole = false
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.starts, len(f.backend.started())); tt.starts != anyStarts && diff != "" {
				t.Errorf("starts (-want +got):\n%s", diff)
			}
			stop()
			c.Close()
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}
}

// TestSlowReader lets callers take no byte of answers: they hold no slot of the
// backend server, and their connections end.
func TestSlowReader(t *testing.T) {
	const large = 40 << 20
	f := newFleet(t, fleetOptions{local: true, body: 300 * time.Millisecond, script: func(c net.Conn, r *http.Request) {
		if r.Method == http.MethodPut {
			_, _ = io.Copy(io.Discard, r.Body)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", large)
			_, _ = io.CopyN(c, zeros{}, large)
			return
		}
		answerOK(c, r)
	}})
	for range 3 { // as many as there are slots
		c, err := net.Dial("tcp", f.address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprint(c, "PUT /tins/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
		if _, err := bufio.NewReaderSize(c, 16).ReadString('\n'); err != nil {
			t.Fatal(err)
		}
	}
	if diff := cmp.Diff(200, send(t, newClient(t), newRequest(t, "GET", f.url+"/tins/"+strconv.Itoa(1), nil, ""))); diff != "" {
		t.Errorf("request beside slow callers (-want +got):\n%s", diff)
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

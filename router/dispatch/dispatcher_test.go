package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzewind.example/core/backend"
	"bronzewind.example/core/clock"
	"bronzewind.example/core/code"
	"bronzewind.example/core/config"
	"bronzewind.example/core/control"
	"bronzewind.example/core/keyspace"
	"bronzewind.example/core/record"
	"bronzewind.example/core/route"
	"bronzewind.example/core/state"
)

const testIncarnation = 5 // incarnation of the test's backend server

// testDispatcher runs the dispatcher of the backend server "a". It is also its
// transport, so that a test chooses the responses.
type testDispatcher struct {
	dispatchers *Dispatchers
	self        record.Writer
	service     config.Service
	warm        bool // whether the routing table reports the servers as up

	mu         sync.Mutex
	running    int
	maxRunning int
	startOrder []string                                                   // request URIs in the order in which they started
	respond    func(r *http.Request, running int) (*http.Response, error) // nil responds with status 200 after 10 ms
}

func newTestDispatcher(s config.Service) *testDispatcher {
	td := &testDispatcher{self: record.Writer{Instance: "i", Incarnation: 1}, service: s, warm: true}
	td.dispatchers = NewDispatchers(td.self, WithTransport(td))
	return td
}

// publishOwner publishes a routing table in which the backend server owner owns
// all slots.
func (td *testDispatcher) publishOwner(owner string) {
	st := state.New()
	st.Configuration = &config.Configuration{Services: []config.Service{td.service}, Callers: []config.Caller{{Name: "capped", Cap: 2}}}
	v := &state.Service{Name: td.service.Name, Servers: map[string]state.Server{}, Slots: make([]state.SlotRow, td.service.Slots)}
	for _, name := range []string{"a", "b"} {
		v.Servers[name] = state.Server{Row: record.ServerRow{Name: name, Address: "127.0.0.1:24000", Dispatcher: td.self}, Up: td.warm, Run: testIncarnation}
	}
	for i := range v.Slots {
		v.Slots[i].Owner = owner
	}
	st.Services[v.Name] = v
	td.dispatchers.SetTable(route.NewTable(st).WithSelf(td.self))
}

func (td *testDispatcher) grant(duration time.Duration, paused ...record.SlotRange) {
	td.dispatchers.Authorize(control.Authorize{
		Service: td.service.Name, Server: "a", Epoch: 3, Incarnation: testIncarnation, Until: time.Now().Add(duration),
		Granted: []record.SlotRange{{First: 0, Last: keyspace.Slot(td.service.Slots - 1)}}, PausedSlots: paused,
	})
}

// RoundTrip implements http.RoundTripper.
func (td *testDispatcher) RoundTrip(r *http.Request) (*http.Response, error) {
	td.mu.Lock()
	td.running++
	td.maxRunning = max(td.maxRunning, td.running)
	td.startOrder = append(td.startOrder, r.URL.Path)
	respond, running := td.respond, td.running
	td.mu.Unlock()
	defer func() {
		td.mu.Lock()
		defer td.mu.Unlock()
		td.running--
	}()
	if respond == nil {
		time.Sleep(10 * ms)
		return newEmptyResponse(r, http.StatusOK, nil), nil
	}
	return respond(r, running)
}

func newEmptyResponse(r *http.Request, status int, header http.Header) *http.Response {
	return &http.Response{StatusCode: status, Header: header, Body: http.NoBody, Request: r, ContentLength: 0}
}

// do sends a request of the given kind and returns its result code.
func (td *testDispatcher) do(kind int, requestURI string, key string) code.Code {
	k := &td.service.Kinds[kind]
	r := &Request{
		Service: td.service.Name, Kind: k, Hash: keyspace.NewHash(key), Server: "a", Method: k.Method, RequestURI: requestURI,
		Header: http.Header{}, Deadline: time.Now().Add(k.Patience.Std()), Body: strings.NewReader("body"), Length: 4,
	}
	response, err := td.dispatchers.Do(context.Background(), r)
	if err == nil {
		response.Body.Close()
		return code.OK
	}
	var e *code.Error
	errors.As(err, &e)
	return e.Code
}

// doAsync starts do and returns once the request is queued, running or ended.
func (td *testDispatcher) doAsync(kind int, requestURI, key string) <-chan code.Code {
	done := make(chan code.Code, 1)
	go func() { done <- td.do(kind, requestURI, key) }()
	synctest.Wait()
	return done
}

func wantCode(t *testing.T, what string, got, want code.Code) {
	t.Helper()
	if diff := cmp.Diff(want.String(), got.String()); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// Before the first grant, and after a grant has expired, requests must wait in
// the queue: the key may belong to another server.
func TestRequestsWaitForValidGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		td := newTestDispatcher(shortPatienceWorkload().service)
		td.publishOwner("a")
		early := td.doAsync(1, "/early", "k")
		time.Sleep(50 * ms)
		td.grant(100 * ms)
		wantCode(t, "queued before the grant", <-early, code.OK)
		time.Sleep(100 * ms)
		late := td.doAsync(1, "/late", "k")
		time.Sleep(50 * ms)
		if diff := cmp.Diff([]string{"/early"}, td.startOrder); diff != "" {
			t.Errorf("start order after the grant expired (-want +got):\n%s", diff)
		}
		td.grant(100 * ms)
		wantCode(t, "queued after the grant expired", <-late, code.OK)
		wantCode(t, "deadline passed without a grant", <-td.doAfter(200*ms, 0, "/never"), code.TargetUnreachable)
	})
}

// doAfter waits, then calls doAsync.
func (td *testDispatcher) doAfter(d time.Duration, kind int, requestURI string) <-chan code.Code {
	time.Sleep(d)
	return td.doAsync(kind, requestURI, "k")
}

// Requests that were parked while their slot was paused must start by rank, not
// by arrival, and must not delay requests of other slots.
func TestPausedSlotKeepsOrderByRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := shortPatienceWorkload().service
		s.ServerSlots = 1
		td := newTestDispatcher(s)
		td.publishOwner("a")
		slot := keyspace.NewHash("paused").Slot(s.Slots)
		other := "other"
		for keyspace.NewHash(other).Slot(s.Slots) == slot {
			other += "x"
		}
		paused := record.SlotRange{First: slot, Last: slot, Server: "a"}
		td.grant(time.Minute, paused)
		bulk := td.doAsync(2, "/bulk", "paused")
		urgent := td.doAsync(0, "/urgent", "paused")
		wantCode(t, "request of another slot", td.do(2, "/free", other), code.OK)
		td.grant(time.Minute)
		wantCode(t, "urgent", <-urgent, code.OK)
		wantCode(t, "bulk", <-bulk, code.OK)
		if diff := cmp.Diff([]string{"/free", "/urgent", "/bulk"}, td.startOrder); diff != "" {
			t.Errorf("start order (-want +got):\n%s", diff)
		}
	})
}

// When a key moves to another server, its queued and new requests must be
// refused instead of being sent to the previous owner.
func TestMovedKeyRefusesRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		td := newTestDispatcher(shortPatienceWorkload().service)
		td.publishOwner("a")
		queued := td.doAsync(1, "/q", "k")
		td.publishOwner("b")
		wantCode(t, "queued before the move", <-queued, code.StaleRoute)
		wantCode(t, "sent after the move", td.do(1, "/n", "k"), code.StaleRoute)
	})
}

// A request must not fail because the server is down or refuses requests because
// of overload, if the request can wait until the server has recovered.
func TestUnexecutedAttemptsAreRetriedWithinPatience(t *testing.T) {
	for name, fail := range map[string]func(r *http.Request) (*http.Response, error){
		"connection refused": func(*http.Request) (*http.Response, error) { return nil, errors.New("connection refused") },
		"refused because of overload": func(r *http.Request) (*http.Response, error) {
			if _, err := io.ReadAll(r.Body); err != nil {
				return nil, err
			}
			return newEmptyResponse(r, http.StatusServiceUnavailable, http.Header{backend.RefusedHeader: {"shedding"}}), nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := shortPatienceWorkload().service
				s.TrustsRefusals = true
				td := newTestDispatcher(s)
				startedAt := time.Now()
				var bodies []string
				td.respond = func(r *http.Request, _ int) (*http.Response, error) {
					if time.Since(startedAt) < 1500*ms {
						return fail(r)
					}
					body, _ := io.ReadAll(r.Body)
					td.mu.Lock()
					bodies = append(bodies, string(body))
					td.mu.Unlock()
					return newEmptyResponse(r, http.StatusOK, nil), nil
				}
				td.publishOwner("a")
				td.grant(time.Minute)
				var codes []<-chan code.Code
				for range 5 {
					codes = append(codes, td.doAsync(1, "/patient", "k"))
				}
				impatient := <-td.doAsync(0, "/impatient", "k")
				if impatient.Outcome() != code.NotRun {
					t.Errorf("request whose deadline passes before recovery: got code %s, want one of outcome not-run", impatient)
				}
				for _, c := range codes {
					wantCode(t, "request whose deadline is after recovery", <-c, code.OK)
				}
				if diff := cmp.Diff(slices.Repeat([]string{"body"}, 5), bodies); diff != "" {
					t.Errorf("bodies (-want +got):\n%s", diff)
				}
				// The backoff, from minBackoff to maxBackoff, gives about 12 pauses in 1.5 s.
				if len(td.startOrder) > 60 {
					t.Errorf("%d attempts of 6 requests to a server that recovers after 1.5 s, want at most 60", len(td.startOrder))
				}
			})
		})
	}
}

// lateClock is the system's clock with timers that fire late, as on a machine
// that is short of processor time.
type lateClock struct {
	clock.System
	delay time.Duration
}

// NewTimer implements clock.Clock.
func (c lateClock) NewTimer(d time.Duration) *time.Timer { return c.System.NewTimer(d + c.delay) }

// A request that was refused again and again until its time ran out must end with
// that refusal. The last attempt often starts so shortly before the deadline that it
// ends with the deadline instead, which hides from the caller and the operator why
// the request was not served, or turns a request that provably did not run into one
// that may have run.
func TestLastAttemptKeepsResultOfEarlierAttempts(t *testing.T) {
	connectionRefused := func() (*http.Response, error) { return nil, errors.New("connection refused") }
	refuse := func(r *http.Request) (*http.Response, error) {
		return newEmptyResponse(r, http.StatusServiceUnavailable, http.Header{backend.RefusedHeader: {"shedding"}}), nil
	}
	// The attempt counts as written when GotConn is called.
	write := func(r *http.Request) { httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{}) }
	slowly := func(r *http.Request, d time.Duration) error {
		select {
		case <-r.Context().Done():
			return r.Context().Err()
		case <-time.After(d):
			return nil
		}
	}
	tests := []struct {
		name    string
		delay   time.Duration // of all timers of the dispatcher
		respond func(td *testDispatcher, r *http.Request, attempt int) (*http.Response, error)
		want    code.Code
	}{
		{
			name: "connections refused, the last one not answered",
			respond: func(_ *testDispatcher, r *http.Request, attempt int) (*http.Response, error) {
				if attempt < 10 {
					return connectionRefused()
				}
				return nil, slowly(r, time.Hour)
			},
			want: code.BackendUnreachable,
		},
		{
			name: "connection refused, then no start until it is too late",
			respond: func(td *testDispatcher, _ *http.Request, _ int) (*http.Response, error) {
				time.AfterFunc(ms, func() {
					td.grant(time.Minute, record.SlotRange{Last: keyspace.Slot(td.service.Slots - 1), Server: "a"})
				})
				return connectionRefused()
			},
			want: code.BackendUnreachable,
		},
		{
			name:    "connections refused, the wait before the last attempt ends after the deadline",
			delay:   130 * ms,
			respond: func(*testDispatcher, *http.Request, int) (*http.Response, error) { return connectionRefused() },
			want:    code.BackendUnreachable,
		},
		{
			name: "refused, no time left for another refusal",
			respond: func(_ *testDispatcher, r *http.Request, _ int) (*http.Response, error) {
				write(r)
				if err := slowly(r, 300*ms); err != nil {
					return nil, err
				}
				return refuse(r)
			},
			want: code.RefusedByBackend,
		},
		{
			name:  "refused, the wait before the last attempt ends too late for another refusal",
			delay: 60 * ms,
			respond: func(_ *testDispatcher, r *http.Request, _ int) (*http.Response, error) {
				write(r)
				if err := slowly(r, 100*ms); err != nil {
					return nil, err
				}
				return refuse(r)
			},
			want: code.RefusedByBackend,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := shortPatienceWorkload().service
				s.TrustsRefusals = true
				td := newTestDispatcher(s)
				td.dispatchers.clock = lateClock{delay: tt.delay}
				startedAt, attempts := time.Now(), 0
				td.respond = func(r *http.Request, _ int) (*http.Response, error) {
					attempts++
					if late := time.Since(startedAt); late >= s.Kinds[0].Patience.Std() {
						t.Errorf("attempt %d was sent after %v, which is past the deadline", attempts, late)
					}
					return tt.respond(td, r, attempts)
				}
				td.publishOwner("a")
				td.grant(time.Minute)
				wantCode(t, "result", td.do(0, "/x", "k"), tt.want)
			})
		})
	}
}

// A server that refuses requests because of overload must get fewer requests at
// once, and all its slots must open again once it answers.
func TestOverloadLowersAndRecoveryRaisesOpenSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := longPatienceWorkload().service
		s.TrustsRefusals = true
		td := newTestDispatcher(s)
		td.publishOwner("a")
		td.grant(time.Hour)
		d, _ := td.dispatchers.dispatcher(s.Name, "a")
		sendConcurrently := func(n int) {
			var wg sync.WaitGroup
			for range n {
				wg.Go(func() { td.do(0, "/x", "k") })
			}
			wg.Wait()
		}
		td.respond = func(r *http.Request, running int) (*http.Response, error) {
			if running > 2 {
				return newEmptyResponse(r, http.StatusServiceUnavailable, http.Header{backend.RefusedHeader: {"shedding"}}), nil
			}
			time.Sleep(10 * ms)
			return newEmptyResponse(r, http.StatusOK, nil), nil
		}
		sendConcurrently(40)
		openWhileRefusing := d.currentOpenSlots()
		td.respond = nil
		sendConcurrently(60)
		if openWhileRefusing >= 6 || d.currentOpenSlots() != 6 {
			t.Errorf("open slots: got %d while the server refused requests, want under 6; got %d after recovery, want 6", openWhileRefusing, d.currentOpenSlots())
		}
	})
}

// A cold server must not get the load of all its slots at once.
func TestColdServerOpensSlotsGradually(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := longPatienceWorkload().service
		s.ColdStart = config.Duration(10 * time.Second)
		for warm, want := range map[bool][]int{false: {1, 3, 6}, true: {6, 6, 6}} {
			td := newTestDispatcher(s)
			td.warm = warm
			td.publishOwner("a")
			td.grant(time.Hour)
			d, _ := td.dispatchers.dispatcher(s.Name, "a")
			var got []int
			for range want {
				got = append(got, d.currentOpenSlots())
				time.Sleep(5 * time.Second)
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("warm %t: open slots at 0, 5 and 10 s (-want +got):\n%s", warm, diff)
			}
		}
	})
}

// A flood must run no more requests at once than the server has slots, queue no
// more than the limit, and all counts must be 0 afterwards.
func TestFloodStaysWithinSlotAndQueueLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		td := newTestDispatcher(shortPatienceWorkload().service)
		td.publishOwner("a")
		td.grant(time.Hour)
		got := map[code.Code]int{}
		var codes []<-chan code.Code
		for range 250 {
			codes = append(codes, td.doAsync(0, "/x", "k"))
		}
		for _, c := range codes {
			got[<-c]++
		}
		// 3 run at once and 200 are queued. All of them can be served within their
		// patience of 1 s.
		if diff := cmp.Diff(map[code.Code]int{code.OK: 203, code.QueueFull: 47}, got); diff != "" {
			t.Errorf("codes (-want +got):\n%s", diff)
		}
		if td.maxRunning != 3 {
			t.Errorf("%d requests ran at once, want 3", td.maxRunning)
		}
		d, _ := td.dispatchers.dispatcher("ledger", "a")
		if d.queue.queued+d.queue.running+len(d.running) != 0 {
			t.Errorf("after all requests ended: %d queued, %d running, %d in the set of running jobs, want 0 of each", d.queue.queued, d.queue.running, len(d.running))
		}
	})
}

// BenchmarkQueuedRequest measures the memory that one queued request takes at
// its dispatcher, including the goroutine that waits for it.
func BenchmarkQueuedRequest(b *testing.B) {
	const queued = 10000
	s := shortPatienceWorkload().service
	s.Kinds[1].QueueLimit, s.Kinds[1].Patience, s.Kinds[1].Floor = queued, config.Duration(time.Hour), 0
	for b.Loop() {
		td := newTestDispatcher(s)
		td.publishOwner("a")
		d, _ := td.dispatchers.dispatcher(s.Name, "a")
		before := bytesInUse()
		var done sync.WaitGroup
		for range queued {
			done.Go(func() { td.do(1, "/q", "k") })
		}
		for total := 0; total < queued; total, _ = d.rankCounts(config.Normal) {
			runtime.Gosched()
		}
		b.ReportMetric(float64(bytesInUse()-before)/queued, "bytes/queued")
		td.dispatchers.Close()
		done.Wait()
	}
}

func bytesInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

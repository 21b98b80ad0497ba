package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzewind.example/core/backend"
	"bronzewind.example/core/code"
	"bronzewind.example/core/config"
	"bronzewind.example/core/control"
	"bronzewind.example/core/keyspace"
	"bronzewind.example/core/record"
	"bronzewind.example/core/route"
	"bronzewind.example/core/state"
)

const testRun = 5 // incarnation of the test's backend server

// bench is one dispatcher of the backend server "a" with a transport that the
// test answers for.
type bench struct {
	set     *Set
	self    record.Writer
	service config.Service
	warm    bool

	mu      sync.Mutex
	running int
	most    int
	order   []string                                                   // targets as they started
	answer  func(r *http.Request, running int) (*http.Response, error) // nil answers 200 after 10 ms
}

func newBench(s config.Service) *bench {
	b := &bench{self: record.Writer{Instance: "i", Incarnation: 1}, service: s, warm: true}
	b.set = NewSet(b.self, WithTransport(b))
	return b
}

// start publishes a route on which owner has all slots, and grants them.
func (b *bench) start(owner string) {
	st := state.New()
	st.Configuration = &config.Configuration{Services: []config.Service{b.service}, Callers: []config.Caller{{Name: "capped", Cap: 2}}}
	v := &state.Service{Name: b.service.Name, Servers: map[string]state.Server{}, Slots: make([]state.SlotRow, b.service.Slots)}
	for _, name := range []string{"a", "b"} {
		v.Servers[name] = state.Server{Row: record.ServerRow{Name: name, Address: "127.0.0.1:24000", Dispatcher: b.self}, Up: b.warm, Run: testRun}
	}
	for i := range v.Slots {
		v.Slots[i].Owner = owner
	}
	st.Services[v.Name] = v
	b.set.SetTable(route.NewTable(st).WithSelf(b.self))
}

func (b *bench) grant(lasts time.Duration, held ...record.SlotRange) {
	b.set.Authorize(control.Authorize{
		Service: b.service.Name, Server: "a", Epoch: 3, Incarnation: testRun, Until: time.Now().Add(lasts),
		Granted: []record.SlotRange{{First: 0, Last: keyspace.Slot(b.service.Slots - 1)}}, Held: held,
	})
}

// RoundTrip implements http.RoundTripper.
func (b *bench) RoundTrip(r *http.Request) (*http.Response, error) {
	b.mu.Lock()
	b.running++
	b.most = max(b.most, b.running)
	b.order = append(b.order, r.URL.Path)
	answer, running := b.answer, b.running
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.running--
	}()
	if answer == nil {
		time.Sleep(10 * ms)
		return reply(r, http.StatusOK, nil), nil
	}
	return answer(r, running)
}

func reply(r *http.Request, status int, header http.Header) *http.Response {
	return &http.Response{StatusCode: status, Header: header, Body: http.NoBody, Request: r, ContentLength: 0}
}

// do sends a request of the kind and returns what became of it, in its turn.
func (b *bench) do(kind int, target string, key string) code.Code {
	k := &b.service.Kinds[kind]
	r := &Request{
		Service: b.service.Name, Kind: k, Hash: keyspace.NewHash(key), Server: "a", Method: k.Method, Target: target,
		Header: http.Header{}, Deadline: time.Now().Add(k.Patience.Std()), Body: strings.NewReader("body"), Length: 4,
	}
	answer, err := b.set.Do(context.Background(), r)
	if err == nil {
		answer.Body.Close()
		return code.OK
	}
	var e *code.Error
	errors.As(err, &e)
	return e.Code
}

func (b *bench) goDo(kind int, target, key string) <-chan code.Code {
	done := make(chan code.Code, 1)
	go func() { done <- b.do(kind, target, key) }()
	synctest.Wait()
	return done
}

func wantCode(t *testing.T, what string, got, want code.Code) {
	t.Helper()
	if diff := cmp.Diff(want.String(), got.String()); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

func TestGrantMissingOrLapsedHoldsWorkUntilTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(harrowmereWorkload().service)
		b.start("a")
		early := b.goDo(1, "/early", "k")
		time.Sleep(50 * ms)
		b.grant(100 * ms)
		wantCode(t, "queued before the grant", <-early, code.OK)
		time.Sleep(100 * ms)
		late := b.goDo(1, "/late", "k")
		time.Sleep(50 * ms)
		if diff := cmp.Diff([]string{"/early"}, b.order); diff != "" {
			t.Errorf("started on a lapsed grant (-want +got):\n%s", diff)
		}
		b.grant(100 * ms)
		wantCode(t, "queued while lapsed", <-late, code.OK)
		wantCode(t, "patience ends without a grant", <-b.after(200*ms, 0, "/never"), code.TargetUnreachable)
	})
}

// after waits, then sends a request.
func (b *bench) after(d time.Duration, kind int, target string) <-chan code.Code {
	time.Sleep(d)
	return b.goDo(kind, target, "k")
}

func TestHeldSlotKeepsOrderByRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := harrowmereWorkload().service
		s.ServerSlots = 1
		b := newBench(s)
		b.start("a")
		slot := keyspace.NewHash("held").Slot(s.Slots)
		other := "other"
		for keyspace.NewHash(other).Slot(s.Slots) == slot {
			other += "x"
		}
		held := record.SlotRange{First: slot, Last: slot, Server: "a"}
		b.grant(time.Minute, held)
		bulk := b.goDo(2, "/bulk", "held")
		urgent := b.goDo(0, "/urgent", "held")
		wantCode(t, "work of another slot", b.do(2, "/free", other), code.OK)
		b.grant(time.Minute)
		wantCode(t, "urgent", <-urgent, code.OK)
		wantCode(t, "bulk", <-bulk, code.OK)
		if diff := cmp.Diff([]string{"/free", "/urgent", "/bulk"}, b.order); diff != "" {
			t.Errorf("order (-want +got):\n%s", diff)
		}
	})
}

func TestMovedKeyTurnsQueuedWorkAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(harrowmereWorkload().service)
		b.start("a")
		queued := b.goDo(1, "/q", "k")
		b.start("b")
		wantCode(t, "queued", <-queued, code.StaleRoute)
		wantCode(t, "new", b.do(1, "/n", "k"), code.StaleRoute)
	})
}

// A server that just died, or sheds, costs no request whose patience lasts.
func TestUnstartedTriesAreRepeatedWithinPatience(t *testing.T) {
	for name, fail := range map[string]func(r *http.Request) (*http.Response, error){
		"connection refused": func(*http.Request) (*http.Response, error) { return nil, errors.New("connection refused") },
		"shed": func(r *http.Request) (*http.Response, error) {
			if _, err := io.ReadAll(r.Body); err != nil {
				return nil, err
			}
			return reply(r, http.StatusServiceUnavailable, http.Header{backend.RefusedHeader: {"shedding"}}), nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := harrowmereWorkload().service
				s.TrustsRefusals = true
				b := newBench(s)
				began := time.Now()
				var bodies []string
				b.answer = func(r *http.Request, _ int) (*http.Response, error) {
					if time.Since(began) < 1500*ms {
						return fail(r)
					}
					body, _ := io.ReadAll(r.Body)
					b.mu.Lock()
					bodies = append(bodies, string(body))
					b.mu.Unlock()
					return reply(r, http.StatusOK, nil), nil
				}
				b.start("a")
				b.grant(time.Minute)
				var codes []<-chan code.Code
				for range 5 {
					codes = append(codes, b.goDo(1, "/patient", "k"))
				}
				impatient := <-b.goDo(0, "/impatient", "k")
				if impatient.Outcome() != code.NotRun {
					t.Errorf("impatient request: %s, want a code of outcome not-run", impatient)
				}
				for _, c := range codes {
					wantCode(t, "patient", <-c, code.OK)
				}
				if diff := cmp.Diff(slices.Repeat([]string{"body"}, 5), bodies); diff != "" {
					t.Errorf("bodies (-want +got):\n%s", diff)
				}
				if len(b.order) > 60 {
					t.Errorf("%d tries in 1.5 s, want at most 60", len(b.order))
				}
			})
		})
	}
}

func TestOverloadLowersAndRecoveryRaisesOpenSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := magnoliaWorkload().service
		s.TrustsRefusals = true
		b := newBench(s)
		b.start("a")
		b.grant(time.Hour)
		d, _ := b.set.dispatcher(s.Name, "a")
		flood := func(n int) {
			var wg sync.WaitGroup
			for range n {
				wg.Go(func() { b.do(0, "/x", "k") })
			}
			wg.Wait()
		}
		b.answer = func(r *http.Request, running int) (*http.Response, error) {
			if running > 2 {
				return reply(r, http.StatusServiceUnavailable, http.Header{backend.RefusedHeader: {"shedding"}}), nil
			}
			time.Sleep(10 * ms)
			return reply(r, http.StatusOK, nil), nil
		}
		flood(40)
		shedding := d.openSlots()
		b.answer = nil
		flood(60)
		if shedding >= 6 || d.openSlots() != 6 {
			t.Errorf("open slots: %d while shedding, want under 6; %d after, want 6", shedding, d.openSlots())
		}
	})
}

func TestColdServerOpensSlotsOverColdStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := magnoliaWorkload().service
		s.ColdStart = config.Duration(10 * time.Second)
		for warm, want := range map[bool][]int{false: {1, 3, 6}, true: {6, 6, 6}} {
			b := newBench(s)
			b.warm = warm
			b.start("a")
			b.grant(time.Hour)
			d, _ := b.set.dispatcher(s.Name, "a")
			var got []int
			for range want {
				got = append(got, d.openSlots())
				time.Sleep(5 * time.Second)
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("warm %t: open slots at 0, 5 and 10 s (-want +got):\n%s", warm, diff)
			}
		}
	})
}

func TestFloodKeepsToSlotsAndCallersLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(harrowmereWorkload().service)
		b.start("a")
		b.grant(time.Hour)
		got := map[code.Code]int{}
		var codes []<-chan code.Code
		for range 250 {
			codes = append(codes, b.goDo(0, "/x", "k"))
		}
		for _, c := range codes {
			got[<-c]++
		}
		// 3 run at once, and 200 may be queued; all can be served in a second.
		if diff := cmp.Diff(map[code.Code]int{code.OK: 203, code.QueueFull: 47}, got); diff != "" {
			t.Errorf("codes (-want +got):\n%s", diff)
		}
		if b.most != 3 {
			t.Errorf("%d at once, want 3", b.most)
		}
		d, _ := b.set.dispatcher("ledger", "a")
		if d.queue.queued+d.queue.running+len(d.running) != 0 {
			t.Errorf("left over: %d queued, %d running, %d held against drains", d.queue.queued, d.queue.running, len(d.running))
		}
	})
}

// BenchmarkQueuedRequest is the memory that one queued request holds at its
// dispatcher, with the goroutine that waits for it.
func BenchmarkQueuedRequest(b *testing.B) {
	const queued = 10000
	s := harrowmereWorkload().service
	s.Kinds[1].QueueLimit, s.Kinds[1].Patience, s.Kinds[1].Floor = queued, config.Duration(time.Hour), 0
	for b.Loop() {
		t := newBench(s)
		t.start("a")
		d, _ := t.set.dispatcher(s.Name, "a")
		before := heldBytes()
		var done sync.WaitGroup
		for range queued {
			done.Go(func() { t.do(1, "/q", "k") })
		}
		for total := 0; total < queued; total, _ = d.load(config.Normal) {
			runtime.Gosched()
		}
		b.ReportMetric(float64(heldBytes()-before)/queued, "bytes/queued")
		t.set.Close()
		done.Wait()
	}
}

func heldBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"bronzewind.example/core/code"
	"bronzewind.example/core/config"
	"bronzewind.example/core/keyspace"
)

var testTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// queueTestService returns a service with kinds of all three ranks, two of which
// have the same rank.
func queueTestService() config.Service {
	return config.Service{Slots: 8, ServerSlots: 2, Kinds: []config.Kind{
		newKind("lookup", config.Urgent, 1, 100*ms, time.Second, 10*ms, 0, 10),
		newKind("renewal", config.Normal, 30, 500*ms, 5*time.Second, 60*ms, 0, 10),
		newKind("reminder", config.Normal, 1, 500*ms, 5*time.Second, 60*ms, 0, 10),
		newKind("batch", config.Bulk, 3, 10*time.Second, time.Minute, 250*ms, 0, 10),
	}}
}

// pushRequest pushes a request that was received from its caller age before now.
// It returns the job of the request and the job that was displaced.
func pushRequest(q *queue, c *config.Service, kind int, age time.Duration, now time.Time, caller string) (*job, *job, *code.Error) {
	k := &c.Kinds[kind]
	j := q.newJob(&Request{Kind: k, CallerKind: caller, Deadline: now.Add(k.Patience.Std() - age)}, 0, now)
	displaced, err := q.push(j, now)
	return j, displaced, err
}

// Requests must start by rank, then by whether they can still meet their target,
// then by worth, then by the latest time to start: lateFrom, or startBy if they
// can no longer meet their target.
func TestQueueOrder(t *testing.T) {
	c := queueTestService()
	q := newQueue(&c, nil)
	arrivals := []struct {
		kind                 int
		ageAtPush, queuedFor time.Duration
	}{{0, 0, 200 * ms}, {3, 0, 0}, {2, 0, 0}, {1, 0, 0}, {1, 400 * ms, 0}, {0, 0, 0}, {0, 900 * ms, 0}, {0, 20 * ms, 0}}
	for _, a := range arrivals {
		if _, _, err := pushRequest(q, &c, a.kind, a.ageAtPush, testTime.Add(-a.queuedFor), ""); err != nil {
			t.Fatal(err)
		}
	}
	var got []string
	for range arrivals {
		j := q.pop(testTime, alwaysMayStart)
		got = append(got, fmt.Sprint(j.kind.config.Name, " ", j.request.Deadline.Sub(testTime)))
		q.end(j, testTime)
	}
	want := []string{
		"lookup 980ms", "lookup 1s", "lookup 100ms", "lookup 800ms", // the last two can no longer meet their target
		"renewal 4.6s", "renewal 5s", "reminder 5s", "batch 1m0s",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("start order (-want +got):\n%s", diff)
	}
}

// A kind must not keep its share deficit after its queue is empty: the minimum
// share would otherwise accumulate while nothing waits.
func TestMinShareDoesNotAccumulate(t *testing.T) {
	c := queueTestService()
	c.ServerSlots, c.Kinds[3].Floor = 1, 0.5
	q := newQueue(&c, nil)
	next := func() string {
		j := q.pop(testTime, alwaysMayStart)
		q.end(j, testTime.Add(j.chargedTime))
		return j.kind.config.Name
	}
	pushAndRun := func(n int) (names []string) {
		for range n {
			if _, _, err := pushRequest(q, &c, 0, 0, testTime, ""); err != nil {
				t.Fatal(err)
			}
			names = append(names, next())
		}
		return names
	}
	var got []string
	waiting, _, _ := pushRequest(q, &c, 3, 0, testTime, "")
	got = append(got, pushAndRun(49)...) // 50 requests of 10 ms give the bulk kind a deficit of one service time, 250 ms
	q.remove(waiting)
	_, _, _ = pushRequest(q, &c, 3, 0, testTime, "")
	got = append(got, pushAndRun(51)...)
	want := append(slices.Repeat([]string{"lookup"}, 99), "batch")
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("start order (-want +got):\n%s", diff)
	}
}

func TestQueueAdmission(t *testing.T) {
	tests := map[string]struct {
		limit     int           // over all kinds
		before    []int         // kinds of the requests queued before
		age       time.Duration // of the requests queued before
		kind      int
		caller    string
		displaced string
		want      code.Code
	}{
		"not full":                                    {kind: 0, want: code.OK},
		"kind full":                                   {before: slices.Repeat([]int{1}, 10), kind: 1, want: code.QueueFull},
		"full of another kind of the same rank":       {before: slices.Repeat([]int{1}, 10), kind: 2, want: code.QueueFull, limit: 10},
		"late request displaced":                      {before: slices.Repeat([]int{0}, 10), age: 900 * ms, kind: 0, displaced: "lookup", want: code.OK},
		"full, bulk displaced":                        {limit: 4, before: []int{1, 2, 3, 3}, kind: 0, displaced: "batch", want: code.OK},
		"full, last kind in start order displaced":    {limit: 3, before: []int{1, 2, 1}, kind: 0, displaced: "reminder", want: code.OK},
		"full of equally urgent requests":             {limit: 2, before: []int{0, 0}, kind: 0, want: code.QueueFull},
		"full, less urgent request refused":           {limit: 2, before: []int{0, 1}, kind: 3, want: code.QueueFull},
		"caller at its cap":                           {before: []int{2, 3}, caller: "capped", kind: 3, want: code.CallerCapReached},
		"caller at its cap with less urgent requests": {before: []int{2, 3}, caller: "capped", kind: 0, want: code.OK},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := queueTestService()
			c.QueueLimit = test.limit
			q := newQueue(&c, []config.Caller{{Name: "capped", Cap: 2}})
			for _, kind := range test.before {
				if _, _, err := pushRequest(q, &c, kind, test.age, testTime, test.caller); err != nil {
					t.Fatal(err)
				}
			}
			_, displaced, err := pushRequest(q, &c, test.kind, 0, testTime, test.caller)
			got, out := code.OK, ""
			if err != nil {
				got = err.Code
			}
			if displaced != nil {
				out = displaced.kind.config.Name
			}
			if diff := cmp.Diff([]string{test.want.String(), test.displaced}, []string{got.String(), out}); diff != "" {
				t.Errorf("code and displaced kind (-want +got):\n%s", diff)
			}
		})
	}
}

// A request that cannot be served before its deadline must be refused on arrival.
// The decision must use the measured service time, not the configured one.
func TestUnreachableDeadlineIsRefusedEarly(t *testing.T) {
	c := queueTestService()
	c.Kinds[0].QueueLimit = 1000
	for _, serviceTime := range []time.Duration{10 * ms, 50 * ms} {
		q := newQueue(&c, nil)
		for range 200 {
			q.kinds[0].serviceTime.observe(serviceTime)
		}
		admitted := 0
		for _, _, err := pushRequest(q, &c, 0, 0, testTime, ""); err == nil; _, _, err = pushRequest(q, &c, 0, 0, testTime, "") {
			admitted++
		}
		want := int((time.Second - serviceTime) * 2 / serviceTime)
		if admitted < want-2 || admitted > want+2 {
			t.Errorf("service time %s: admitted %d requests with 1 s of patience, want %d ± 2", serviceTime, admitted, want)
		}
		if _, _, err := pushRequest(q, &c, 0, 0, testTime, ""); err.Code != code.TargetUnreachable {
			t.Errorf("service time %s: refused with code %s, want %s", serviceTime, err.Code, code.TargetUnreachable)
		}
	}
}

// In any sequence of operations, the counts must match the queued jobs, limits
// must hold, and no job may be lost or started twice. Without a minimum share, no
// job may start before a more urgent one that is ready.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := queueTestService()
		c.QueueLimit = rapid.IntRange(0, 30).Draw(t, "limit")
		c.Kinds[3].Floor = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "minShare")
		q := newQueue(&c, []config.Caller{{Name: "capped", Cap: 5}})
		now, paused := testTime, keyspace.Slot(9)
		mayStart := func(j *job) bool { return j.slot != paused }
		queued, running := map[*job]bool{}, []*job{}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				k := &c.Kinds[rapid.IntRange(0, 3).Draw(t, "kind")]
				caller := rapid.SampledFrom([]string{"", "capped"}).Draw(t, "caller")
				left := time.Duration(rapid.Int64Range(0, int64(k.Patience)).Draw(t, "left"))
				j := q.newJob(&Request{Kind: k, CallerKind: caller, Deadline: now.Add(left)}, keyspace.Slot(rapid.IntRange(0, 2).Draw(t, "slot")), now)
				displaced, err := q.push(j, now)
				if queued[j] = err == nil; displaced != nil && !queued[displaced] {
					t.Fatal("push displaced a job that was not queued")
				}
				delete(queued, displaced)
			},
			"pop": func(t *rapid.T) {
				j := q.pop(now, mayStart)
				if j == nil {
					return
				}
				if !queued[j] || j.slot == paused {
					t.Fatalf("started a job that is not queued (%t) or whose slot is paused (%t)", !queued[j], j.slot == paused)
				}
				delete(queued, j)
				for o := range queued {
					if queued[o] && c.Kinds[3].Floor == 0 && o.kind.config.Rank < j.kind.config.Rank && o.slot != paused && !slices.Contains(q.parked.jobs, o) {
						t.Fatalf("a job of kind %s started before a more urgent one of kind %s", j.kind.config.Name, o.kind.config.Name)
					}
				}
				running = append(running, j)
			},
			"end": func(t *rapid.T) {
				if len(running) > 0 {
					running[0].servedNormally = true
					q.end(running[0], now)
					running = running[1:]
				}
			},
			"remove": func(t *rapid.T) {
				for j := range queued {
					if queued[j] {
						q.remove(j)
					}
					delete(queued, j)
					return
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(0, int64(300*ms)).Draw(t, "wait")))
				for _, j := range q.expire(now) {
					if !queued[j] || j.startBy.After(now) {
						t.Fatal("expire returned a job that was not queued or could still meet its deadline")
					}
					delete(queued, j)
				}
			},
			"pause": func(t *rapid.T) {
				paused = keyspace.Slot(rapid.IntRange(0, 9).Draw(t, "paused"))
				q.unpark(now, mayStart)
			},
			"": func(t *rapid.T) { checkCounts(t, q, queued, running) },
		})
	})
}

func checkCounts(t *rapid.T, q *queue, queued map[*job]bool, running []*job) {
	type counts struct {
		queued, parked, running int
		capped                  [config.RankCount]int
	}
	want, got := counts{running: len(running)}, counts{queued: q.queued, capped: *q.queuedByCallerKind["capped"], running: q.running}
	for j := range queued {
		if queued[j] {
			want.queued++
			if j.request.CallerKind == "capped" {
				want.capped[j.kind.config.Rank]++
			}
			if j.heap == nil || j.heap.jobs[j.index] != j {
				t.Fatal("a queued job is not at its index in its heap")
			}
		}
	}
	want.parked = q.parked.len()
	for _, jobs := range q.parkedBySlot {
		got.parked += len(jobs)
	}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(counts{})); diff != "" {
		t.Fatalf("counts (-want +got):\n%s", diff)
	}
	if q.running > q.slots || q.queued > q.limit || slices.Max(want.capped[:]) > 5 {
		t.Fatalf("limit exceeded: %d running on %d slots, %d queued of at most %d, %d by rank queued for the capped caller of at most 5",
			q.running, q.slots, q.queued, q.limit, want.capped)
	}
}

// BenchmarkQueue measures one push and one pop, with various numbers of jobs
// queued and parked.
func BenchmarkQueue(b *testing.B) {
	for _, depth := range []int{0, 100, 10000} {
		for _, parked := range []int{0, 10000} {
			b.Run(fmt.Sprintf("queued=%d/parked=%d", depth, parked), func(b *testing.B) {
				c := queueTestService()
				for i := range c.Kinds {
					c.Kinds[i].QueueLimit, c.Kinds[i].Patience = 1<<20, config.Duration(time.Hour)
				}
				q := newQueue(&c, nil)
				r := &Request{Kind: &c.Kinds[0], Deadline: testTime.Add(time.Hour)}
				add := func(n int, slot keyspace.Slot) {
					for range n {
						q.insert(q.newJob(r, slot, testTime), testTime)
					}
				}
				add(parked, 1)
				mayStart := func(j *job) bool { return j.slot != 1 }
				if j := q.pop(testTime, mayStart); j != nil {
					b.Fatal("a job of the paused slot started")
				}
				add(depth, 0)
				b.ReportAllocs()
				for b.Loop() {
					if _, err := q.push(q.newJob(r, 0, testTime), testTime); err != nil {
						b.Fatal(err)
					}
					q.end(q.pop(testTime, mayStart), testTime)
				}
			})
		}
	}
}

// A wrong configured service time must not count as a slowdown of the server; a
// later rise of the measured time must.
func TestServiceTimeEstimateOutweighsWrongConfiguration(t *testing.T) {
	e := newServiceTimeEstimate(8 * ms)
	for i := range 300 {
		if e.observe(50 * ms); e.slowdown() > slowdownThreshold {
			t.Fatalf("slowdown %.1f after %d samples of 50 ms, want at most %.1f", e.slowdown(), i+1, slowdownThreshold)
		}
	}
	if e.mean < 45*ms {
		t.Errorf("mean %s after 300 samples of 50 ms, want at least 45 ms", e.mean)
	}
	for range 20 {
		e.observe(200 * ms)
	}
	if e.slowdown() <= slowdownThreshold {
		t.Errorf("slowdown %.1f after 20 samples of four times the service time, want over %.1f", e.slowdown(), slowdownThreshold)
	}
}

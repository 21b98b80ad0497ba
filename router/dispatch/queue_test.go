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

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// queueKinds are kinds of the three ranks, two of them of the same rank.
func queueKinds() config.Service {
	return config.Service{Slots: 8, ServerSlots: 2, Kinds: []config.Kind{
		kindOf("lookup", config.Urgent, 1, 100*ms, time.Second, 10*ms, 0, 10),
		kindOf("renewal", config.Normal, 30, 500*ms, 5*time.Second, 60*ms, 0, 10),
		kindOf("pause", config.Normal, 1, 500*ms, 5*time.Second, 60*ms, 0, 10),
		kindOf("batch", config.Bulk, 3, 10*time.Second, time.Minute, 250*ms, 0, 10),
	}}
}

// put pushes a request of a kind that arrived at the entry age ago.
func put(q *queue, c *config.Service, kind int, age time.Duration, now time.Time, caller string) (*job, *job, *code.Error) {
	k := &c.Kinds[kind]
	j := q.newJob(&Request{Kind: k, Caller: caller, Deadline: now.Add(k.Patience.Std() - age)}, 0, now)
	displaced, err := q.push(j, now)
	return j, displaced, err
}

func TestQueueOrder(t *testing.T) {
	c := queueKinds()
	q := newQueue(&c, nil)
	arrivals := []struct {
		kind     int
		age, ago time.Duration // at the entry before it was queued, and in the queue
	}{{0, 0, 200 * ms}, {3, 0, 0}, {2, 0, 0}, {1, 0, 0}, {1, 400 * ms, 0}, {0, 0, 0}, {0, 900 * ms, 0}, {0, 20 * ms, 0}}
	for _, a := range arrivals {
		if _, _, err := put(q, &c, a.kind, a.age, epoch.Add(-a.ago), ""); err != nil {
			t.Fatal(err)
		}
	}
	var got []string
	for range arrivals {
		j := q.pop(epoch, always)
		got = append(got, fmt.Sprint(j.kind.config.Name, " ", j.request.Deadline.Sub(epoch)))
		q.end(j, epoch)
	}
	want := []string{
		"lookup 980ms", "lookup 1s", "lookup 100ms", "lookup 800ms", // the last two can't meet their target any more
		"renewal 4.6s", "renewal 5s", "pause 5s", "batch 1m0s",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

// A floor is for work that waits: what was owed while it waited is void once
// none is queued.
func TestFloorIsNotSavedUp(t *testing.T) {
	c := queueKinds()
	c.ServerSlots, c.Kinds[3].Floor = 1, 0.5
	q := newQueue(&c, nil)
	next := func() string {
		j := q.pop(epoch, always)
		q.end(j, epoch.Add(j.chargedTime))
		return j.kind.config.Name
	}
	play := func(n int) (names []string) {
		for range n {
			if _, _, err := put(q, &c, 0, 0, epoch, ""); err != nil {
				t.Fatal(err)
			}
			names = append(names, next())
		}
		return names
	}
	var got []string
	waiting, _, _ := put(q, &c, 3, 0, epoch, "")
	got = append(got, play(49)...) // 50 of 10 ms owe the bulk work its 250 ms
	q.remove(waiting)
	_, _, _ = put(q, &c, 3, 0, epoch, "")
	got = append(got, play(51)...)
	want := append(slices.Repeat([]string{"lookup"}, 99), "batch")
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

func TestQueueAdmission(t *testing.T) {
	tests := map[string]struct {
		limit     int // over all kinds
		before    []int
		age       time.Duration // of the work before
		kind      int
		caller    string
		displaced string
		want      code.Code
	}{
		"free":                                  {kind: 0, want: code.OK},
		"kind full":                             {before: slices.Repeat([]int{1}, 10), kind: 1, want: code.QueueFull},
		"other kind full":                       {before: slices.Repeat([]int{1}, 10), kind: 2, want: code.QueueFull, limit: 10},
		"late work leaves":                      {before: slices.Repeat([]int{0}, 10), age: 900 * ms, kind: 0, displaced: "lookup", want: code.OK},
		"full, bulk leaves":                     {limit: 4, before: []int{1, 2, 3, 3}, kind: 0, displaced: "batch", want: code.OK},
		"full, least worth leaves":              {limit: 3, before: []int{1, 2, 1}, kind: 0, displaced: "pause", want: code.OK},
		"full of as urgent work":                {limit: 2, before: []int{0, 0}, kind: 0, want: code.QueueFull},
		"full, less urgent doesn't enter":       {limit: 2, before: []int{0, 1}, kind: 3, want: code.QueueFull},
		"caller at its cap":                     {before: []int{2, 3}, caller: "capped", kind: 3, want: code.CallerCapReached},
		"caller at its cap of less urgent work": {before: []int{2, 3}, caller: "capped", kind: 0, want: code.OK},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := queueKinds()
			c.QueueLimit = test.limit
			q := newQueue(&c, []config.Caller{{Name: "capped", Cap: 2}})
			for _, kind := range test.before {
				if _, _, err := put(q, &c, kind, test.age, epoch, test.caller); err != nil {
					t.Fatal(err)
				}
			}
			_, displaced, err := put(q, &c, test.kind, 0, epoch, test.caller)
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

// Work that can't be served before its deadline is refused as it comes, by the
// measured service time and not by the configured one.
func TestUnreachableDeadlineIsRefusedEarly(t *testing.T) {
	c := queueKinds()
	c.Kinds[0].QueueLimit = 1000
	for _, took := range []time.Duration{10 * ms, 50 * ms} {
		q := newQueue(&c, nil)
		for range 200 {
			q.kinds[0].serviceTime.observe(took)
		}
		admitted := 0
		for _, _, err := put(q, &c, 0, 0, epoch, ""); err == nil; _, _, err = put(q, &c, 0, 0, epoch, "") {
			admitted++
		}
		want := int((time.Second - took) * 2 / took)
		if admitted < want-2 || admitted > want+2 {
			t.Errorf("service time %s: admitted %d of patience 1 s, want about %d", took, admitted, want)
		}
		if _, _, err := put(q, &c, 0, 0, epoch, ""); err.Code != code.TargetUnreachable {
			t.Errorf("service time %s: refused with %s, want %s", took, err.Code, code.TargetUnreachable)
		}
	}
}

// Whatever happens in whatever order, the counts match what is queued, limits
// hold, no job is lost or started twice, and no less urgent one goes first.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := queueKinds()
		c.QueueLimit = rapid.IntRange(0, 30).Draw(t, "limit")
		c.Kinds[3].Floor = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "floor")
		q := newQueue(&c, []config.Caller{{Name: "capped", Cap: 5}})
		now, held := epoch, keyspace.Slot(9)
		startable := func(j *job) bool { return j.slot != held }
		in, running := map[*job]bool{}, []*job{}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				k := &c.Kinds[rapid.IntRange(0, 3).Draw(t, "kind")]
				caller := rapid.SampledFrom([]string{"", "capped"}).Draw(t, "caller")
				left := time.Duration(rapid.Int64Range(0, int64(k.Patience)).Draw(t, "left"))
				j := q.newJob(&Request{Kind: k, Caller: caller, Deadline: now.Add(left)}, keyspace.Slot(rapid.IntRange(0, 2).Draw(t, "slot")), now)
				displaced, err := q.push(j, now)
				if in[j] = err == nil; displaced != nil && !in[displaced] {
					t.Fatal("displaced a job that was not queued")
				}
				delete(in, displaced)
			},
			"pop": func(t *rapid.T) {
				j := q.pop(now, startable)
				if j == nil {
					return
				}
				if !in[j] || j.slot == held {
					t.Fatalf("started a job that is not queued (%t) or held", !in[j])
				}
				delete(in, j)
				for o := range in {
					if in[o] && c.Kinds[3].Floor == 0 && o.kind.config.Rank < j.kind.config.Rank && o.slot != held && !slices.Contains(q.parked.jobs, o) {
						t.Fatalf("%s started before %s", j.kind.config.Name, o.kind.config.Name)
					}
				}
				running = append(running, j)
			},
			"end": func(t *rapid.T) {
				if len(running) > 0 {
					running[0].answered = true
					q.end(running[0], now)
					running = running[1:]
				}
			},
			"remove": func(t *rapid.T) {
				for j := range in {
					if in[j] {
						q.remove(j)
					}
					delete(in, j)
					return
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(0, int64(300*ms)).Draw(t, "wait")))
				for _, j := range q.expire(now) {
					if !in[j] || j.startBy.After(now) {
						t.Fatal("expired too early, or not queued")
					}
					delete(in, j)
				}
			},
			"hold": func(t *rapid.T) {
				held = keyspace.Slot(rapid.IntRange(0, 9).Draw(t, "held"))
				q.unpark(now, startable)
			},
			"": func(t *rapid.T) { checkCounts(t, q, in, running) },
		})
	})
}

func checkCounts(t *rapid.T, q *queue, in map[*job]bool, running []*job) {
	type counts struct {
		queued, parked, running int
		capped                  [config.RankCount]int
	}
	want, got := counts{running: len(running)}, counts{queued: q.queued, capped: *q.queuedByCaller["capped"], running: q.running}
	for j := range in {
		if in[j] {
			want.queued++
			if j.request.Caller == "capped" {
				want.capped[j.kind.config.Rank]++
			}
			if j.heap == nil || j.heap.jobs[j.index] != j {
				t.Fatal("a queued job is not where it says")
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
		t.Fatalf("over a limit: %d running, %d queued, %d of the capped caller", q.running, q.queued, want.capped)
	}
}

// BenchmarkQueue is one push and one pop at a depth of queued work, and beside
// parked work.
func BenchmarkQueue(b *testing.B) {
	for _, depth := range []int{0, 100, 10000} {
		for _, parked := range []int{0, 10000} {
			b.Run(fmt.Sprintf("queued=%d/parked=%d", depth, parked), func(b *testing.B) {
				c := queueKinds()
				for i := range c.Kinds {
					c.Kinds[i].QueueLimit, c.Kinds[i].Patience = 1<<20, config.Duration(time.Hour)
				}
				q := newQueue(&c, nil)
				r := &Request{Kind: &c.Kinds[0], Deadline: epoch.Add(time.Hour)}
				add := func(n int, slot keyspace.Slot) {
					for range n {
						q.insert(q.newJob(r, slot, epoch), epoch)
					}
				}
				add(parked, 1)
				startable := func(j *job) bool { return j.slot != 1 }
				if j := q.pop(epoch, startable); j != nil {
					b.Fatal("a held job started")
				}
				add(depth, 0)
				b.ReportAllocs()
				for b.Loop() {
					if _, err := q.push(q.newJob(r, 0, epoch), epoch); err != nil {
						b.Fatal(err)
					}
					q.end(q.pop(epoch, startable), epoch)
				}
			})
		}
	}
}

// A configured service time that is wrong isn't taken for a server that slows.
func TestWrongServiceTimeIsForgotten(t *testing.T) {
	e := newServiceTimeEstimate(8 * ms)
	for i := range 300 {
		if e.observe(50 * ms); e.slowdown() > slowdownThreshold {
			t.Fatalf("slowness %.1f after %d samples, want at most %.1f", e.slowdown(), i+1, slowdownThreshold)
		}
	}
	if e.mean < 45*ms {
		t.Errorf("mean %s after 300 samples of 50 ms", e.mean)
	}
	for range 20 {
		e.observe(200 * ms)
	}
	if e.slowdown() <= slowdownThreshold {
		t.Errorf("slowness %.1f after the service time rose fourfold, want over %.1f", e.slowdown(), slowdownThreshold)
	}
}

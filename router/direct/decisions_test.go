package direct

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzewind.example/core/ownership"
)

func TestRouteTakesTheLongestPrefix(t *testing.T) {
	table := NewTable(3, []Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "deep", Host: "a.example", Prefix: "/x/y/"},
		{Name: "mid", Host: "a.example", Prefix: "/x/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}, nil, Limits{})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "deep"},
		{"A.example", "/x/z", "mid"},
		{"a.example:8080", "/z", "all"},
		{"b.example", "/x/", "other"},
		{"b.example", "/z", ""},
		{"c.example", "/", ""},
	} {
		got := ""
		if r, ok := table.Route(c.host, c.path); ok {
			got = r.Name
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s%s (-want +got)\n%s", c.host, c.path, diff)
		}
	}
}

// TestSplitKeepsShares deals requests whose parts are near or far at random, and
// wants each part within a few requests of its share at any moment.
func TestSplitKeepsShares(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	r := &Route{Name: "r", Parts: []Part{{"a", 70}, {"b", 30}, {"c", 0}}}
	s := newSplitter()
	counts := map[string]float64{}
	far := 0
	for n := 1.0; n <= 2000; n++ {
		near := random.IntN(3) == 0
		distance := func(p Part) Distance {
			if p.Service == "a" && !near {
				return Far
			}
			return Near
		}
		p := s.nextPart(r, distance)
		counts[p.Service]++
		if distance(p) == Far {
			far++
		}
		for _, part := range r.Parts {
			if off := counts[part.Service] - n*part.Weight/100; off > maxSplitLead+1 || off < -maxSplitLead-1 {
				t.Fatalf("after %v requests %s has %v, which is %v off its share", n, part.Service, counts[part.Service], off)
			}
		}
	}
	if far > 800 {
		t.Errorf("%d of 2000 requests went far, want 800 at most, where 933 would without a choice", far)
	}
}

func TestPlacePrefersNearUntilItIsFull(t *testing.T) {
	near, regional, far := &backend{}, &backend{}, &backend{}
	w := requestProfile{typicalDuration: 100 * time.Millisecond}
	pick := func(nearLoad, regionalLoad float64, w requestProfile) *backend {
		c := selectServer([]candidate{
			{backend: far, distance: Far, slots: 6, slowness: 1, rtt: otherRegionRTT},
			{backend: regional, distance: Regional, slots: 6, slowness: 1, rtt: sameRegionRTT, load: regionalLoad},
			{backend: near, distance: Near, slots: 6, slowness: 1, load: nearLoad},
		}, w, 400*time.Millisecond, nil)
		return c.backend
	}
	for _, c := range []struct {
		near, regional float64
		work           requestProfile
		want           *backend
	}{
		{0, 0, w, near},
		{5, 0, w, regional},
		{30, 30, w, far},
		{30, 30, requestProfile{typicalDuration: w.typicalDuration, bulk: true, bodyBytes: 60_000}, near},
		{7, 0, requestProfile{typicalDuration: w.typicalDuration, bulk: true, bodyBytes: 300_000}, near},
	} {
		if got := pick(c.near, c.regional, c.work); got != c.want {
			t.Errorf("load %v near and %v in the region: %+v", c.near, c.regional, c)
		}
	}
	if c := selectServer([]candidate{{backend: near, slots: 6, slowness: 1}}, w, time.Second, []*backend{near}); c != nil {
		t.Error("a server that was tried is tried again")
	}
	out := []candidate{{backend: near, slots: 6, slowness: 1, ejected: true}, {backend: far, distance: Far, slots: 6, slowness: 3, rtt: otherRegionRTT}}
	if c := selectServer(out, w, time.Second, nil); c.backend != far {
		t.Error("a server that is out gets work")
	}
}

func TestComeBackLeavesTimeToCome(t *testing.T) {
	for _, c := range []struct{ wait, left, want time.Duration }{
		{100 * time.Millisecond, 900 * time.Millisecond, 100 * time.Millisecond},
		{time.Second, 900 * time.Millisecond, 300 * time.Millisecond},
		{time.Minute, time.Hour, maxRetryAfter},
		{0, time.Second, minRetryAfter},
	} {
		if got := boundRetryAfter(c.wait, c.left); got != c.want {
			t.Errorf("wait %v with %v left: %v, want %v", c.wait, c.left, got, c.want)
		}
	}
}

// TestBudgetHoldsInEachWindow spends as much as it gets at eight instances, while
// requests shift between them, and counts over every window.
func TestBudgetHoldsInEachWindow(t *testing.T) {
	limits := BudgetLimits{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}
	random := rand.New(rand.NewPCG(2, 2))
	const instances, step, steps = 8, 50 * time.Millisecond, 1200
	var budgets []*retryBudget
	for range instances {
		b := newRetryBudget(limits)
		b.setInstances(instances)
		budgets = append(budgets, b)
	}
	window := int(limits.Window / step)
	requests, repeats := make([]int, steps), make([]int, steps)
	now := time.Unix(1000, 0)
	for i := range steps {
		now = now.Add(step)
		hot := budgets[i/200%instances]
		for _, b := range budgets {
			n := random.IntN(3)
			if b == hot {
				n += 20
			}
			if i > 600 && i < 700 {
				n = 0 // a lull
			}
			for range n {
				b.countRequest("s", now)
				requests[i]++
			}
			for b.take("s", now) {
				repeats[i]++
			}
		}
	}
	for end := window; end < steps; end++ {
		in := func(from, to int) (int, int) {
			var a, b int
			for i := max(0, from); i < to; i++ {
				a, b = a+requests[i], b+repeats[i]
			}
			return a, b
		}
		asked, again := in(end-window, end)
		before, _ := in(end-2*window, end-window)
		half, _ := in(end-window*3/2, end-window/2)
		if allowed := limits.Ratio*float64(max(asked, before, half)) + limits.Slack; float64(again) > allowed {
			t.Fatalf("%d repeats in the window to %v, allowed are %v", again, time.Duration(end)*step, allowed)
		}
	}
}

func TestHealthTakesOutAndBack(t *testing.T) {
	now := time.Unix(1000, 0)
	var h health
	for range 10 {
		h.observe(attemptResult{outcome: outcomeDone, status: 500}, now)
	}
	if !h.ejected(now) {
		t.Error("a server that always fails gets work")
	}
	now = now.Add(ejectDuration + time.Millisecond)
	if h.ejected(now) {
		t.Errorf("out for longer than %v", ejectDuration)
	}
	for range 30 {
		h.observe(attemptResult{outcome: outcomeDone, status: 200}, now)
	}
	if got := h.recentFailureRatio(now); got > 0.01 {
		t.Errorf("share of failures %v after 30 successes", got)
	}
	var first, last time.Duration
	for i := range 8 {
		h.observe(attemptResult{outcome: outcomeUnsent}, now)
		pause := h.ejectedUntil.Sub(now)
		if i == 0 {
			first = pause
		}
		last = pause
		now = h.ejectedUntil
	}
	if first != minConnectBackoff || last != maxConnectBackoff {
		t.Errorf("pauses from %v to %v, want %v to %v", first, last, minConnectBackoff, maxConnectBackoff)
	}
}

func TestReportedLoadFades(t *testing.T) {
	now := time.Unix(1000, 0)
	l := serverLoad{inFlight: 2}
	l.observe(attemptResult{outcome: outcomeDone, status: 200, report: LoadReport{Running: 6, Waiting: 4, Slots: 6, Valid: true}}, now)
	if got := l.activeRequests(now); got != 9 {
		t.Errorf("present %v, want 2 own and 7 others", got)
	}
	if got := l.activeRequests(now.Add(reportDecayTime)); got != 2 {
		t.Errorf("present %v after %v, want the 2 own", got, reportDecayTime)
	}
}

// A floodSimulation plays a flood at one server in virtual time: arrivals from
// several entries that know its load only from its answers.
type floodSimulation struct {
	random          *rand.Rand
	slots           int
	typicalDuration time.Duration
	target          time.Duration
	queueTimeout    time.Duration
	rate            float64 // arrivals a second
	length          time.Duration
	admit           func(l *serverLoad, now time.Time, w requestProfile, left time.Duration) bool
}

type completion struct {
	at        time.Time
	instance  int
	startedAt time.Time
}

type completionHeap []completion

func (d completionHeap) Len() int           { return len(d) }
func (d completionHeap) Less(i, j int) bool { return d[i].at.Before(d[j].at) }
func (d completionHeap) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *completionHeap) Push(x any)        { *d = append(*d, x.(completion)) }
func (d *completionHeap) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

// run returns the share of arrivals that were answered within their target, of
// what the server could do at most.
func (f floodSimulation) run() float64 {
	const entries = 8
	start := time.Unix(1000, 0)
	var loads [entries]serverLoad
	free := make([]time.Time, f.slots)
	var running completionHeap
	inTime := 0
	for now := start; now.Before(start.Add(f.length)); {
		now = now.Add(time.Duration(f.random.ExpFloat64() / f.rate * float64(time.Second)))
		for len(running) > 0 && !running[0].at.After(now) {
			d := heap.Pop(&running).(completion)
			l := &loads[d.instance]
			l.inFlight--
			busy := min(len(running), f.slots)
			l.observe(attemptResult{
				outcome: outcomeDone, status: 200, duration: d.at.Sub(d.startedAt),
				report: LoadReport{Running: busy, Waiting: len(running) - busy, Slots: f.slots, Valid: true},
			}, d.at)
		}
		entry := f.random.IntN(entries)
		l := &loads[entry]
		if !f.admit(l, now, requestProfile{typicalDuration: f.typicalDuration}, f.target) {
			continue
		}
		slot := 0
		for i := range free {
			if free[i].Before(free[slot]) {
				slot = i
			}
		}
		begin := now
		if free[slot].After(now) {
			begin = free[slot]
		}
		if begin.Sub(now) > f.queueTimeout {
			continue
		}
		end := begin.Add(time.Duration(float64(f.typicalDuration) * (0.5 + f.random.Float64())))
		free[slot] = end
		l.inFlight++
		heap.Push(&running, completion{at: end, instance: entry, startedAt: now})
		if end.Sub(now) <= f.target {
			inTime++
		}
	}
	capacity := float64(f.slots) / f.typicalDuration.Seconds() * f.length.Seconds()
	return float64(inTime) / min(capacity, f.rate*f.length.Seconds())
}

// TestFloodIsServedInTime replays a flood of twice what a server can do. With
// admission most of its slots serve work in time; first in, first out without a
// limit serves next to nothing in time, and a fixed limit at each entry wastes
// slots or overruns them.
func TestFloodIsServedInTime(t *testing.T) {
	replay := func(rate float64, decide func(l *serverLoad, now time.Time, w requestProfile, left time.Duration) bool) float64 {
		return floodSimulation{
			random: rand.New(rand.NewPCG(7, 7)), slots: 6, typicalDuration: 90 * time.Millisecond, target: 400 * time.Millisecond,
			queueTimeout: time.Second, rate: rate, length: 20 * time.Second, admit: decide,
		}.run()
	}
	const flood, calm = 140, 50 // requests a second; the server can do 67
	byEstimate := func(l *serverLoad, now time.Time, w requestProfile, left time.Duration) bool {
		c := candidate{slots: 6, slowness: 1, load: l.activeRequests(now)}
		return admit(&c, w, left, time.Second).admitted
	}
	noLimit := func(*serverLoad, time.Time, requestProfile, time.Duration) bool { return true }
	if got, most := replay(calm, byEstimate), replay(calm, noLimit); got < most-0.02 {
		t.Errorf("admission serves %.3f of a calm load in time, %.3f without a limit", got, most)
	}
	admitted := replay(flood, byEstimate)
	all := replay(flood, noLimit)
	fixed := replay(flood, func(l *serverLoad, _ time.Time, _ requestProfile, _ time.Duration) bool { return l.inFlight < 1 })
	t.Logf("in time, of what the server can do: admission %.2f, no limit %.2f, one at a time from each entry %.2f", admitted, all, fixed)
	if admitted < 0.8 {
		t.Errorf("admission serves %.2f in time, want 0.8", admitted)
	}
	if admitted < all+0.3 || admitted < fixed {
		t.Errorf("admission serves %.2f in time, no limit %.2f, a fixed one %.2f", admitted, all, fixed)
	}
}

// TestPlacementSpreadsUnevenServers replays work for servers of unequal speed
// and compares placement with the better of two drawn at random.
func TestPlacementSpreadsUnevenServers(t *testing.T) {
	late := func(pick func(random *rand.Rand, cs []candidate, w requestProfile) int) float64 {
		random := rand.New(rand.NewPCG(9, 9))
		speeds := []float64{0.7, 0.7, 1.6, 0.7, 0.7, 1.6}
		type running struct{ free []time.Time }
		servers := make([]running, len(speeds))
		for i := range servers {
			servers[i].free = make([]time.Time, 6)
		}
		w := requestProfile{typicalDuration: 100 * time.Millisecond}
		now, missed := time.Unix(1000, 0), 0
		const requests = 20000
		for range requests {
			now = now.Add(time.Duration(random.ExpFloat64() / 310 * float64(time.Second)))
			cs := make([]candidate, len(speeds))
			for i, s := range servers {
				busy := 0.0
				for _, f := range s.free {
					if f.After(now) {
						busy += max(1, float64(f.Sub(now))/(100e6*speeds[i]))
					}
				}
				cs[i] = candidate{backend: &backend{}, slots: 6, slowness: speeds[i], load: busy}
			}
			i := pick(random, cs, w)
			slot := 0
			for j, f := range servers[i].free {
				if f.Before(servers[i].free[slot]) {
					slot = j
				}
			}
			begin := servers[i].free[slot]
			if begin.Before(now) {
				begin = now
			}
			end := begin.Add(time.Duration(float64(w.typicalDuration) * speeds[i] * (0.5 + random.Float64())))
			servers[i].free[slot] = end
			if end.Sub(now) > 250*time.Millisecond {
				missed++
			}
		}
		return float64(missed) / requests
	}
	placed := late(func(_ *rand.Rand, cs []candidate, w requestProfile) int {
		c := selectServer(cs, w, 250*time.Millisecond, nil)
		for i := range cs {
			if cs[i].backend == c.backend {
				return i
			}
		}
		return 0
	})
	two := late(func(random *rand.Rand, cs []candidate, _ requestProfile) int {
		a, b := random.IntN(len(cs)), random.IntN(len(cs))
		if cs[b].load < cs[a].load {
			return b
		}
		return a
	})
	t.Logf("late: placed %.3f, better of two %.3f", placed, two)
	if placed > two/2 {
		t.Errorf("placement is late %.3f of the time, the better of two %.3f", placed, two)
	}
}

func TestOwnerOfMovingKey(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newTestServer(t, Route{Attempts: 1}, true, "127.0.0.1:1", "127.0.0.1:2")
	row := ownership.Row{Range: ownership.Range{From: 0, To: 99}, Owner: ownership.Life{ID: "i0", Born: 1}, Fence: 5, Moving: true, Waits: 900}
	s.SetBook(ownership.Book{Service: "s", Version: 1, Epoch: 1, Fence: 5, Rows: []ownership.Row{row}}, now)
	if v := s.lookupOwner("s", 7, now.Add(300*time.Millisecond)); v.backend != nil || v.grantWait != 600*time.Millisecond {
		t.Errorf("while it moves: %+v", v)
	}
	s.SetGranted(ownership.Granted{Service: "s", Range: row.Range, Fence: 4})
	if v := s.lookupOwner("s", 7, now); v.backend != nil {
		t.Error("a grant of an earlier move counts")
	}
	s.SetGranted(ownership.Granted{Service: "s", Range: row.Range, Fence: 5})
	if v := s.lookupOwner("s", 7, now); v.backend == nil {
		t.Error("a grant that has ended the move does not count")
	}
	if v := s.lookupOwner("s", 100, now); v.backend != nil || v.grantWait != 0 {
		t.Errorf("a key without a row: %+v", v)
	}
}

func TestMeasuredDemand(t *testing.T) {
	keys := map[uint32]int{5: 1, 300: 4, 301: 2, 65535: 1}
	got := demandRates(keys, 0.5)
	want := []ownership.BusyKey{{Key: 300, Rate: 8}, {Key: 301, Rate: 4}}
	if diff := cmp.Diff(want, got.Busy); diff != "" {
		t.Errorf("busy keys (-want +got)\n%s", diff)
	}
	if got.Buckets[0] != 2 || got.Buckets[255] != 2 || got.Buckets[1] != 0 {
		t.Errorf("buckets %v, %v and %v", got.Buckets[0], got.Buckets[1], got.Buckets[255])
	}
}

func ExampleDistance_String() {
	fmt.Println(Near, Regional, Far)
	// Output: failure-domain region other-region
}

// TestWaitCountsFromWriting counts the wait of a moving row from when its book
// was written, also for an instance that reads it much later.
func TestWaitCountsFromWriting(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newTestServer(t, Route{Attempts: 1}, true, "127.0.0.1:1")
	row := ownership.Row{Range: ownership.Range{To: 9}, Owner: ownership.Life{ID: "i0", Born: 1}, Fence: 5, Moving: true, Waits: 4000}
	written := now.Add(-3 * time.Second).UnixMilli()
	s.SetBook(ownership.Book{Service: "s", Version: 1, Epoch: 1, Fence: 5, Written: written, Rows: []ownership.Row{row}}, now)
	if v := s.lookupOwner("s", 7, now); v.grantWait != time.Second {
		t.Errorf("wait %v, want the 1 s that is left", v.grantWait)
	}
	if v := s.lookupOwner("s", 7, now.Add(time.Minute)); v.grantWait != 0 {
		t.Errorf("wait %v a minute later", v.grantWait)
	}
}

// TestConnectionsOfAllInstances replays a hot key: all instances open as many
// connections to its one owner as they may.
func TestConnectionsOfAllInstances(t *testing.T) {
	for _, c := range []struct {
		limit, instances, want int
	}{
		{46, 8, 17},
		{110, 8, 41},
		{130, 89, 1},
		{450, 65, 20},
		{50, 200, 1},
		{10, 1, 10},
	} {
		got := connectionsPerInstance(c.limit, c.instances)
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%d connections, %d instances (-want +got):\n%s", c.limit, c.instances, diff)
		}
		if even := c.limit / c.instances; even >= 1 && even < minEvenShare && got*c.instances > c.limit {
			t.Errorf("%d instances may open %d connections each, the server takes %d", c.instances, got, c.limit)
		}
	}
}

// TestOwnLimitIsNoFailureOfTheServer goes on using a server to which the instance
// may open no more connections.
func TestOwnLimitIsNoFailureOfTheServer(t *testing.T) {
	var h health
	now := time.Unix(1000, 0)
	for range 10 {
		h.observe(attemptResult{outcome: outcomeUnsent, connLimited: true}, now)
	}
	if h.ejected(now) || h.recentFailureRatio(now) > 0 {
		t.Errorf("out %t, share of failures %v", h.ejected(now), h.recentFailureRatio(now))
	}
}

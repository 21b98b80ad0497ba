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

// TestSplitKeepsShares distributes requests, for two thirds of which part a is
// in another region. Each part has to stay within maxSplitLead+1 requests of
// its share at all times, although nearer parts are preferred.
func TestSplitKeepsShares(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	r := &Route{Name: "r", Parts: []Part{{"a", 70}, {"b", 30}, {"c", 0}}}
	s := newSplitter()
	counts := map[string]float64{}
	otherRegion := 0
	for n := 1.0; n <= 2000; n++ {
		sameDomain := random.IntN(3) == 0
		distance := func(p Part) Distance {
			if p.Service == "a" && !sameDomain {
				return Far
			}
			return Near
		}
		p := s.nextPart(r, distance)
		counts[p.Service]++
		if distance(p) == Far {
			otherRegion++
		}
		for _, part := range r.Parts {
			if off := counts[part.Service] - n*part.Weight/100; off > maxSplitLead+1 || off < -maxSplitLead-1 {
				t.Fatalf("after %v requests part %s has %v, which is %v off its share", n, part.Service, counts[part.Service], off)
			}
		}
	}
	if otherRegion > 800 {
		t.Errorf("%d of 2000 requests went to another region, want at most 800; without the preference for nearer parts it would be 933 (2000 * 0.7 * 2/3)", otherRegion)
	}
}

func TestSelectServerByDistanceAndLoad(t *testing.T) {
	sameDomain, sameRegion, otherRegion := &backend{}, &backend{}, &backend{}
	names := map[*backend]string{sameDomain: "same failure domain", sameRegion: "same region", otherRegion: "other region"}
	profile := requestProfile{typicalDuration: 100 * time.Millisecond}
	selected := func(sameDomainLoad, sameRegionLoad float64, profile requestProfile) *backend {
		c := selectServer([]candidate{
			{backend: otherRegion, distance: Far, slots: 6, slowness: 1, rtt: otherRegionRTT},
			{backend: sameRegion, distance: Regional, slots: 6, slowness: 1, rtt: sameRegionRTT, activeRequests: sameRegionLoad},
			{backend: sameDomain, distance: Near, slots: 6, slowness: 1, activeRequests: sameDomainLoad},
		}, profile, 400*time.Millisecond, nil)
		return c.backend
	}
	for _, c := range []struct {
		sameDomainLoad, sameRegionLoad float64
		profile                        requestProfile
		want                           *backend
	}{
		{0, 0, profile, sameDomain},
		{5, 0, profile, sameRegion},
		{30, 30, profile, otherRegion},
		{30, 30, requestProfile{typicalDuration: profile.typicalDuration, bulk: true, bodyBytes: 60_000}, sameDomain},
		{7, 0, requestProfile{typicalDuration: profile.typicalDuration, bulk: true, bodyBytes: 300_000}, sameDomain},
	} {
		if got := selected(c.sameDomainLoad, c.sameRegionLoad, c.profile); got != c.want {
			t.Errorf("load %v in the same failure domain and %v in the same region, %+v: selected the server in the %s, want %s", c.sameDomainLoad, c.sameRegionLoad, c.profile, names[got], names[c.want])
		}
	}
	if c := selectServer([]candidate{{backend: sameDomain, slots: 6, slowness: 1}}, profile, time.Second, []*backend{sameDomain}); c != nil {
		t.Error("a server that already had an attempt was selected again")
	}
	sameDomainEjected := []candidate{{backend: sameDomain, slots: 6, slowness: 1, ejected: true}, {backend: otherRegion, distance: Far, slots: 6, slowness: 3, rtt: otherRegionRTT}}
	if c := selectServer(sameDomainEjected, profile, time.Second, nil); c.backend != otherRegion {
		t.Error("the ejected server was selected, want the one in another region")
	}
}

func TestRetryAfterBounds(t *testing.T) {
	for _, c := range []struct{ wait, remaining, want time.Duration }{
		{100 * time.Millisecond, 900 * time.Millisecond, 100 * time.Millisecond},
		{time.Second, 900 * time.Millisecond, 300 * time.Millisecond},
		{time.Minute, time.Hour, maxRetryAfter},
		{0, time.Second, minRetryAfter},
	} {
		if got := boundRetryAfter(c.wait, c.remaining); got != c.want {
			t.Errorf("wait %v with %v remaining: Retry-After %v, want %v", c.wait, c.remaining, got, c.want)
		}
	}
}

// TestBudgetHoldsInEachWindow takes every available retry at eight instances
// while the request load shifts between them. The retries of all instances
// together must stay within the shared budget computed from the requests of
// that window or an earlier one, because retries may be taken later than the
// requests that allow them.
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
	requests, retries := make([]int, steps), make([]int, steps)
	now := time.Unix(1000, 0)
	for i := range steps {
		now = now.Add(step)
		busiest := budgets[i/200%instances]
		for _, b := range budgets {
			n := random.IntN(3)
			if b == busiest {
				n += 20
			}
			if i > 600 && i < 700 {
				n = 0 // no requests
			}
			for range n {
				b.countRequest("s", now)
				requests[i]++
			}
			for b.take("s", now) {
				retries[i]++
			}
		}
	}
	for end := window; end < steps; end++ {
		total := func(from, to int) (int, int) {
			var a, b int
			for i := max(0, from); i < to; i++ {
				a, b = a+requests[i], b+retries[i]
			}
			return a, b
		}
		requested, retried := total(end-window, end)
		previous, _ := total(end-2*window, end-window)
		halfWindowEarlier, _ := total(end-window*3/2, end-window/2)
		if allowed := limits.Ratio*float64(max(requested, previous, halfWindowEarlier)) + limits.Slack; float64(retried) > allowed {
			t.Fatalf("%d retries in the window that ends at %v, want at most %v", retried, time.Duration(end)*step, allowed)
		}
	}
}

func TestHealthEjectsAndReadmits(t *testing.T) {
	now := time.Unix(1000, 0)
	var h health
	for range 10 {
		h.observe(attemptSample{outcome: outcomeDone, status: 500}, now)
	}
	if !h.ejected(now) {
		t.Error("a server that always fails was not ejected")
	}
	now = now.Add(ejectDuration + time.Millisecond)
	if h.ejected(now) {
		t.Errorf("ejected for longer than %v", ejectDuration)
	}
	for range 30 {
		h.observe(attemptSample{outcome: outcomeDone, status: 200}, now)
	}
	if got := h.recentFailureRatio(now); got > 0.01 {
		t.Errorf("failure ratio %v after 30 successes, want at most 0.01", got)
	}
	var first, last time.Duration
	for i := range 8 {
		h.observe(attemptSample{outcome: outcomeUnsent}, now)
		backoff := h.ejectedUntil.Sub(now)
		if i == 0 {
			first = backoff
		}
		last = backoff
		now = h.ejectedUntil
	}
	if first != minUnsentBackoff || last != maxUnsentBackoff {
		t.Errorf("connect backoff from %v to %v, want %v to %v", first, last, minUnsentBackoff, maxUnsentBackoff)
	}
}

func TestReportedLoadDecays(t *testing.T) {
	now := time.Unix(1000, 0)
	l := serverLoad{inFlight: 2}
	l.observe(attemptSample{outcome: outcomeDone, status: 200, report: LoadReport{Running: 6, Waiting: 4, Slots: 6, Valid: true}}, now)
	if got := l.activeRequests(now); got != 9 {
		t.Errorf("%v active requests, want 9: 2 of this instance and 7 of others", got)
	}
	if got := l.activeRequests(now.Add(reportDecayTime)); got != 2 {
		t.Errorf("%v active requests %v after the report, want the 2 of this instance", got, reportDecayTime)
	}
}

// A floodSimulation simulates a flood of requests to one server in virtual
// time. The requests come from several instances whose only information on the
// server's load is the load reports in its responses.
type floodSimulation struct {
	random          *rand.Rand
	slots           int
	typicalDuration time.Duration
	target          time.Duration
	queueTimeout    time.Duration
	rate            float64 // requests per second
	duration        time.Duration
	admit           func(l *serverLoad, now time.Time, profile requestProfile, timeToTarget time.Duration) bool
}

type completion struct {
	at        time.Time
	instance  int
	startedAt time.Time
}

type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// run returns the requests completed within their target as a fraction of the
// server's capacity, or of all requests if these are fewer.
func (f floodSimulation) run() float64 {
	const instances = 8
	start := time.Unix(1000, 0)
	var loads [instances]serverLoad
	slotFreeAt := make([]time.Time, f.slots)
	var running completionHeap
	inTime := 0
	for now := start; now.Before(start.Add(f.duration)); {
		now = now.Add(time.Duration(f.random.ExpFloat64() / f.rate * float64(time.Second)))
		for len(running) > 0 && !running[0].at.After(now) {
			d := heap.Pop(&running).(completion)
			l := &loads[d.instance]
			l.inFlight--
			busy := min(len(running), f.slots)
			l.observe(attemptSample{
				outcome: outcomeDone, status: 200, duration: d.at.Sub(d.startedAt),
				report: LoadReport{Running: busy, Waiting: len(running) - busy, Slots: f.slots, Valid: true},
			}, d.at)
		}
		instance := f.random.IntN(instances)
		l := &loads[instance]
		if !f.admit(l, now, requestProfile{typicalDuration: f.typicalDuration}, f.target) {
			continue
		}
		slot := 0
		for i := range slotFreeAt {
			if slotFreeAt[i].Before(slotFreeAt[slot]) {
				slot = i
			}
		}
		begin := now
		if slotFreeAt[slot].After(now) {
			begin = slotFreeAt[slot]
		}
		if begin.Sub(now) > f.queueTimeout {
			continue
		}
		end := begin.Add(time.Duration(float64(f.typicalDuration) * (0.5 + f.random.Float64())))
		slotFreeAt[slot] = end
		l.inFlight++
		heap.Push(&running, completion{at: end, instance: instance, startedAt: now})
		if end.Sub(now) <= f.target {
			inTime++
		}
	}
	capacity := float64(f.slots) / f.typicalDuration.Seconds() * f.duration.Seconds()
	return float64(inTime) / min(capacity, f.rate*f.duration.Seconds())
}

// TestAdmissionDuringFlood simulates a flood of twice a server's capacity. With
// admission control most of the capacity goes to requests that meet their
// target. The result is compared with no admission control, where a FIFO queue
// grows up to queueTimeout and few requests are served in time, and with one
// request at a time from each instance, a fixed limit that leaves slots idle or
// overloads the server.
func TestAdmissionDuringFlood(t *testing.T) {
	simulate := func(rate float64, admit func(l *serverLoad, now time.Time, profile requestProfile, timeToTarget time.Duration) bool) float64 {
		return floodSimulation{
			random: rand.New(rand.NewPCG(7, 7)), slots: 6, typicalDuration: 90 * time.Millisecond, target: 400 * time.Millisecond,
			queueTimeout: time.Second, rate: rate, duration: 20 * time.Second, admit: admit,
		}.run()
	}
	const floodRate, normalRate = 140, 50 // requests per second; the server's capacity is 67
	byExpectedTime := func(l *serverLoad, now time.Time, profile requestProfile, timeToTarget time.Duration) bool {
		c := candidate{slots: 6, slowness: 1, activeRequests: l.activeRequests(now)}
		return admit(&c, profile, timeToTarget, time.Second).admitted
	}
	noLimit := func(*serverLoad, time.Time, requestProfile, time.Duration) bool { return true }
	if got, unlimited := simulate(normalRate, byExpectedTime), simulate(normalRate, noLimit); got < unlimited-0.02 {
		t.Errorf("at a normal rate, admission serves %.3f in time and no limit %.3f, want at most 0.02 less", got, unlimited)
	}
	admitted := simulate(floodRate, byExpectedTime)
	unlimited := simulate(floodRate, noLimit)
	fixed := simulate(floodRate, func(l *serverLoad, _ time.Time, _ requestProfile, _ time.Duration) bool { return l.inFlight < 1 })
	t.Logf("fraction of the capacity served in time: admission %.2f, no limit %.2f, one request at a time from each instance %.2f", admitted, unlimited, fixed)
	if admitted < 0.8 {
		t.Errorf("admission serves %.2f of the capacity in time, want at least 0.8", admitted)
	}
	if admitted < unlimited+0.3 || admitted < fixed {
		t.Errorf("admission serves %.2f in time, no limit %.2f, a fixed limit %.2f; want at least 0.3 more than no limit, and no less than the fixed limit", admitted, unlimited, fixed)
	}
}

// TestSelectServerWithServersOfUnequalSpeed simulates requests to servers of
// unequal speed and compares server selection with the power of two random
// choices by load.
func TestSelectServerWithServersOfUnequalSpeed(t *testing.T) {
	const target = 250 * time.Millisecond
	lateFraction := func(choose func(random *rand.Rand, cs []candidate, profile requestProfile) int) float64 {
		random := rand.New(rand.NewPCG(9, 9))
		slowness := []float64{0.7, 0.7, 1.6, 0.7, 0.7, 1.6}
		type server struct{ slotFreeAt []time.Time }
		servers := make([]server, len(slowness))
		for i := range servers {
			servers[i].slotFreeAt = make([]time.Time, 6)
		}
		profile := requestProfile{typicalDuration: 100 * time.Millisecond}
		now, late := time.Unix(1000, 0), 0
		const requests = 20000
		for range requests {
			now = now.Add(time.Duration(random.ExpFloat64() / 310 * float64(time.Second)))
			cs := make([]candidate, len(slowness))
			for i, s := range servers {
				load := 0.0 // remaining work in requests, at least 1 for each busy slot
				for _, at := range s.slotFreeAt {
					if at.After(now) {
						load += max(1, float64(at.Sub(now))/(float64(profile.typicalDuration)*slowness[i]))
					}
				}
				cs[i] = candidate{backend: &backend{}, slots: 6, slowness: slowness[i], activeRequests: load}
			}
			i := choose(random, cs, profile)
			slot := 0
			for j, at := range servers[i].slotFreeAt {
				if at.Before(servers[i].slotFreeAt[slot]) {
					slot = j
				}
			}
			begin := servers[i].slotFreeAt[slot]
			if begin.Before(now) {
				begin = now
			}
			end := begin.Add(time.Duration(float64(profile.typicalDuration) * slowness[i] * (0.5 + random.Float64())))
			servers[i].slotFreeAt[slot] = end
			if end.Sub(now) > target {
				late++
			}
		}
		return float64(late) / requests
	}
	selected := lateFraction(func(_ *rand.Rand, cs []candidate, profile requestProfile) int {
		c := selectServer(cs, profile, target, nil)
		for i := range cs {
			if cs[i].backend == c.backend {
				return i
			}
		}
		return 0
	})
	twoChoices := lateFraction(func(random *rand.Rand, cs []candidate, _ requestProfile) int {
		a, b := random.IntN(len(cs)), random.IntN(len(cs))
		if cs[b].activeRequests < cs[a].activeRequests {
			return b
		}
		return a
	})
	t.Logf("late fraction: selectServer %.3f, two random choices %.3f", selected, twoChoices)
	if selected > twoChoices/2 {
		t.Errorf("late fraction %.3f with selectServer and %.3f with two random choices, want at most half", selected, twoChoices)
	}
}

func TestOwnerOfMovingKey(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newTestServer(t, Route{Attempts: 1}, true, "127.0.0.1:1", "127.0.0.1:2")
	partition := ownership.Row{Range: ownership.Range{From: 0, To: 99}, Owner: ownership.Life{ID: "i0", Born: 1}, Fence: 5, Moving: true, Waits: 900}
	s.SetBook(ownership.Book{Service: "s", Version: 1, Epoch: 1, Fence: 5, Rows: []ownership.Row{partition}}, now)
	if v := s.lookupOwner("s", 7, now.Add(300*time.Millisecond)); v.backend != nil || v.grantWait != 600*time.Millisecond {
		t.Errorf("lookup during the move: %+v, want no server and a grant wait of 600ms", v)
	}
	s.SetGranted(ownership.Granted{Service: "s", Range: partition.Range, Fence: 4})
	if v := s.lookupOwner("s", 7, now); v.backend != nil {
		t.Error("a grant with the fence of an earlier move ended the move")
	}
	s.SetGranted(ownership.Granted{Service: "s", Range: partition.Range, Fence: 5})
	if v := s.lookupOwner("s", 7, now); v.backend == nil {
		t.Error("no server after the grant that completes the move")
	}
	if v := s.lookupOwner("s", 100, now); v.backend != nil || v.grantWait != 0 {
		t.Errorf("lookup of a key in no partition: %+v, want no server and no grant wait", v)
	}
}

func TestDemandRates(t *testing.T) {
	keys := map[uint32]int{5: 1, 300: 4, 301: 2, 65535: 1}
	got := demandRates(keys, 0.5)
	want := []ownership.BusyKey{{Key: 300, Rate: 8}, {Key: 301, Rate: 4}}
	if diff := cmp.Diff(want, got.Busy); diff != "" {
		t.Errorf("hot keys (-want +got)\n%s", diff)
	}
	if got.Buckets[0] != 2 || got.Buckets[255] != 2 || got.Buckets[1] != 0 {
		t.Errorf("buckets 0, 1 and 255 are %v, %v and %v, want 2, 0 and 2", got.Buckets[0], got.Buckets[1], got.Buckets[255])
	}
}

func ExampleDistance_String() {
	fmt.Println(Near, Regional, Far)
	// Output: failure-domain region other-region
}

// TestGrantWaitCountsFromMapWrite checks that the grant wait of a moving
// partition counts from the write of the partition map, also for an instance
// that reads the map much later.
func TestGrantWaitCountsFromMapWrite(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newTestServer(t, Route{Attempts: 1}, true, "127.0.0.1:1")
	partition := ownership.Row{Range: ownership.Range{To: 9}, Owner: ownership.Life{ID: "i0", Born: 1}, Fence: 5, Moving: true, Waits: 4000}
	written := now.Add(-3 * time.Second).UnixMilli()
	s.SetBook(ownership.Book{Service: "s", Version: 1, Epoch: 1, Fence: 5, Written: written, Rows: []ownership.Row{partition}}, now)
	if v := s.lookupOwner("s", 7, now); v.grantWait != time.Second {
		t.Errorf("grant wait %v, want the remaining 1s", v.grantWait)
	}
	if v := s.lookupOwner("s", 7, now.Add(time.Minute)); v.grantWait != 0 {
		t.Errorf("grant wait %v a minute later, want 0", v.grantWait)
	}
}

// TestConnectionsOfAllInstances checks how many connections an instance may
// open to the owner of a hot key, when every instance opens as many as it may.
// Where the even share is at least 1 but below minEvenShare, all instances
// together must not exceed the server's limit, because the server resets the
// connections over it. With more instances than connections each instance still
// opens one.
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
		if evenShare := c.limit / c.instances; evenShare >= 1 && evenShare < minEvenShare && got*c.instances > c.limit {
			t.Errorf("%d instances may open %d connections each, but the server accepts only %d", c.instances, got, c.limit)
		}
	}
}

// TestOwnConnectionLimitIsNotAServerFailure guards against ejecting a server
// because this instance has reached its own connection limit.
func TestOwnConnectionLimitIsNotAServerFailure(t *testing.T) {
	var h health
	now := time.Unix(1000, 0)
	for range 10 {
		h.observe(attemptSample{outcome: outcomeUnsent, connLimited: true}, now)
	}
	if h.ejected(now) || h.recentFailureRatio(now) > 0 {
		t.Errorf("ejected %t, failure ratio %v, want false and 0", h.ejected(now), h.recentFailureRatio(now))
	}
}

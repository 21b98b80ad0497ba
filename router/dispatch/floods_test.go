package dispatch

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bronzewind.example/core/code"
	"bronzewind.example/core/config"
	"bronzewind.example/core/keyspace"
)

var (
	floodServers   = flag.Int("flood-servers", 1, "number of backend servers to simulate; 0 means the number in the workload")
	floodSeed      = flag.Uint64("flood-seed", 1, "seed of arrivals and service times")
	floodBaselines = flag.Bool("flood-baselines", false, "also simulate the baselines")
)

type (
	// policy decides which request starts next. The simulation compares the queue
	// with its baselines.
	policy interface {
		push(j *job, now time.Time) (*job, *code.Error)
		pop(now time.Time, mayStart func(*job) bool) *job
		end(j *job, now time.Time)
		expire(now time.Time) []*job
		newJob(r *Request, slot keyspace.Slot, now time.Time) *job
	}

	// baseline starts requests in order of arrival, or by rank and then arrival.
	// It has the limits of the queue for each kind, but neither displaces queued
	// requests nor refuses requests early. It uses the other methods of queue.
	baseline struct {
		*queue
		byRank bool
		jobs   [config.RankCount][]*job
	}

	// workload is a service with the load that its kinds offer.
	workload struct {
		name    string
		servers int
		service config.Service
		load    []float64 // normal offered load by kind, as a share of all slots
	}

	// kindResult counts the requests of one kind in the measured part of a
	// simulation.
	kindResult struct {
		offered, served, onTarget, refused int
		slotTime                           time.Duration
		responseTimes                      []time.Duration
		maxQueued                          int // in the whole simulation
	}

	// event is an arrival or the end of a job.
	event struct {
		at       time.Time
		job      *job // nil for an arrival
		kind     int
		sequence int
	}

	eventHeap []event

	// simulation simulates one backend server.
	simulation struct {
		workload     *workload
		policy       policy
		arrivalRates []float64 // arrivals per second by kind
		random       *rand.Rand
		events       eventHeap
		results      []kindResult
		slowdown     float64 // factor on service times
		now          time.Time
		measureFrom  time.Time
	}
)

func (b *baseline) push(j *job, now time.Time) (*job, *code.Error) {
	if j.kind.queued >= j.kind.config.QueueLimit {
		return nil, code.NewError(code.QueueFull, "")
	}
	j.kind.queued++
	rank := 0
	if b.byRank {
		rank = int(j.kind.config.Rank)
	}
	b.jobs[rank] = append(b.jobs[rank], j)
	return nil, nil
}

func (b *baseline) pop(now time.Time, _ func(*job) bool) *job {
	for i := range b.jobs {
		if len(b.jobs[i]) > 0 && b.running < b.slots {
			j := b.jobs[i][0]
			b.jobs[i] = b.jobs[i][1:]
			j.kind.queued--
			j.started = now
			b.running++
			j.kind.running++
			return j
		}
	}
	return nil
}

func (b *baseline) expire(now time.Time) []*job {
	var out []*job
	for i := range b.jobs {
		b.jobs[i] = slices.DeleteFunc(b.jobs[i], func(j *job) bool {
			due := !now.Before(j.request.Deadline)
			if due {
				j.kind.queued--
				out = append(out, j)
			}
			return due
		})
	}
	return out
}

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h eventHeap) Less(i, k int) bool {
	return h[i].at.Before(h[k].at) || h[i].at.Equal(h[k].at) && h[i].sequence < h[k].sequence
}
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func newKind(name string, rank config.Rank, worth float64, target, patience, serviceTime time.Duration, minShare float64, queueLimit int) config.Kind {
	return config.Kind{
		Name: name, Method: "GET", Rank: rank, Worth: worth, Target: config.Duration(target), Patience: config.Duration(patience),
		ServiceTime: config.Duration(serviceTime), Floor: minShare, QueueLimit: queueLimit,
	}
}

const ms = time.Millisecond

// longPatienceWorkload has six slots for each server and callers that wait 20 s
// or longer.
func longPatienceWorkload() *workload {
	return &workload{name: "magnolia", servers: 14, load: []float64{0.25, 0.2, 0.15}, service: config.Service{
		Name: "proofs", Slots: 64, ServerSlots: 6, Kinds: []config.Kind{
			newKind("lookup", config.Urgent, 1, 100*ms, 20*time.Second, 10*ms, 0, 400),
			newKind("press-run", config.Normal, 20, time.Second, 30*time.Second, 80*ms, 0.15, 200),
			newKind("artwork", config.Bulk, 5, 30*time.Second, 2*time.Minute, 500*ms, 0.1, 100),
		},
	}}
}

// shortPatienceWorkload has three slots for each server; callers wait 1 s for
// urgent and 5 s for normal requests.
func shortPatienceWorkload() *workload {
	return &workload{name: "harrowmere", servers: 15, load: []float64{0.25, 0.2, 0.15}, service: config.Service{
		Name: "ledger", Slots: 64, ServerSlots: 3, Kinds: []config.Kind{
			newKind("balance", config.Urgent, 1, 80*ms, time.Second, 12*ms, 0, 200),
			newKind("renewal", config.Normal, 30, 500*ms, 5*time.Second, 60*ms, 0.15, 100),
			newKind("batch", config.Bulk, 3, 10*time.Second, time.Minute, 250*ms, 0.1, 100),
		},
	}}
}

// newPolicy returns the policy with the given name.
func newPolicy(name string, s *workload) policy {
	q := newQueue(&s.service, nil)
	switch name {
	case "fifo":
		return &baseline{queue: q}
	case "strict":
		return &baseline{queue: q, byRank: true}
	default:
		return q
	}
}

// simulateServer simulates one backend server for the given length of time. The
// first tenth is not measured. The kind flooded (-1 for none) offers 10 times the
// load that all slots can serve.
func simulateServer(s *workload, policyName string, flooded int, slowdown float64, length time.Duration, seed uint64) []kindResult {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	v := &simulation{
		workload: s, policy: newPolicy(policyName, s), random: rand.New(rand.NewPCG(seed, 7)), slowdown: slowdown,
		results: make([]kindResult, len(s.service.Kinds)), now: start, measureFrom: start.Add(length / 10),
	}
	for i := range s.service.Kinds {
		load := s.load[i]
		if i == flooded {
			load = 10
		}
		v.arrivalRates = append(v.arrivalRates, load*float64(s.service.ServerSlots)/s.service.Kinds[i].ServiceTime.Std().Seconds())
		v.scheduleArrival(i)
	}
	for len(v.events) > 0 {
		e := heap.Pop(&v.events).(event)
		if v.now = e.at; v.now.After(start.Add(length)) {
			break
		}
		v.step(e)
	}
	return v.results
}

func (v *simulation) measuring() bool { return v.now.After(v.measureFrom) }

func (v *simulation) scheduleArrival(kind int) {
	gap := time.Duration(v.random.ExpFloat64() / v.arrivalRates[kind] * float64(time.Second))
	heap.Push(&v.events, event{at: v.now.Add(gap), kind: kind, sequence: len(v.events)})
}

func (v *simulation) step(e event) {
	for _, j := range v.policy.expire(v.now) {
		v.refuse(j)
	}
	if e.job == nil {
		v.arrive(e.kind)
		v.scheduleArrival(e.kind)
	} else {
		v.finish(e.job)
	}
	for j := v.policy.pop(v.now, alwaysMayStart); j != nil; j = v.policy.pop(v.now, alwaysMayStart) {
		took := time.Duration(v.random.ExpFloat64() * v.slowdown * float64(j.kind.config.ServiceTime))
		heap.Push(&v.events, event{at: v.now.Add(took), job: j, sequence: len(v.events)})
	}
}

func alwaysMayStart(*job) bool { return true }

func (v *simulation) arrive(kind int) {
	k := &v.workload.service.Kinds[kind]
	j := v.policy.newJob(&Request{Kind: k, Deadline: v.now.Add(k.Patience.Std())}, 0, v.now)
	if v.measuring() {
		v.results[kind].offered++
	}
	displaced, err := v.policy.push(j, v.now)
	if err != nil {
		v.refuse(j)
		return
	}
	if displaced != nil {
		v.refuse(displaced)
	}
	v.resultFor(j).maxQueued = max(v.resultFor(j).maxQueued, j.kind.queued)
}

func (v *simulation) resultFor(j *job) *kindResult {
	for i := range v.workload.service.Kinds {
		if v.workload.service.Kinds[i].Name == j.kind.config.Name {
			return &v.results[i]
		}
	}
	panic("unknown kind " + j.kind.config.Name)
}

func (v *simulation) refuse(j *job) {
	if v.measuring() {
		v.resultFor(j).refused++
	}
}

func (v *simulation) finish(j *job) {
	j.servedNormally = true
	v.policy.end(j, v.now)
	r := v.resultFor(j)
	if !v.measuring() {
		return
	}
	r.served++
	r.slotTime += v.now.Sub(j.started)
	r.responseTimes = append(r.responseTimes, v.now.Sub(j.queuedAt))
	if !v.now.After(targetTime(j.request, j.kind.config)) {
		r.onTarget++
	}
}

// simulateServers simulates the backend servers of s one after the other and
// returns the sums of their results.
func simulateServers(s *workload, policyName string, flooded int, length time.Duration) []kindResult {
	servers := *floodServers
	if servers == 0 {
		servers = s.servers
	}
	sum := make([]kindResult, len(s.service.Kinds))
	for i := range servers {
		for k, r := range simulateServer(s, policyName, flooded, 1, length, *floodSeed+uint64(i)) {
			sum[k].offered += r.offered
			sum[k].served += r.served
			sum[k].onTarget += r.onTarget
			sum[k].refused += r.refused
			sum[k].slotTime += r.slotTime
			sum[k].responseTimes = append(sum[k].responseTimes, r.responseTimes...)
			sum[k].maxQueued = max(sum[k].maxQueued, r.maxQueued)
		}
	}
	return sum
}

func (r *kindResult) targetRatio() float64 { return float64(r.onTarget) / float64(max(r.offered, 1)) }

func (r *kindResult) p99() time.Duration {
	if len(r.responseTimes) == 0 {
		return 0
	}
	slices.Sort(r.responseTimes)
	return r.responseTimes[len(r.responseTimes)*99/100]
}

func slotShare(rs []kindResult, i int) float64 {
	total := time.Duration(0)
	for k := range rs {
		total += rs[k].slotTime
	}
	return float64(rs[i].slotTime) / float64(total)
}

// A flood of one kind must not delay more urgent kinds, deny less urgent kinds
// their minimum share, or exceed the queue limits.
func TestFloods(t *testing.T) {
	const length = 100 * time.Second
	policies := []string{"queue"}
	if *floodBaselines {
		policies = []string{"fifo", "strict", "queue"}
	}
	for _, s := range []*workload{longPatienceWorkload(), shortPatienceWorkload()} {
		for _, flooded := range []int{-1, 2, 1, 0} {
			for _, policyName := range policies {
				rs := simulateServers(s, policyName, flooded, length)
				logResults(t, s, flooded, policyName, rs)
				if policyName == "queue" {
					checkResults(t, s, flooded, rs)
				}
			}
		}
	}
}

func logResults(t *testing.T, s *workload, flooded int, policyName string, rs []kindResult) {
	worthInTarget, worthOffered := 0.0, 0.0
	for i := range rs {
		k, r := &s.service.Kinds[i], &rs[i]
		worthInTarget += float64(r.onTarget) * k.Worth
		worthOffered += float64(r.offered) * k.Worth
		t.Logf("%s flood %d %s %s: offered %d, within target %.2f%%, served %.2f%%, p99 %s, slot share %.1f%%, queued at most %d",
			s.name, flooded, policyName, k.Name, r.offered, 100*r.targetRatio(),
			100*float64(r.served)/float64(r.offered), r.p99().Round(ms), 100*slotShare(rs, i), r.maxQueued)
	}
	t.Logf("%s flood %d %s: worth served within target %.0f of %.0f offered", s.name, flooded, policyName, worthInTarget, worthOffered)
}

// checkResults checks that at least 99 % of the requests of the kinds more urgent
// than the flooded one, or of all kinds without a flood, meet their target, that
// less urgent kinds get their minimum share, and that queues keep their limits.
func checkResults(t *testing.T, s *workload, flooded int, rs []kindResult) {
	t.Helper()
	fail := func(i int, format string, a ...any) {
		t.Errorf("%s, flood of kind %d, kind %d: %s", s.name, flooded, i, fmt.Sprintf(format, a...))
	}
	for i := range rs {
		k := &s.service.Kinds[i]
		if rs[i].maxQueued > k.QueueLimit {
			fail(i, "up to %d queued, want at most %d", rs[i].maxQueued, k.QueueLimit)
		}
		if (flooded < 0 || i < flooded) && rs[i].targetRatio() < 0.99 {
			fail(i, "share served within target %.4f, want at least 0.99", rs[i].targetRatio())
		}
		// The queue of the kind is empty at times, so up to 3 % of the minimum
		// share may go unused.
		if flooded >= 0 && i > flooded && slotShare(rs, i) < k.Floor*0.97 {
			fail(i, "slot share %.4f, want at least 0.97 of the minimum share %.4f", slotShare(rs, i), k.Floor)
		}
	}
}

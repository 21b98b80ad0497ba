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
	floodServers   = flag.Int("flood-servers", 1, "backend servers that the floods are run on; 0 means those of the shape")
	floodSeed      = flag.Uint64("flood-seed", 1, "seed of arrivals and service times")
	floodBaselines = flag.Bool("flood-baselines", false, "run the baselines too")
)

type (
	// policy is what the simulation compares: the queue and its baselines.
	policy interface {
		push(j *job, now time.Time) (*job, *code.Error)
		pop(now time.Time, startable func(*job) bool) *job
		end(j *job, now time.Time)
		expire(now time.Time) []*job
		newJob(r *Request, slot keyspace.Slot, now time.Time) *job
	}

	// baseline is plain order: by arrival, or by rank and then arrival. Its
	// limits are those of the queue, without displacement or early refusal.
	baseline struct {
		*queue
		byRank bool
		jobs   [config.RankCount][]*job
	}

	shape struct {
		name    string
		servers int
		service config.Service
		load    []float64 // ordinary share of slot time by kind
	}

	// result counts one kind over the measured part of a run.
	result struct {
		offered, served, onTarget, refused int
		slotTime                           time.Duration
		response                           []time.Duration
		maxQueued                          int
	}

	happening struct {
		at       time.Time
		job      *job // nil for an arrival
		kind     int
		sequence int
	}

	happenings []happening

	simulation struct {
		shape   *shape
		policy  policy
		rates   []float64 // arrivals a second by kind
		random  *rand.Rand
		events  happenings
		results []result
		slow    float64 // factor on service times
		now     time.Time
		warm    time.Time
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

func (h happenings) Len() int      { return len(h) }
func (h happenings) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h happenings) Less(i, k int) bool {
	return h[i].at.Before(h[k].at) || h[i].at.Equal(h[k].at) && h[i].sequence < h[k].sequence
}
func (h *happenings) Push(x any) { *h = append(*h, x.(happening)) }
func (h *happenings) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func kindOf(name string, rank config.Rank, worth float64, target, patience, service time.Duration, floor float64, limit int) config.Kind {
	return config.Kind{
		Name: name, Method: "GET", Rank: rank, Worth: worth, Target: config.Duration(target), Patience: config.Duration(patience),
		ServiceTime: config.Duration(service), Floor: floor, QueueLimit: limit,
	}
}

const ms = time.Millisecond

func magnolia() *shape {
	return &shape{name: "magnolia", servers: 14, load: []float64{0.25, 0.2, 0.15}, service: config.Service{
		Name: "proofs", Slots: 64, ServerSlots: 6, Kinds: []config.Kind{
			kindOf("lookup", config.Urgent, 1, 100*ms, 20*time.Second, 10*ms, 0, 400),
			kindOf("press-run", config.Normal, 20, time.Second, 30*time.Second, 80*ms, 0.15, 200),
			kindOf("artwork", config.Bulk, 5, 30*time.Second, 2*time.Minute, 500*ms, 0.1, 100),
		},
	}}
}

func harrowmere() *shape {
	return &shape{name: "harrowmere", servers: 15, load: []float64{0.25, 0.2, 0.15}, service: config.Service{
		Name: "ledger", Slots: 64, ServerSlots: 3, Kinds: []config.Kind{
			kindOf("balance", config.Urgent, 1, 80*ms, time.Second, 12*ms, 0, 200),
			kindOf("renewal", config.Normal, 30, 500*ms, 5*time.Second, 60*ms, 0.15, 100),
			kindOf("batch", config.Bulk, 3, 10*time.Second, time.Minute, 250*ms, 0.1, 100),
		},
	}}
}

// newPolicy returns a policy and its queue by name.
func newPolicy(name string, s *shape) policy {
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

// run plays one backend server for the given time, of which the first tenth is
// not counted. The kind flooded (-1 for none) arrives at 10 times all slots.
func run(s *shape, name string, flooded int, slow float64, length time.Duration, seed uint64) []result {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	v := &simulation{
		shape: s, policy: newPolicy(name, s), random: rand.New(rand.NewPCG(seed, 7)), slow: slow,
		results: make([]result, len(s.service.Kinds)), now: start, warm: start.Add(length / 10),
	}
	for i := range s.service.Kinds {
		load := s.load[i]
		if i == flooded {
			load = 10
		}
		v.rates = append(v.rates, load*float64(s.service.ServerSlots)/s.service.Kinds[i].ServiceTime.Std().Seconds())
		v.arriveNext(i)
	}
	for len(v.events) > 0 {
		e := heap.Pop(&v.events).(happening)
		if v.now = e.at; v.now.After(start.Add(length)) {
			break
		}
		v.step(e)
	}
	return v.results
}

func (v *simulation) counts() bool { return v.now.After(v.warm) }

func (v *simulation) arriveNext(kind int) {
	gap := time.Duration(v.random.ExpFloat64() / v.rates[kind] * float64(time.Second))
	heap.Push(&v.events, happening{at: v.now.Add(gap), kind: kind, sequence: len(v.events)})
}

func (v *simulation) step(e happening) {
	for _, j := range v.policy.expire(v.now) {
		v.refuse(j)
	}
	if e.job == nil {
		v.arrive(e.kind)
		v.arriveNext(e.kind)
	} else {
		v.finish(e.job)
	}
	for j := v.policy.pop(v.now, always); j != nil; j = v.policy.pop(v.now, always) {
		took := time.Duration(v.random.ExpFloat64() * v.slow * float64(j.kind.config.ServiceTime))
		heap.Push(&v.events, happening{at: v.now.Add(took), job: j, sequence: len(v.events)})
	}
}

func always(*job) bool { return true }

func (v *simulation) arrive(kind int) {
	k := &v.shape.service.Kinds[kind]
	j := v.policy.newJob(&Request{Kind: k, Deadline: v.now.Add(k.Patience.Std())}, 0, v.now)
	if v.counts() {
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
	v.result(j).maxQueued = max(v.result(j).maxQueued, j.kind.queued)
}

func (v *simulation) result(j *job) *result {
	for i := range v.shape.service.Kinds {
		if v.shape.service.Kinds[i].Name == j.kind.config.Name {
			return &v.results[i]
		}
	}
	panic("unknown kind " + j.kind.config.Name)
}

func (v *simulation) refuse(j *job) {
	if v.counts() {
		v.result(j).refused++
	}
}

func (v *simulation) finish(j *job) {
	j.answered = true
	v.policy.end(j, v.now)
	r := v.result(j)
	if !v.counts() {
		return
	}
	r.served++
	r.slotTime += v.now.Sub(j.started)
	r.response = append(r.response, v.now.Sub(j.queuedAt))
	if !v.now.After(targetTime(j.request, j.kind.config)) {
		r.onTarget++
	}
}

// runAll plays the backend servers of s one after the other and adds up.
func runAll(s *shape, name string, flooded int, length time.Duration) []result {
	servers := *floodServers
	if servers == 0 {
		servers = s.servers
	}
	sum := make([]result, len(s.service.Kinds))
	for i := range servers {
		for k, r := range run(s, name, flooded, 1, length, *floodSeed+uint64(i)) {
			sum[k].offered += r.offered
			sum[k].served += r.served
			sum[k].onTarget += r.onTarget
			sum[k].refused += r.refused
			sum[k].slotTime += r.slotTime
			sum[k].response = append(sum[k].response, r.response...)
			sum[k].maxQueued = max(sum[k].maxQueued, r.maxQueued)
		}
	}
	return sum
}

func (r *result) withinTarget() float64 { return float64(r.onTarget) / float64(max(r.offered, 1)) }

func (r *result) p99() time.Duration {
	if len(r.response) == 0 {
		return 0
	}
	slices.Sort(r.response)
	return r.response[len(r.response)*99/100]
}

func slotShare(rs []result, i int) float64 {
	total := time.Duration(0)
	for k := range rs {
		total += rs[k].slotTime
	}
	return float64(rs[i].slotTime) / float64(total)
}

func TestFloods(t *testing.T) {
	const length = 100 * time.Second
	policies := []string{"queue"}
	if *floodBaselines {
		policies = []string{"fifo", "strict", "queue"}
	}
	for _, s := range []*shape{magnolia(), harrowmere()} {
		for _, flooded := range []int{-1, 2, 1, 0} {
			for _, name := range policies {
				rs := runAll(s, name, flooded, length)
				logFlood(t, s, flooded, name, rs)
				if name == "queue" {
					checkFlood(t, s, flooded, rs)
				}
			}
		}
	}
}

func logFlood(t *testing.T, s *shape, flooded int, name string, rs []result) {
	worth, all := 0.0, 0.0
	for i := range rs {
		k, r := &s.service.Kinds[i], &rs[i]
		worth += float64(r.onTarget) * k.Worth
		all += float64(r.offered) * k.Worth
		t.Logf("%s flood %d %s %s: offered %d, within target %.2f%%, served %.2f%%, p99 %s, slot share %.1f%%, queued at most %d",
			s.name, flooded, name, k.Name, r.offered, 100*r.withinTarget(),
			100*float64(r.served)/float64(r.offered), r.p99().Round(ms), 100*slotShare(rs, i), r.maxQueued)
	}
	t.Logf("%s flood %d %s: worth served within target %.0f of %.0f offered", s.name, flooded, name, worth, all)
}

// checkFlood checks the targets: ranks above the flood are served in time,
// those below keep their floor, and queues keep their limits.
func checkFlood(t *testing.T, s *shape, flooded int, rs []result) {
	t.Helper()
	fault := func(i int, format string, a ...any) {
		t.Errorf("%s, flood of kind %d, kind %d: %s", s.name, flooded, i, fmt.Sprintf(format, a...))
	}
	for i := range rs {
		k := &s.service.Kinds[i]
		if rs[i].maxQueued > k.QueueLimit {
			fault(i, "queued %d, limit %d", rs[i].maxQueued, k.QueueLimit)
		}
		if (flooded < 0 || i < flooded) && rs[i].withinTarget() < 0.99 {
			fault(i, "within target %.4f, want 0.99", rs[i].withinTarget())
		}
		// Its queue is empty at times, so the floor is met but for 3 parts in 100.
		if flooded >= 0 && i > flooded && slotShare(rs, i) < k.Floor*0.97 {
			fault(i, "slot share %.4f, want the floor %.4f", slotShare(rs, i), k.Floor)
		}
	}
}

package control

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bronzewind.example/core/config"
	"bronzewind.example/core/keyspace"
	"bronzewind.example/core/record"
	"bronzewind.example/core/state"
)

// zipfLoads draws the load of keys with Zipf's law, in requests running at once.
func zipfLoads(keys int, exponent, total float64) map[keyspace.Hash]float64 {
	out, sum := map[keyspace.Hash]float64{}, 0.0
	random := rand.New(rand.NewPCG(1, 2))
	for i := range keys {
		l := math.Pow(float64(i+1), -exponent)
		out[keyspace.Hash(random.Uint64())] = l
		sum += l
	}
	for h := range out {
		out[h] *= total / sum
	}
	return out
}

// simulated is a service whose loads are measured exactly and whose moves end
// at once.
type simulated struct {
	v     *state.Service
	conf  *config.Service
	loads map[keyspace.Hash]float64
	plan  planState
}

func newSimulated(servers []string, loads map[keyspace.Hash]float64) *simulated {
	c := &config.Service{Name: "proofs", ServerSlots: 6, Slots: 4096}
	s := &simulated{conf: c, loads: loads, plan: planState{coldSince: map[keyspace.Hash]time.Time{}}}
	s.v = &state.Service{Servers: map[string]state.Server{}, Slots: make(state.Slots, c.Slots), Keys: map[keyspace.Hash]state.SlotRow{}}
	for i, name := range servers {
		s.add(name, i)
	}
	return s
}

func (s *simulated) add(name string, i int) {
	s.v.Servers[name] = state.Server{Up: true, Row: record.ServerRow{Name: name, FailureDomain: fmt.Sprint(i % 6)}}
}

// round makes one round of moves, with the keys reported that dispatchers do.
func (s *simulated) round(now time.Time) {
	w := weights{slots: make([]float64, len(s.v.Slots)), keys: map[keyspace.Hash]float64{}}
	for i := range w.slots {
		w.slots[i] = baseSlotWeight(s.v, s.conf)
	}
	for h, l := range s.loads {
		if l > minHotLoad {
			w.keys[h] = l
		}
		if !s.v.Hot(h) {
			w.slots[h.Slot(len(s.v.Slots))] += l
		}
	}
	if rows := s.plan.hotKeyChanges(s.v, w, now); len(rows) > 0 && s.v.Slots[0].Owner != "" {
		s.apply(change{keys: rows})
		return
	}
	p := newPlanner(s.v, s.conf, w)
	p.placeUnowned()
	s.plan.balancing = p.balance(s.conf, len(s.v.Slots), s.plan.balancing)
	s.apply(p.result())
}

func (s *simulated) apply(c change) {
	for _, r := range c.ranges {
		for i := r.First; i <= r.Last; i++ {
			s.v.Slots[i] = state.SlotRow{Owner: r.Server}
		}
	}
	for _, k := range c.keys {
		if k.Server == "" {
			delete(s.v.Keys, k.Hash)
			continue
		}
		s.v.Keys[k.Hash] = state.SlotRow{Owner: k.Server}
	}
}

func (s *simulated) owner(h keyspace.Hash) string { return s.v.Row(h).Owner }

func TestOneKeyOverTheMeanKeepsOtherServersEvenAndStill(t *testing.T) {
	servers := []string{"s0", "s1", "s2", "s3", "s4", "s5"}
	loads := zipfLoads(20_000, 1.3, 12)
	s := newSimulated(servers, loads)
	now := time.Unix(1000, 0)
	run := func(rounds int) {
		for range rounds {
			now = now.Add(balanceInterval)
			s.round(now)
		}
	}
	run(20)
	s.add("s6", 6)
	run(30)
	by := map[string]float64{}
	largest, total := keyspace.Hash(0), 0.0
	for h, l := range loads {
		by[s.owner(h)] += l
		if total += l; l > loads[largest] {
			largest = h
		}
	}
	alone := s.owner(largest)
	mean := (total - by[alone]) / float64(len(by)-1)
	for name, l := range by {
		if name != alone && math.Abs(l/mean-1) > 0.25 {
			t.Errorf("%s carries %.2f of the mean of the servers without the largest key: %v", name, l/mean, by)
		}
	}
	if spare := by[alone] - loads[largest]; len(by) != 7 || spare > 0.25*mean {
		t.Errorf("%s carries %.2f besides the largest key: %v", alone, spare, by)
	}
	before := slices.Clone(s.v.Slots)
	random := rand.New(rand.NewPCG(3, 4))
	for range 20 {
		for h, l := range zipfLoads(20_000, 1.3, 12) {
			s.loads[h] = l * (0.95 + random.Float64()/10)
		}
		run(1)
	}
	if moved := changed(before, s.v.Slots); moved > 0 {
		t.Errorf("%d slots moved in 20 rounds of loads that differ by 5%% at most", moved)
	}
}

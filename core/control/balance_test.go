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

// zipfLoads returns the loads of random keys, which follow Zipf's law. A load is
// a mean number of concurrent requests.
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

// simulatedService is a service whose loads are measured exactly and whose moves
// complete at once.
type simulatedService struct {
	service *state.Service
	conf    *config.Service
	loads   map[keyspace.Hash]float64
	plan    planState
}

func newSimulatedService(servers []string, loads map[keyspace.Hash]float64) *simulatedService {
	c := &config.Service{Name: "proofs", ServerSlots: 6, Slots: 4096}
	s := &simulatedService{conf: c, loads: loads, plan: planState{coldSince: map[keyspace.Hash]time.Time{}}}
	s.service = &state.Service{Servers: map[string]state.Server{}, Slots: make(state.Slots, c.Slots), Keys: map[keyspace.Hash]state.SlotRow{}}
	for i, name := range servers {
		s.addServer(name, i)
	}
	return s
}

func (s *simulatedService) addServer(name string, i int) {
	s.service.Servers[name] = state.Server{Up: true, Row: record.ServerRow{Name: name, FailureDomain: fmt.Sprint(i % 6)}}
}

// balanceOnce runs one round of balancing moves, with the loads of keys above
// minHotLoad, as if dispatchers reported only these.
func (s *simulatedService) balanceOnce(now time.Time) {
	w := weights{slots: make([]float64, len(s.service.Slots)), keys: map[keyspace.Hash]float64{}}
	for i := range w.slots {
		w.slots[i] = baseSlotWeight(s.service, s.conf)
	}
	for h, l := range s.loads {
		if l > minHotLoad {
			w.keys[h] = l
		}
		if !s.service.Hot(h) {
			w.slots[h.Slot(len(s.service.Slots))] += l
		}
	}
	if rows := s.plan.hotKeyChanges(s.service, w, now); len(rows) > 0 && s.service.Slots[0].Owner != "" {
		s.apply(change{keys: rows})
		return
	}
	p := newPlanner(s.service, s.conf, w)
	p.placeUnplaced()
	s.plan.balancing = p.balance(s.conf, len(s.service.Slots), s.plan.balancing)
	s.apply(p.result())
}

func (s *simulatedService) apply(c change) {
	for _, r := range c.ranges {
		for i := r.First; i <= r.Last; i++ {
			s.service.Slots[i] = state.SlotRow{Owner: r.Server}
		}
	}
	for _, k := range c.keys {
		if k.Server == "" {
			delete(s.service.Keys, k.Hash)
			continue
		}
		s.service.Keys[k.Hash] = state.SlotRow{Owner: k.Server}
	}
}

func (s *simulatedService) owner(h keyspace.Hash) string { return s.service.Row(h).Owner }

func TestKeyAboveMeanLoadLeavesOtherServersBalancedAndStable(t *testing.T) {
	servers := []string{"s0", "s1", "s2", "s3", "s4", "s5"}
	loads := zipfLoads(20_000, 1.3, 12)
	s := newSimulatedService(servers, loads)
	now := time.Unix(1000, 0)
	run := func(rounds int) {
		for range rounds {
			now = now.Add(balanceInterval)
			s.balanceOnce(now)
		}
	}
	run(20)
	s.addServer("s6", 6)
	run(30)
	loadByServer := map[string]float64{}
	largest, total := keyspace.Hash(0), 0.0
	for h, l := range loads {
		loadByServer[s.owner(h)] += l
		if total += l; l > loads[largest] {
			largest = h
		}
	}
	largestOwner := s.owner(largest)
	mean := (total - loadByServer[largestOwner]) / float64(len(loadByServer)-1)
	for name, l := range loadByServer {
		if name != largestOwner && math.Abs(l/mean-1) > 0.25 {
			t.Errorf("%s has %.2f times the mean load of the servers without the most loaded key, want 0.75 to 1.25: %v", name, l/mean, loadByServer)
		}
	}
	if otherLoad := loadByServer[largestOwner] - loads[largest]; len(loadByServer) != 7 || otherLoad > 0.25*mean {
		t.Errorf("%s has a load of %.2f besides the most loaded key: %v", largestOwner, otherLoad, loadByServer)
	}
	before := slices.Clone(s.service.Slots)
	random := rand.New(rand.NewPCG(3, 4))
	for range 20 {
		for h, l := range zipfLoads(20_000, 1.3, 12) {
			s.loads[h] = l * (0.95 + random.Float64()/10)
		}
		run(1)
	}
	if moved := countChanged(before, s.service.Slots); moved > 0 {
		t.Errorf("%d slots moved in 20 rounds in which loads vary by 5%% at most, want 0", moved)
	}
}

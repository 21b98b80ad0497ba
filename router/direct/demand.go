package direct

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"bronzewind.example/core/ownership"
)

const (
	maxHotKeys     = 48
	hotKeyRate     = 3.0 // requests a second from which a key is counted by itself
	maxCountedKeys = 4096

	// minSlownessSamples of a server's speed make it worth telling.
	minSlownessSamples = 8
)

type (
	// demandCounter counts the requests for each key of each service with exclusive
	// owners since it was last taken.
	demandCounter struct {
		mu     sync.Mutex
		since  time.Time                 // guarded by mu
		counts map[string]map[uint32]int // by service and key; guarded by mu
	}
)

func newDemandCounter() *demandCounter {
	return &demandCounter{since: time.Now(), counts: map[string]map[uint32]int{}}
}

func (d *demandCounter) count(service string, key uint32) {
	d.mu.Lock()
	defer d.mu.Unlock()
	row, ok := d.counts[service]
	if !ok {
		row = map[uint32]int{}
		d.counts[service] = row
	}
	if _, ok := row[key]; ok || len(row) < maxCountedKeys {
		row[key]++
	}
}

// KeyDemand is what this instance saw of a service with exclusive owners.
type KeyDemand struct {
	Demand   ownership.Demand
	Work     time.Duration      // in a slot that a request takes on average
	Slowness map[string]float64 // by server ID: time that work takes there against the average
}

// TakeDemand returns what this instance saw since the last call, by service.
func (s *Server) TakeDemand(now time.Time) map[string]KeyDemand {
	d := s.demand
	d.mu.Lock()
	rows, passed := d.counts, now.Sub(d.since).Seconds()
	d.counts, d.since = map[string]map[uint32]int{}, now
	d.mu.Unlock()
	out := map[string]KeyDemand{}
	if passed <= 0 {
		return out
	}
	for service, keys := range rows {
		out[service] = KeyDemand{
			Demand: demandRates(keys, passed), Work: s.typicalDurations.serviceAverage(service), Slowness: s.slowness(service),
		}
	}
	return out
}

// slowness returns what was seen of the speed of each server of service.
func (s *Server) slowness(service string) map[string]float64 {
	out := map[string]float64{}
	for _, b := range s.servers.Load().services[service] {
		b.mu.Lock()
		slow, seen := b.load.measuredSlowness, b.load.slownessSamples
		b.mu.Unlock()
		if seen >= minSlownessSamples {
			out[b.info.Load().ID] = slow
		}
	}
	return out
}

func demandRates(keys map[uint32]int, seconds float64) ownership.Demand {
	var out ownership.Demand
	for key, n := range keys {
		rate := float64(n) / seconds
		if rate >= hotKeyRate && n > 1 {
			out.Busy = append(out.Busy, ownership.BusyKey{Key: key, Rate: rate})
			continue
		}
		out.Buckets[key/(ownership.KeyCount/ownership.BucketCount)] += rate
	}
	slices.SortFunc(out.Busy, func(a, b ownership.BusyKey) int { return cmp.Compare(b.Rate, a.Rate) })
	for _, b := range out.Busy[min(len(out.Busy), maxHotKeys):] {
		out.Buckets[b.Key/(ownership.KeyCount/ownership.BucketCount)] += b.Rate
	}
	out.Busy = out.Busy[:min(len(out.Busy), maxHotKeys)]
	slices.SortFunc(out.Busy, func(a, b ownership.BusyKey) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

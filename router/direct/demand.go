package direct

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"bronzewind.example/core/ownership"
)

const (
	maxBusyKeys   = 48
	busyRate      = 3.0 // requests a second from which a key is counted by itself
	maxCountedKey = 4096
)

type (
	// demand counts the requests for each key of each service with exclusive
	// owners since it was last taken.
	demand struct {
		mu    sync.Mutex
		since time.Time                 // guarded by mu
		rows  map[string]map[uint32]int // by service and key; guarded by mu
	}
)

func newDemand() *demand { return &demand{since: time.Now(), rows: map[string]map[uint32]int{}} }

func (d *demand) count(service string, key uint32) {
	d.mu.Lock()
	defer d.mu.Unlock()
	row, ok := d.rows[service]
	if !ok {
		row = map[uint32]int{}
		d.rows[service] = row
	}
	if _, ok := row[key]; ok || len(row) < maxCountedKey {
		row[key]++
	}
}

// TakeDemand returns the demand that this instance saw since the last call.
func (s *Server) TakeDemand(now time.Time) map[string]ownership.Demand {
	d := s.demand
	d.mu.Lock()
	rows, passed := d.rows, now.Sub(d.since).Seconds()
	d.rows, d.since = map[string]map[uint32]int{}, now
	d.mu.Unlock()
	out := map[string]ownership.Demand{}
	if passed <= 0 {
		return out
	}
	for service, keys := range rows {
		out[service] = measured(keys, passed)
	}
	return out
}

func measured(keys map[uint32]int, seconds float64) ownership.Demand {
	var out ownership.Demand
	for key, n := range keys {
		rate := float64(n) / seconds
		if rate >= busyRate && n > 1 {
			out.Busy = append(out.Busy, ownership.BusyKey{Key: key, Rate: rate})
			continue
		}
		out.Buckets[key/(ownership.KeyCount/ownership.BucketCount)] += rate
	}
	slices.SortFunc(out.Busy, func(a, b ownership.BusyKey) int { return cmp.Compare(b.Rate, a.Rate) })
	for _, b := range out.Busy[min(len(out.Busy), maxBusyKeys):] {
		out.Buckets[b.Key/(ownership.KeyCount/ownership.BucketCount)] += b.Rate
	}
	out.Busy = out.Busy[:min(len(out.Busy), maxBusyKeys)]
	slices.SortFunc(out.Busy, func(a, b ownership.BusyKey) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

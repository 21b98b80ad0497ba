package direct

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"bronzewind.example/core/ownership"
)

const (
	maxHotKeys     = 48   // keys of a service that are reported individually
	hotKeyRate     = 3.0  // counts a second (see demandCounter) from which a key is reported individually
	maxCountedKeys = 4096 // per service

	// rateLimitReportTime is how long TakeDemand includes a rate limit after a response
	// stated it.
	rateLimitReportTime = 5 * time.Second

	// minSlownessSamples is the number of samples from which TakeDemand includes a
	// server's slowness.
	minSlownessSamples = 8
)

type (
	// demandCounter counts, for at most maxCountedKeys keys of each service with
	// exclusive owners, how often this instance looked for the key's owner to make
	// an attempt since the last call of TakeDemand. A request counts once before
	// each attempt, also if then no owner is found or admission refuses the request.
	// Requests that fail before the search, for example in quarantine or past their
	// deadline, are not counted.
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
	keys, ok := d.counts[service]
	if !ok {
		keys = map[uint32]int{}
		d.counts[service] = keys
	}
	if _, ok := keys[key]; ok || len(keys) < maxCountedKeys {
		keys[key]++
	}
}

// forget takes back one count, because another instance counts the request.
func (d *demandCounter) forget(service string, key uint32) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.counts[service][key] > 0 {
		d.counts[service][key]--
	}
}

// ServiceDemand is the demand for a service with exclusive owners, as measured by
// this instance.
type ServiceDemand struct {
	Demand          ownership.Demand
	MeanServiceTime time.Duration      // mean typical duration of the service's requests, see typicalDurations
	Slowness        map[string]float64 // by server ID: duration of requests relative to the typical duration, see serverLoad
	RateLimits      map[string]float64 // by server ID: requests a second, of the limits stated within rateLimitReportTime
}

// TakeDemand returns the demand measured since the last call, by service.
func (s *Server) TakeDemand(now time.Time) map[string]ServiceDemand {
	d := s.demand
	d.mu.Lock()
	counts, elapsedSeconds := d.counts, now.Sub(d.since).Seconds()
	d.counts, d.since = map[string]map[uint32]int{}, now
	d.mu.Unlock()
	out := map[string]ServiceDemand{}
	if elapsedSeconds <= 0 {
		return out
	}
	for service, keys := range counts {
		out[service] = ServiceDemand{
			Demand: demandRates(keys, elapsedSeconds), MeanServiceTime: s.typicalDurations.meanOfService(service), Slowness: s.measuredSlowness(service, now),
			RateLimits: s.rateLimits(service, now),
		}
	}
	return out
}

// measuredSlowness returns the slowness, by server ID, of the servers of
// service that have at least minSlownessSamples samples. A server that takes fewer requests
// at once than it has slots counts as slower by that factor.
func (s *Server) measuredSlowness(service string, now time.Time) map[string]float64 {
	out := map[string]float64{}
	for _, b := range s.servers.Load().services[service] {
		b.mu.Lock()
		slowness, samples := b.load.measuredSlowness, b.load.slownessSamples
		if slots := b.load.reportedSlots; slots > 0 {
			slowness *= float64(slots) / float64(b.load.levels.concurrency(slots, now))
		}
		b.mu.Unlock()
		if samples >= minSlownessSamples {
			out[b.info.Load().ID] = slowness
		}
	}
	return out
}

// rateLimits returns the rate limits of the servers of service, by server ID.
func (s *Server) rateLimits(service string, now time.Time) map[string]float64 {
	out := map[string]float64{}
	for _, b := range s.servers.Load().services[service] {
		b.mu.Lock()
		limit := b.notices.rateLimit
		b.mu.Unlock()
		if limit.Stated() > 0 && now.Sub(limit.StatedAt()) < rateLimitReportTime {
			out[b.info.Load().ID] = limit.Stated()
		}
	}
	return out
}

// demandRates converts the counts of demandCounter to rates. Keys with a rate of
// at least hotKeyRate are listed individually, at most the maxHotKeys with the
// highest rates; the rates of the other keys are added up in buckets.
func demandRates(counts map[uint32]int, seconds float64) ownership.Demand {
	var out ownership.Demand
	for key, n := range counts {
		rate := float64(n) / seconds
		if rate >= hotKeyRate && n > 1 { // a single request in a short interval does not make a key hot
			out.HotKeys = append(out.HotKeys, ownership.HotKey{Key: key, Rate: rate})
			continue
		}
		out.Buckets[key/(ownership.KeyCount/ownership.BucketCount)] += rate
	}
	slices.SortFunc(out.HotKeys, func(a, b ownership.HotKey) int { return cmp.Compare(b.Rate, a.Rate) })
	for _, b := range out.HotKeys[min(len(out.HotKeys), maxHotKeys):] {
		out.Buckets[b.Key/(ownership.KeyCount/ownership.BucketCount)] += b.Rate
	}
	out.HotKeys = out.HotKeys[:min(len(out.HotKeys), maxHotKeys)]
	slices.SortFunc(out.HotKeys, func(a, b ownership.HotKey) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

package direct

import (
	"sync"
	"time"
)

const (
	// typicalDurationWindow is the number of samples after which the mean becomes a
	// moving average with a weight of 1/typicalDurationWindow for each new sample.
	typicalDurationWindow = 64

	initialDurationFraction = 0.25 // typical duration assumed before the first sample, as a fraction of the route's target
	minTypicalDuration      = time.Millisecond
)

type (
	// typicalDurations holds the mean duration of each route's attempts that got a
	// response with a status below 500 and a load report without waiting requests,
	// divided by the server's slowness. The duration includes the round trip and
	// the wait for an available connection, but not the time taken to open one.
	typicalDurations struct {
		mu      sync.Mutex
		byRoute map[string]*routeAverage // by route name; guarded by mu
	}

	// routeAverage is the moving average for one route.
	routeAverage struct {
		service string // that ran the last sample
		mean    time.Duration
		spread  time.Duration // mean deviation from mean; 0 before the second sample
		samples int           // at most typicalDurationWindow; the initial value counts as one
	}
)

func newTypicalDurations() *typicalDurations {
	return &typicalDurations{byRoute: map[string]*routeAverage{}}
}

// get returns the typical duration of requests of r; above 0.
func (t *typicalDurations) get(r *Route) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entry(r).mean
}

// observe adds the duration of one attempt on route r, already divided by the
// server's slowness.
func (t *typicalDurations) observe(r *Route, service string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(r)
	e.service = service
	e.samples = min(e.samples+1, typicalDurationWindow)
	if e.samples > 2 { // the initial value is no sample
		e.spread += ((d - e.mean).Abs() - e.spread) / time.Duration(e.samples)
	}
	e.mean = max(minTypicalDuration, e.mean+(d-e.mean)/time.Duration(e.samples))
}

// deviation returns the mean deviation of the durations of r.
func (t *typicalDurations) deviation(r *Route) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entry(r).spread
}

// entry returns the entry of r and creates it if needed. t.mu must be held.
func (t *typicalDurations) entry(r *Route) *routeAverage {
	e, ok := t.byRoute[r.Name]
	if !ok {
		initial := max(minTypicalDuration, time.Duration(float64(r.Target)*initialDurationFraction))
		e = &routeAverage{mean: initial, samples: 1}
		t.byRoute[r.Name] = e
	}
	return e
}

// meanOfService returns the mean, weighted by samples, of the typical durations
// of the routes whose last sample came from service; 0 if there are none.
func (t *typicalDurations) meanOfService(service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum time.Duration
	n := 0
	for _, e := range t.byRoute {
		if e.service == service {
			sum += e.mean * time.Duration(e.samples)
			n += e.samples
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}

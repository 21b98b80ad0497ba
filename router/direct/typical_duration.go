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
	// typicalDurations holds the mean service time of each route's requests: the
	// time that a request takes in a slot of a server with slowness 1.
	typicalDurations struct {
		mu      sync.Mutex
		byRoute map[string]*routeAverage // by route name; guarded by mu
	}

	// routeAverage is the moving average of the service time of one route's requests.
	routeAverage struct {
		service string // that ran the last sample
		mean    time.Duration
		samples int // at most typicalDurationWindow; the initial value counts as one
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

// observe adds the service time of one request of r, normalised to a server
// with slowness 1.
func (t *typicalDurations) observe(r *Route, service string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(r)
	e.service = service
	e.samples = min(e.samples+1, typicalDurationWindow)
	e.mean = max(minTypicalDuration, e.mean+(d-e.mean)/time.Duration(e.samples))
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

// meanServiceTime returns the mean service time, weighted by samples, of the
// routes whose last sample came from service; 0 if there are none.
func (t *typicalDurations) meanServiceTime(service string) time.Duration {
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

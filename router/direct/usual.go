package direct

import (
	"sync"
	"time"
)

const (
	typicalDurationWindow = 64   // later samples move the mean by one part in it
	initialTargetFraction = 0.25 // of the target
	minTypicalDuration    = time.Millisecond
)

type (
	// typicalDurations holds the average time in a slot of each route's work.
	typicalDurations struct {
		mu      sync.Mutex
		byRoute map[string]*typicalDuration // by route name; guarded by mu
	}

	typicalDuration struct {
		service string // of the last request
		mean    time.Duration
		samples int // up to usualGain; the first guess counts as one
	}
)

func newTypicalDurations() *typicalDurations {
	return &typicalDurations{byRoute: map[string]*typicalDuration{}}
}

// get returns the average for r; above 0.
func (u *typicalDurations) get(r *Route) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.entry(r).mean
}

// observe takes in one time in a slot of a server of average speed.
func (u *typicalDurations) observe(r *Route, service string, d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	row := u.entry(r)
	row.service = service
	row.samples = min(row.samples+1, typicalDurationWindow)
	row.mean = max(minTypicalDuration, row.mean+(d-row.mean)/time.Duration(row.samples))
}

// entry returns the entry of r; u.mu is held.
func (u *typicalDurations) entry(r *Route) *typicalDuration {
	row, ok := u.byRoute[r.Name]
	if !ok {
		guess := max(minTypicalDuration, time.Duration(float64(r.Target)*initialTargetFraction))
		row = &typicalDuration{mean: guess, samples: 1}
		u.byRoute[r.Name] = row
	}
	return row
}

// serviceAverage returns the time in a slot of the work that service did last; 0 when
// nothing is known.
func (u *typicalDurations) serviceAverage(service string) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	var sum time.Duration
	n := 0
	for _, row := range u.byRoute {
		if row.service == service {
			sum += row.mean * time.Duration(row.samples)
			n += row.samples
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}

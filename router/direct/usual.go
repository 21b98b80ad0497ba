package direct

import (
	"sync"
	"time"
)

const (
	usualGain    = 64   // later samples move the mean by one part in it
	firstGuess   = 0.25 // of the target
	smallestWork = time.Millisecond
)

type (
	// usualTimes holds the average time in a slot of each route's work.
	usualTimes struct {
		mu   sync.Mutex
		rows map[string]*usualTime // by route name; guarded by mu
	}

	usualTime struct {
		service string // of the last request
		mean    time.Duration
		samples int // up to usualGain; the first guess counts as one
	}
)

func newUsualTimes() *usualTimes { return &usualTimes{rows: map[string]*usualTime{}} }

// of returns the average for r; above 0.
func (u *usualTimes) of(r *Route) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.row(r).mean
}

// observe takes in one time in a slot of a server of average speed.
func (u *usualTimes) observe(r *Route, service string, d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	row := u.row(r)
	row.service = service
	row.samples = min(row.samples+1, usualGain)
	row.mean = max(smallestWork, row.mean+(d-row.mean)/time.Duration(row.samples))
}

// row returns the row of r; u.mu is held.
func (u *usualTimes) row(r *Route) *usualTime {
	row, ok := u.rows[r.Name]
	if !ok {
		guess := max(smallestWork, time.Duration(float64(r.Target)*firstGuess))
		row = &usualTime{mean: guess, samples: 1}
		u.rows[r.Name] = row
	}
	return row
}

// average returns the time in a slot of the work that service did last; 0 when
// nothing is known.
func (u *usualTimes) average(service string) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	var sum time.Duration
	n := 0
	for _, row := range u.rows {
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

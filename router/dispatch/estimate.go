package dispatch

import (
	"time"

	"bronzewind.example/core/config"
)

const (
	meanGain       = 16  // a sample moves the mean by one part in meanGain
	baseGain       = 256 // and the long-term mean by one part in baseGain
	deviationScale = 2   // deviations above the mean that a cautious estimate takes
	rateWindow     = 2 * time.Second
	rateKept       = 10 * time.Second // silence after which a kind has no demand
)

// estimate is what a dispatcher measured of one kind's service times. It
// starts from the configured time.
type estimate struct {
	mean      time.Duration // above 0
	deviation time.Duration // mean absolute difference from mean
	base      time.Duration // long-term mean; above 0
	samples   int64         // up to baseGain; the configured time counts as one
}

func newEstimate(configured time.Duration) estimate {
	return estimate{mean: configured, deviation: configured / 4, base: configured, samples: 1}
}

// observe takes in one service time. The first ones count equally, so that a
// configured time that is wrong is soon forgotten.
func (e *estimate) observe(d time.Duration) {
	d = max(d, time.Microsecond)
	e.samples = min(e.samples+1, baseGain)
	gain := time.Duration(min(e.samples, meanGain))
	off := d - e.mean
	e.mean = max(e.mean+off/gain, time.Microsecond)
	e.deviation += (max(off, -off) - e.deviation) / gain
	e.base = max(e.base+(d-e.base)/time.Duration(e.samples), time.Microsecond)
}

// cautious returns a time within which most requests are served.
func (e *estimate) cautious() time.Duration { return e.mean + deviationScale*e.deviation }

// slowness is the recent service time as a multiple of the long-term one.
func (e *estimate) slowness() float64 { return float64(e.mean) / float64(e.base) }

// rate counts arrivals over windows of rateWindow.
type rate struct {
	began   time.Time // of the present window
	count   int
	perSec  float64 // of the windows before, smoothed
	arrived time.Time
}

func (r *rate) observe(now time.Time) {
	r.roll(now)
	r.count++
	r.arrived = now
}

func (r *rate) roll(now time.Time) {
	if r.began.IsZero() {
		r.began = now
	}
	passed := now.Sub(r.began)
	if passed < rateWindow {
		return
	}
	r.perSec = (r.perSec + float64(r.count)/passed.Seconds()) / 2
	r.began, r.count = now, 0
}

// perSecond returns the arrivals a second; 0 after a long silence. A burst in
// the present window counts at once.
func (r *rate) perSecond(now time.Time) float64 {
	if now.Sub(r.arrived) > rateKept {
		return 0
	}
	return max(r.perSec, float64(r.count)/rateWindow.Seconds())
}

// targetAt is when the target of r passes: patience and target count from the
// same arrival at the entry.
func targetAt(r *Request, k *config.Kind) time.Time {
	return r.Deadline.Add(k.Target.Std() - k.Patience.Std())
}

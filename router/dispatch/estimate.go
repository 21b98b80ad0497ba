package dispatch

import (
	"time"

	"bronzewind.example/core/config"
)

const (
	meanWeight      = 16  // a sample moves the mean by one part in meanGain
	longTermWeight  = 256 // and the long-term mean by one part in baseGain
	upperDeviations = 2   // deviations above the mean that a cautious estimate takes
	rateWindow      = 2 * time.Second
	rateIdleTimeout = 10 * time.Second // silence after which a kind has no demand
)

// serviceTimeEstimate is what a dispatcher measured of one kind's service times. It
// starts from the configured time.
type serviceTimeEstimate struct {
	mean         time.Duration // above 0
	deviation    time.Duration // mean absolute difference from mean
	longTermMean time.Duration // long-term mean; above 0
	samples      int64         // up to baseGain; the configured time counts as one
}

func newServiceTimeEstimate(configured time.Duration) serviceTimeEstimate {
	return serviceTimeEstimate{mean: configured, deviation: configured / 4, longTermMean: configured, samples: 1}
}

// observe takes in one service time. The first ones count equally, so that a
// configured time that is wrong is soon forgotten.
func (e *serviceTimeEstimate) observe(d time.Duration) {
	d = max(d, time.Microsecond)
	e.samples = min(e.samples+1, longTermWeight)
	gain := time.Duration(min(e.samples, meanWeight))
	off := d - e.mean
	e.mean = max(e.mean+off/gain, time.Microsecond)
	e.deviation += (max(off, -off) - e.deviation) / gain
	e.longTermMean = max(e.longTermMean+(d-e.longTermMean)/time.Duration(e.samples), time.Microsecond)
}

// upperEstimate returns a time within which most requests are served.
func (e *serviceTimeEstimate) upperEstimate() time.Duration {
	return e.mean + upperDeviations*e.deviation
}

// slowdown is the recent service time as a multiple of the long-term one.
func (e *serviceTimeEstimate) slowdown() float64 { return float64(e.mean) / float64(e.longTermMean) }

// rate counts arrivals over windows of rateWindow.
type rate struct {
	windowStart       time.Time // of the present window
	count             int
	smoothedPerSecond float64 // of the windows before, smoothed
	lastArrival       time.Time
}

func (r *rate) observe(now time.Time) {
	r.rollWindow(now)
	r.count++
	r.lastArrival = now
}

func (r *rate) rollWindow(now time.Time) {
	if r.windowStart.IsZero() {
		r.windowStart = now
	}
	passed := now.Sub(r.windowStart)
	if passed < rateWindow {
		return
	}
	r.smoothedPerSecond = (r.smoothedPerSecond + float64(r.count)/passed.Seconds()) / 2
	r.windowStart, r.count = now, 0
}

// perSecond returns the arrivals a second; 0 after a long silence. A burst in
// the present window counts at once.
func (r *rate) perSecond(now time.Time) float64 {
	if now.Sub(r.lastArrival) > rateIdleTimeout {
		return 0
	}
	return max(r.smoothedPerSecond, float64(r.count)/rateWindow.Seconds())
}

// targetTime is when the target of r passes: patience and target count from the
// same arrival at the entry.
func targetTime(r *Request, k *config.Kind) time.Time {
	return r.Deadline.Add(k.Target.Std() - k.Patience.Std())
}

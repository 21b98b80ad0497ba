package dispatch

import (
	"time"

	"bronzewind.example/core/config"
)

const (
	meanSamples     = 16  // a sample moves the mean by 1/meanSamples of the difference
	longTermSamples = 256 // a sample moves the long-term mean by 1/longTermSamples of the difference
	upperDeviations = 2   // deviations above the mean in an upper estimate
	rateWindow      = 2 * time.Second
	rateIdleTimeout = 10 * time.Second // time without arrivals after which a kind has no demand
)

// serviceTimeEstimate holds a dispatcher's measurements of the service times
// of one kind. It starts from the configured time.
type serviceTimeEstimate struct {
	mean         time.Duration // above 0
	deviation    time.Duration // mean absolute difference from mean
	longTermMean time.Duration // above 0
	samples      int64         // at most longTermSamples; the configured time counts as one
}

func newServiceTimeEstimate(configured time.Duration) serviceTimeEstimate {
	return serviceTimeEstimate{mean: configured, deviation: configured / 4, longTermMean: configured, samples: 1}
}

// observe adds one service time. The first samples have equal weight, so that
// a wrong configured time is soon outweighed.
func (e *serviceTimeEstimate) observe(d time.Duration) {
	d = max(d, time.Microsecond)
	e.samples = min(e.samples+1, longTermSamples)
	divisor := time.Duration(min(e.samples, meanSamples))
	difference := d - e.mean
	e.mean = max(e.mean+difference/divisor, time.Microsecond)
	e.deviation += (max(difference, -difference) - e.deviation) / divisor
	e.longTermMean = max(e.longTermMean+(d-e.longTermMean)/time.Duration(e.samples), time.Microsecond)
}

// upperEstimate returns a time within which most requests are served.
func (e *serviceTimeEstimate) upperEstimate() time.Duration {
	return e.mean + upperDeviations*e.deviation
}

// slowdown is the recent mean service time as a multiple of the long-term one.
func (e *serviceTimeEstimate) slowdown() float64 { return float64(e.mean) / float64(e.longTermMean) }

// rate measures arrivals over windows of rateWindow.
type rate struct {
	windowStart       time.Time // of the current window
	count             int
	smoothedPerSecond float64 // of the previous windows
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
	elapsed := now.Sub(r.windowStart)
	if elapsed < rateWindow {
		return
	}
	r.smoothedPerSecond = (r.smoothedPerSecond + float64(r.count)/elapsed.Seconds()) / 2
	r.windowStart, r.count = now, 0
}

// perSecond returns the arrivals per second, or 0 when there were none for
// rateIdleTimeout. A burst in the current window counts at once.
func (r *rate) perSecond(now time.Time) float64 {
	if now.Sub(r.lastArrival) > rateIdleTimeout {
		return 0
	}
	return max(r.smoothedPerSecond, float64(r.count)/rateWindow.Seconds())
}

// targetTime returns the time by which r must be answered to meet its target.
// Patience and target both count from the arrival at the instance that
// received r from the caller.
func targetTime(r *Request, k *config.Kind) time.Time {
	return r.Deadline.Add(k.Target.Std() - k.Patience.Std())
}

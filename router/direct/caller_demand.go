package direct

import (
	"math"
	"slices"
	"time"
)

const (
	// firstTryWindow and repeatWindow are the time constants with which the counts of first tries
	// and of repeats decay. Repeats are spread over all instances: each instance receives few of
	// them, and needs a longer window to compare callers.
	firstTryWindow = 4 * time.Second
	repeatWindow   = 30 * time.Second

	// demandHistoryTime is the time constant of the moving average of a caller's first tries
	// while the service has capacity for all requests.
	demandHistoryTime = 30 * time.Second

	// A callerTable is a set-associative cache, indexed by a hash of the caller's identity. A new
	// caller evicts the entry of its set with the lowest weight.
	callerSets    = 128
	callersPerSet = 4

	// minSendingCallers is the least number of callers from which a median is computed. A caller
	// with a decayed count of fewer than minSent requests is left out.
	minSendingCallers = 4
	minSent           = 0.5
)

type (
	// callerID is a hash of what identifies a caller; never 0.
	callerID uint64

	// sentRequests counts requests of one caller; the counts decay.
	sentRequests struct {
		passed  float64 // not refused as beyond the caller's share
		refused float64 // refused as beyond the caller's share
	}

	// callerDemand holds decaying counts of the requests of one caller to one service.
	callerDemand struct {
		caller   callerID     // 0 if the entry is unused
		first    sentRequests // first tries; decays with firstTryWindow
		repeated sentRequests // requests that the caller has sent before, to any instance; decays with repeatWindow
		history  float64      // moving average of first.total() while the service had capacity for all requests
		asOf     time.Time    // time to which the counts have decayed
	}

	// callerTable holds the demand of callers. Its size does not depend on their number.
	callerTable [callerSets][callersPerSet]callerDemand
)

// entry returns the entry of caller as of now; a caller without one gets a new one. The time
// since the last use of an entry counts for its history only if spareCapacity is set.
func (t *callerTable) entry(caller callerID, spareCapacity bool, now time.Time) *callerDemand {
	set := &t[caller%callerSets]
	least := &set[0]
	for i := range set {
		d := &set[i]
		*d = d.at(spareCapacity, now)
		if d.caller == caller {
			return d
		}
		if d.weight() < least.weight() {
			least = d
		}
	}
	*least = callerDemand{caller: caller, asOf: now}
	return least
}

// lookup returns a copy of the entry of caller as of now and leaves the table unchanged.
func (t *callerTable) lookup(caller callerID, now time.Time) callerDemand {
	for _, d := range t[caller%callerSets] {
		if d.caller == caller {
			return d.at(false, now)
		}
	}
	return callerDemand{caller: caller, asOf: now}
}

// medians returns the medians of the first tries and of the repeats, over the callers that have
// sent some; 0 if there are too few such callers.
func (t *callerTable) medians(now time.Time) (first, repeated float64) {
	var firsts, repeats [callerSets * callersPerSet]float64
	n, m := 0, 0
	for i := range t {
		for _, d := range t[i] {
			d = d.at(false, now)
			if sent := d.first.total(); sent >= minSent {
				firsts[n] = sent
				n++
			}
			if sent := d.repeated.total(); sent >= minSent {
				repeats[m] = sent
				m++
			}
		}
	}
	return median(firsts[:n]), median(repeats[:m])
}

// median sorts values and returns their median; 0 if there are too few.
func median(values []float64) float64 {
	if len(values) < minSendingCallers {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// weight is the priority of an entry: a new caller evicts the entry with the lowest weight.
func (d *callerDemand) weight() float64 { return d.first.total() + d.repeated.total() + d.history }

func (s sentRequests) total() float64 { return s.passed + s.refused }

func (s sentRequests) scaled(factor float64) sentRequests {
	return sentRequests{passed: s.passed * factor, refused: s.refused * factor}
}

// at returns d as of now. If spareCapacity is set, its first tries are averaged into its history.
func (d callerDemand) at(spareCapacity bool, now time.Time) callerDemand {
	elapsed := now.Sub(d.asOf)
	if elapsed <= 0 || d.caller == 0 {
		return d
	}
	d.first = d.first.scaled(decayFactor(elapsed, firstTryWindow))
	d.repeated = d.repeated.scaled(decayFactor(elapsed, repeatWindow))
	d.asOf = now
	if spareCapacity {
		d.history += (1 - decayFactor(elapsed, demandHistoryTime)) * (d.first.total() - d.history)
	}
	return d
}

// decayFactor returns the factor by which a count with timeConstant decays during elapsed.
func decayFactor(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-max(0, float64(elapsed)) / float64(timeConstant))
}

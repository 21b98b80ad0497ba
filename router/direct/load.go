package direct

import (
	"time"
)

const (
	// reportDecayTime is the time in which the number of other instances' requests
	// in a load report gives way to the average of the service, linearly. The reported
	// slots do not expire.
	reportDecayTime = 1200 * time.Millisecond

	slownessWeight = 0.15 // of one sample in the moving average of slowness

	// lastingWeight is the least weight of one sample in the lasting slowness.
	lastingWeight = 0.03

	// slownessHalfLife is the time in which half of the difference between the slowness last
	// measured and the lasting one is forgotten, so that a server which was slow for a time and
	// is left alone gets requests that can show that it has recovered.
	slownessHalfLife = 4 * time.Second

	// lastingHalfLife is the time in which half of the lasting slowness is forgotten without
	// samples, for the same reason.
	lastingHalfLife = 8 * time.Second
	rttWeight       = 0.2 // of one sample in the moving average of the round-trip time

	// Round-trip times assumed before the first measurement; 0 in the same failure
	// domain.
	sameRegionRTT  = 3 * time.Millisecond
	otherRegionRTT = 61 * time.Millisecond

	coldSlowness = 1.6 // lower bound for a recently started server
	minSlowness  = 0.4

	// minSlownessSample is the lower bound of one sample, which would be negative
	// when the measured round-trip time exceeds the request's duration.
	minSlownessSample = 0.05

	maxSlowness = 12
)

type (
	// LoadReport is the load that a backend server reports with a response.
	LoadReport struct {
		Running, Waiting int     // requests at the server, of all instances
		Slots            int     // 0 if not reported
		Contention       float64 // how long work takes on the server's machine at present, relative to the usual; 0 if not reported
		Valid            bool    // the response had a readable report
	}

	// attemptSample holds the parts of an attemptResult that serverLoad and health
	// use.
	attemptSample struct {
		outcome         attemptOutcome
		duration        time.Duration // see attemptResult
		typicalDuration time.Duration // of the route; 0 in tests that do not measure slowness
		report          LoadReport
		status          int
		connLimited     bool // not sent because the instance reached its connection limit
		released        bool // no longer counted in flight, see overdueRelease
	}

	// serverLoad is an instance's estimate of the load on one backend server.
	serverLoad struct {
		inFlight         int     // requests of this instance
		otherRequests    float64 // requests of other instances at the last report
		reportedAt       time.Time
		reportedSlots    int           // 0 before the first report
		reportedWaiting  int           // at the last report
		reportedActive   int           // running and waiting at the last report to this instance
		ownReportAt      time.Time     // of the last report to this instance
		typicalDuration  time.Duration // of the route of the request with the last report to this instance; 0 if not known
		measuredSlowness float64       // duration less the round-trip time, relative to the route's typical duration and to the contention; 0 before the first sample
		lastingSlowness  float64       // the same over many samples; 0 before the first sample
		slownessSamples  int           // samples of measuredSlowness
		slownessAt       time.Time     // of the last sample
		measuredRTT      time.Duration
		contention       contention
		running          runningAttempts
		service          *serviceLoad // of the server's service
		levels           loadLevels
	}
)

// observe records the result of an attempt, which must already be subtracted
// from inFlight. It returns how long the request took by what is known of the server,
// relative to the typical duration.
func (l *serverLoad) observe(sample attemptSample, now time.Time) float64 {
	found := 1.0 // contention that the request found
	if sample.report.Valid {
		// The server still counted this request when it made the report.
		all := float64(sample.report.Running + sample.report.Waiting)
		l.otherRequests = max(0, all-float64(l.inFlight)-1)
		l.reportedAt, l.ownReportAt = now, now
		l.reportedWaiting, l.reportedActive = sample.report.Waiting, sample.report.Running+sample.report.Waiting
		l.typicalDuration = sample.typicalDuration
		l.service.observe(l.otherRequests, now)
		if sample.report.Slots > 0 {
			l.reportedSlots = sample.report.Slots
		}
		before := l.contention
		l.contention = before.withReport(sample.report.Contention, now)
		found = l.contention.during(before, now.Add(-sample.duration))
	}
	l.observeSlowness(sample, found, now)
	return l.usualSlowness(now) * found
}

// observeSlowness adds the duration of an attempt to the moving average of slowness, if it
// shows how fast the server is; found is the contention that the request found.
func (l *serverLoad) observeSlowness(sample attemptSample, found float64, now time.Time) {
	if sample.outcome != outcomeDone || sample.typicalDuration <= 0 || sample.status >= 500 {
		return
	}
	// With requests queued at the server, the duration includes waiting time and
	// does not show how fast the server is.
	if sample.report.Valid && sample.report.Waiting > 0 {
		return
	}
	ratio := float64(sample.duration-l.measuredRTT) / float64(sample.typicalDuration) / found
	ratio = min(max(ratio, minSlownessSample), maxSlowness)
	if l.measuredSlowness == 0 {
		l.measuredSlowness, l.lastingSlowness = 1, 1
	}
	l.measuredSlowness += slownessWeight * (ratio - l.measuredSlowness)
	l.slownessSamples++
	l.lastingSlowness += max(lastingWeight, slownessWeight/float64(l.slownessSamples)) * (ratio - l.lastingSlowness)
	l.slownessAt = now
	if sample.report.Valid && sample.report.Slots > 0 {
		l.levels.observe(ratio/l.measuredSlowness, sample.report.Running, sample.report.Slots, now)
	}
}

// activeRequests estimates how many requests run or wait at the server. The older the last
// report is, the more counts what the servers of the service report on average.
func (l *serverLoad) activeRequests(now time.Time) float64 {
	others := l.service.otherRequests(now)
	others += (l.otherRequests - others) * l.reportWeight(now)
	return float64(l.inFlight) + others
}

// reportWeight returns how much the last report counts against the average of the service.
func (l *serverLoad) reportWeight(now time.Time) float64 {
	return max(0, 1-float64(now.Sub(l.reportedAt))/float64(reportDecayTime))
}

// slotCount returns how many requests at once the server takes well, at most its slots.
func (l *serverLoad) slotCount(info *ServerInfo, now time.Time) int {
	if l.reportedSlots > 0 {
		return l.levels.concurrency(l.reportedSlots, now)
	}
	return max(1, info.Slots)
}

// slowness returns how long requests that are sent at now take at the server, relative to
// the typical durations of their routes, between minSlowness and maxSlowness. If cold, it is
// at least coldSlowness. If only, the requests have no other server: overdue attempts count
// half then, because a request that takes long by itself looks the same, and would make the
// instance refuse what the server could serve.
func (l *serverLoad) slowness(cold, only bool, now time.Time) float64 {
	s := l.usualSlowness(now)
	if l.levels.distinguishes(l.reportedSlots) {
		slots := float64(l.reportedSlots)
		s *= l.levels.relative(levelOf(min(l.activeRequests(now)+1, slots), slots), now)
	}
	if cold {
		s = max(s, coldSlowness)
	}
	overdue := l.running.overdue(now)
	if only {
		overdue = (1 + overdue) / 2
	}
	s *= l.contention.expected(now) * overdue
	return min(max(s, minSlowness), maxSlowness)
}

// usualSlowness returns the slowness without contention.
func (l *serverLoad) usualSlowness(now time.Time) float64 {
	if l.measuredSlowness == 0 {
		return 1
	}
	age := now.Sub(l.slownessAt)
	lasting := 1 + (l.lastingSlowness-1)*halved(age, lastingHalfLife)
	s := lasting + (l.measuredSlowness-l.lastingSlowness)*halved(age, slownessHalfLife)
	return min(max(s, minSlowness), maxSlowness)
}

// observeRTT records the time taken to open a connection, which is one round
// trip.
func (l *serverLoad) observeRTT(d time.Duration) {
	if l.measuredRTT == 0 {
		l.measuredRTT = d
		return
	}
	l.measuredRTT += time.Duration(rttWeight * float64(d-l.measuredRTT))
}

// rtt returns the round-trip time to the server.
func (l *serverLoad) rtt(d Distance) time.Duration {
	if l.measuredRTT > 0 {
		return l.measuredRTT
	}
	switch d {
	case OtherRegion:
		return otherRegionRTT
	case SameRegion:
		return sameRegionRTT
	default:
		return 0
	}
}

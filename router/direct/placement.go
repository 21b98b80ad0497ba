package direct

import (
	"time"
)

const (
	// otherRegionPenalty and sameRegionPenalty express the cost of the traffic of a
	// small request over a link as response time.
	otherRegionPenalty = 45 * time.Millisecond
	sameRegionPenalty  = 6 * time.Millisecond

	// sameRegionBodyPenalty is the additional cost of a large body for each 32 KiB
	// of it.
	sameRegionBodyPenalty = 40 * time.Millisecond
	bodyPenaltyBytes      = 32 << 10

	// failurePenalty is the cost of a failure ratio of 1, in typical durations of
	// the request.
	failurePenalty = 6.0
)

type (
	// candidate is a backend server's state for server selection.
	candidate struct {
		backend        *backend
		distance       Distance
		slots          int     // at least 1
		activeRequests float64 // requests running or waiting at the server
		slowness       float64 // above 0
		rtt            time.Duration
		failureRatio   float64 // of recent requests
		ejected        bool    // gets no requests at present
	}

	// requestProfile holds the properties of a request that server selection uses.
	requestProfile struct {
		typicalDuration time.Duration // mean service time of the route; above 0
		bodyBytes       int64
		bulk            bool // the body is too large to send to another region
	}
)

// responseTime returns the expected time from sending a request to its response.
func (c *candidate) responseTime(profile requestProfile) time.Duration {
	serviceTime := float64(profile.typicalDuration) * c.slowness
	queueLength := max(0, c.activeRequests+1-float64(c.slots)) / float64(c.slots)
	return c.rtt + time.Duration(serviceTime*(1+queueLength))
}

// cost returns the value that server selection minimises: the expected response
// time plus penalties for distance, utilisation and recent failures.
func (c *candidate) cost(profile requestProfile) time.Duration {
	t := c.responseTime(profile)
	t += time.Duration(float64(profile.typicalDuration) * failurePenalty * c.failureRatio)
	// A server near its limit is slower, and this instance learns of its load late.
	t += time.Duration(float64(profile.typicalDuration) * 0.3 * min(1, c.activeRequests/float64(c.slots)))
	switch c.distance {
	case Far:
		t += otherRegionPenalty
	case Regional:
		t += sameRegionPenalty + sameRegionBodyPenalty*time.Duration(profile.bodyBytes/bodyPenaltyBytes)
	}
	return t
}

// selectServer balances uneven load between failure domains. It returns the
// cheapest server that is expected to respond within limit; if there is none,
// the cheapest server; nil if no server is available. Servers in skip have
// already been tried.
func selectServer(cs []candidate, profile requestProfile, limit time.Duration, skip []*backend) *candidate {
	var inTime, cheapest *candidate
	var inTimeCost, cheapestCost time.Duration
	for i := range cs {
		c := &cs[i]
		if c.ejected || profile.bulk && c.distance == Far || wasAttempted(skip, c.backend) {
			continue
		}
		cost := c.cost(profile)
		if c.responseTime(profile) <= limit && (inTime == nil || cost < inTimeCost) {
			inTime, inTimeCost = c, cost
		}
		if cheapest == nil || cost < cheapestCost {
			cheapest, cheapestCost = c, cost
		}
	}
	if inTime != nil {
		return inTime
	}
	return cheapest
}

func wasAttempted(skip []*backend, b *backend) bool {
	for _, s := range skip {
		if s == b {
			return true
		}
	}
	return false
}

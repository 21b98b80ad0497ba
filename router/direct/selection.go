package direct

import (
	"time"
)

const (
	// otherRegionPenalty and sameRegionPenalty are added to the expected response
	// time for the network traffic of a request, apart from its body, to another
	// region and to another failure domain of the region.
	otherRegionPenalty = 45 * time.Millisecond
	sameRegionPenalty  = 6 * time.Millisecond

	// sameRegionBodyPenalty is the additional cost of each whole bodyPenaltyBytes
	// (32 KiB) of a request body sent to another failure domain of the region.
	// The body adds no cost for a server in another region; for a bulk request,
	// such a server is used only if no other server is available.
	sameRegionBodyPenalty = 40 * time.Millisecond
	bodyPenaltyBytes      = 32 << 10

	// failurePenalty is the cost of a failure ratio of 1, in typical durations of
	// the request.
	failurePenalty = 6.0

	// utilisationPenalty is the cost of a server whose slots are all busy, in
	// typical durations of the request. A server near full utilisation is slower,
	// and this instance receives its load reports late.
	utilisationPenalty = 0.3
)

type (
	// candidate is a backend server's state for server selection.
	candidate struct {
		backend        *backend
		distance       Distance
		slots          int     // at least 1
		activeRequests float64 // estimate of the requests running or waiting at the server
		slowness       float64 // above 0
		rtt            time.Duration
		failureRatio   float64       // of recent attempts
		ejected        bool          // used only if no other server is available
		noticeWait     time.Duration // until the server takes another request of this instance, as it has stated; used last while above 0
		held           heldBytes     // bodies of requests at the server
	}

	// requestProfile holds the properties of a request that server selection uses.
	requestProfile struct {
		typicalDuration time.Duration // of the route; above 0
		bodyBytes       int64
		bulk            bool    // from Route.Bulk: other regions are used only if no other server is available
		reservedQueue   float64 // part, 0 to 1, of the time in queues that is left to more urgent requests
	}
)

// responseTime returns the expected time from sending a request to its response.
func (c *candidate) responseTime(profile requestProfile) time.Duration {
	serviceTime := float64(profile.typicalDuration) * c.slowness
	queuedPerSlot := max(0, c.activeRequests+1-float64(c.slots)) / float64(c.slots)
	return c.rtt + time.Duration(serviceTime*(1+queuedPerSlot))
}

// cost returns the value that server selection minimises: the expected response
// time plus penalties for distance, utilisation and recent failures.
func (c *candidate) cost(profile requestProfile) time.Duration {
	t := c.responseTime(profile)
	t += time.Duration(float64(profile.typicalDuration) * failurePenalty * c.failureRatio)
	t += time.Duration(float64(profile.typicalDuration) * utilisationPenalty * min(1, c.activeRequests/float64(c.slots)))
	switch c.distance {
	case OtherRegion:
		t += otherRegionPenalty
	case SameRegion:
		t += sameRegionPenalty + sameRegionBodyPenalty*time.Duration(profile.bodyBytes/bodyPenaltyBytes)
	}
	return t
}

// selectServer returns the server with the lowest cost among those expected to
// respond within limit, the time to the target, or else among all available
// servers. It returns nil if none is available. Servers in attempted are left
// out.
func selectServer(cs []candidate, profile requestProfile, limit time.Duration, attempted []*backend) *candidate {
	var inTime, cheapest *candidate
	var inTimeCost, cheapestCost time.Duration
	for i := range cs {
		c := &cs[i]
		if c.ejected || c.noticeWait > 0 || !c.held.mayTake(profile.bodyBytes) || profile.bulk && c.distance == OtherRegion || wasAttempted(attempted, c.backend) {
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

// earliestByNotice returns the server that takes another request first, as the servers have
// stated, among those that may be sent a body of this size, or else among all; nil if there is
// none. Servers in attempted are left out.
func earliestByNotice(cs []candidate, profile requestProfile, attempted []*backend) *candidate {
	var soonest *candidate
	soonestMayTake := false
	for i := range cs {
		c := &cs[i]
		if profile.bulk && c.distance == OtherRegion || wasAttempted(attempted, c.backend) {
			continue
		}
		mayTake := c.held.mayTake(profile.bodyBytes)
		if soonest == nil || mayTake && !soonestMayTake || mayTake == soonestMayTake && c.noticeWait < soonest.noticeWait {
			soonest, soonestMayTake = c, mayTake
		}
	}
	return soonest
}

func wasAttempted(attempted []*backend, b *backend) bool {
	for _, s := range attempted {
		if s == b {
			return true
		}
	}
	return false
}

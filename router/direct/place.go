package direct

import (
	"time"
)

const (
	// otherRegionPenalty and regionalPenalty are what bytes over a link are worth in
	// waiting time, for a small request.
	otherRegionPenalty = 45 * time.Millisecond
	sameRegionPenalty  = 6 * time.Millisecond

	// bulkPenalty is the same for a large body, per 32 KiB of it.
	sameRegionBulkPenalty = 40 * time.Millisecond
	bulkPenaltyBytes      = 32 << 10

	// failurePenalty weighs the share of failures of a server.
	failurePenalty = 6.0
)

type (
	// candidate is a backend server as placement sees it.
	candidate struct {
		backend      *backend
		distance     Distance
		slots        int     // at least 1
		load         float64 // requests that run or wait there
		slowness     float64 // above 0
		rtt          time.Duration
		failureRatio float64 // share of recent failures
		ejected      bool    // gets no work at present
	}

	// requestProfile is a request as placement sees it.
	requestProfile struct {
		typicalDuration time.Duration // time in a slot on average; above 0
		bodyBytes       int64         // of the body
		bulk            bool          // the body is too dear to cross regions
	}
)

// responseTime is the expected time from sending w to its answer.
func (c *candidate) responseTime(w requestProfile) time.Duration {
	service := float64(w.typicalDuration) * c.slowness
	ahead := max(0, c.load+1-float64(c.slots)) / float64(c.slots)
	return c.rtt + time.Duration(service*(1+ahead))
}

// cost is what placement compares: the expected time, and what the way and the
// failures of the server count besides.
func (c *candidate) cost(w requestProfile) time.Duration {
	t := c.responseTime(w)
	t += time.Duration(float64(w.typicalDuration) * failurePenalty * c.failureRatio)
	// A server near its limit is slower, and its load is known late.
	t += time.Duration(float64(w.typicalDuration) * 0.3 * min(1, c.load/float64(c.slots)))
	switch c.distance {
	case Far:
		t += otherRegionPenalty
	case Regional:
		t += sameRegionPenalty + sameRegionBulkPenalty*time.Duration(w.bodyBytes/bulkPenaltyBytes)
	}
	return t
}

// selectServer answers uneven load between failure domains: the cheapest server that
// can answer within left, or else the cheapest at all; nil when there is none.
// Servers in skip were tried before.
func selectServer(cs []candidate, w requestProfile, left time.Duration, skip []*backend) *candidate {
	var best, spare *candidate
	var bestCost, spareCost time.Duration
	for i := range cs {
		c := &cs[i]
		if c.ejected || w.bulk && c.distance == Far || wasTried(skip, c.backend) {
			continue
		}
		cost := c.cost(w)
		if c.responseTime(w) <= left && (best == nil || cost < bestCost) {
			best, bestCost = c, cost
		}
		if spare == nil || cost < spareCost {
			spare, spareCost = c, cost
		}
	}
	if best != nil {
		return best
	}
	return spare
}

func wasTried(skip []*backend, b *backend) bool {
	for _, s := range skip {
		if s == b {
			return true
		}
	}
	return false
}

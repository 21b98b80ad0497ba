package ownership

import (
	"time"
)

type (
	// Timing holds the durations on which exclusive ownership depends.
	Timing struct {
		GrantTTL        time.Duration // time to live of a grant, from its arrival at the server
		RenewalInterval time.Duration // between two renewals; well under the time to live of a grant
		SendTimeout     time.Duration // a grant arrives within this time of being decided on, or never
		MaxClockDrift   float64       // a backend server's clock may run slow by this fraction, such as 0.02
		EpochTTL        time.Duration // a granter may send this long after sending the request by which the store last confirmed its epoch
	}

	// Server is an entry of the list of backend servers.
	Server struct {
		Incarnation
		Address       string
		FailureDomain string
		Slots         int     // requests that the server runs at once
		Leaving       bool    // shutting down: its keys move to other servers
		Excluded      bool    // may own no keys, because of its region or an evacuation: its keys move to other servers
		Cold          bool    // still slow after its start
		ColdRate      float64 // requests a second that it takes from all instances together while cold; 0 means no limit
	}

	// Granter decides on the ownership of all services. Each instance has a Granter
	// and passes events to it, but a Granter acts only while it holds an epoch.
	Granter struct {
		timing             Timing
		era                uint64                       // newest era of the store that is known
		epoch              uint64                       // 0 while this granter holds none; of an earlier era than era while EpochOutdated
		highestEpoch       uint64                       // of all epochs claimed by any granter
		confirmedAt        time.Time                    // no epoch was above this granter's at this time
		priorGranterBounds map[uint64]priorGranterBound // by epoch; those below jointBound.belowEpoch are ignored
		jointBound         jointBound
		hiddenClaimsEnd    time.Time // see observeHiddenClaims
		services           map[string]*service
	}

	// priorGranterBound bounds the sends of one prior granter, the granter of an epoch
	// below the highest one.
	priorGranterBound struct {
		stopsBy  time.Time // sends nothing from then on
		resigned bool      // stopsBy is the time of its resignation
		// lastUnanswered is an upper bound on when it sent its last unanswered grant. It is
		// equal to stopsBy, since Resigned.SinceLastUnanswered is not used to shorten a wait.
		lastUnanswered time.Time
	}

	// jointBound bounds the sends of all prior granters of epochs below belowEpoch.
	jointBound struct {
		belowEpoch uint64
		stopsBy    time.Time // none of them sends anything from then on
	}

	service struct {
		name         string
		partitionMap PartitionMap // last one written or read; raiseFence may have raised its Fence since
		// Fences up to inheritedFence may have been granted by prior granters; this granter
		// grants none of them.
		inheritedFence uint64
		// mayContinue is set if this granter granted all keys by partitionMap, which was not
		// stale, when the store came back from an older copy. continued is set once it holds
		// an epoch of the new era and still grants by that map.
		mayContinue   bool
		continued     bool
		writeInFlight bool
		pendingMap    PartitionMap // the map being written, while writeInFlight
		serversListed bool         // a server list with at least one server has arrived
		firstListedAt time.Time
		servers       map[Incarnation]*server
		// Start of the latest incarnation under each ID and at each address, in Unix
		// milliseconds.
		latestStartByID      map[string]int64
		latestStartByAddress map[string]int64
		moves                map[MoveKey]*move // of the moving partitions
		demand               *demandSums       // measured last
		meanServiceTime      time.Duration     // of a request in a slot of an average server; 0 if not known
		nextBalanceAt        time.Time         // earliest time of the next moves for balance
		nextPlanAt           time.Time         // earliest time of the next plan
	}

	// server is the granter's state for one incarnation of a backend server.
	server struct {
		Server
		slowness             float64   // service time relative to the mean of all servers; 0 if not known
		rateLimit            float64   // requests a second; 0 if the server states no limit
		unlisted             bool      // not in the latest server list
		lastGrantDecidedAt   time.Time // when the last grant was decided on; it is sent within Timing.SendTimeout or never
		lastUnanswered       time.Time // when the last unanswered grant was sent
		inFlight             []Range   // ranges of the grants that have no result yet
		lastRenewal          time.Time // when renewals were last decided on
		newestAcceptedSentAt time.Time // when the newest of the accepted grants was sent
		failingSince         time.Time // when the first grant after the last accepted one failed; zero if none did
		firstRetry           time.Time // when the first grant after failingSince was decided on; zero if there was none
		probedAt             time.Time // when probeUnresponsive last asked it, or last had no reason to
		recoveries           int       // times that it responded to that
		replaced             bool      // another server has answered at its address since
		fences               map[uint64]*fenceUse
	}

	// move is the progress of a partition from its earlier holders to its owner.
	move struct {
		revocations      []*revocation
		handover         string // returned by the earlier holder whose release was confirmed last; "" if there is none
		grantInFlight    bool
		granted          bool
		grantedAt        time.Time // when the owner accepted the grant
		lastGrantAttempt time.Time // when a grant to the owner was last decided on; zero if never
		mayBeGranted     bool      // the owner may have accepted a grant under an earlier fence
	}

	// MoveKey identifies a move; no two moves have the same fence and range.
	MoveKey struct {
		Fence uint64
		Range Range
	}

	// revocation is the progress of taking the range of a move back from one earlier
	// holder.
	revocation struct {
		holder             Holder
		lastGrantDecidedAt time.Time // copy of server.lastGrantDecidedAt from the start of the revocation
		lastUnanswered     time.Time // copy of server.lastUnanswered from the last release request, or from the start
		lastRequest        time.Time // when a release was last requested
		releaseInFlight    bool
		released           bool
		accepted           bool // the holder has accepted holder.Fence from this granter
	}
)

const (
	// releaseRetryInterval is the minimum time between two requests to one holder for
	// the release of a moving range.
	releaseRetryInterval = 500 * time.Millisecond

	// grantRetryInterval is the minimum time between two grants of a moving partition to
	// its owner. Grants to a server are also renewed at this interval while they fail.
	grantRetryInterval = 250 * time.Millisecond

	// planRetryDelay is the wait before the next plan after the write of a partition
	// map has failed.
	planRetryDelay = 500 * time.Millisecond

	// maxInFlightPerPartition limits the renewals of a server that is slow to respond.
	// The server gets none while its grants in flight number maxInFlightPerPartition
	// times the number of all partitions of the service, or more. Adjacent partitions of
	// one owner and fence that are not moving count as one.
	maxInFlightPerPartition = 3

	// initialAssignmentDelay is how long the first assignment waits for more servers
	// to be listed.
	initialAssignmentDelay = 1500 * time.Millisecond

	// unresponsiveTimeout is how long all grants to a server may fail before its keys
	// move to other servers.
	unresponsiveTimeout = 400 * time.Millisecond

	// retryResponseTimeout is how long the response to the first grant after a failed
	// one may take before the server counts as unresponsive. One failed grant is not
	// enough, because a single response may be lost.
	retryResponseTimeout = 200 * time.Millisecond

	// completionBatchDelay is how long an accepted move may wait for the write that
	// records it, so that one write of the partition map records several of them.
	completionBatchDelay = 400 * time.Millisecond

	// clockMargin is added, besides Timing.MaxClockDrift, to the time for which a grant may be in
	// force, because the clock of another machine measures that time.
	clockMargin = 100 * time.Millisecond
)

// NewGranter returns a granter without an epoch.
func NewGranter(t Timing) *Granter {
	return &Granter{timing: t, services: map[string]*service{}, priorGranterBounds: map[uint64]priorGranterBound{}}
}

// Epoch returns the epoch that this granter holds, or 0 while it holds none.
func (g *Granter) Epoch() uint64 { return g.epoch }

// MaySend reports whether a grant or release may be sent at now. Callers check
// again right before each send, since the process may have been paused after the
// decision to send.
func (g *Granter) MaySend(now time.Time) bool {
	return g.epoch > 0 && now.Sub(g.confirmedAt) < g.timing.EpochTTL
}

// EpochValidUntil returns the time from which nothing may be sent unless the store
// confirms the epoch again. It is zero when the granter holds no epoch.
func (g *Granter) EpochValidUntil() time.Time {
	if g.epoch == 0 {
		return time.Time{}
	}
	return g.confirmedAt.Add(g.timing.EpochTTL)
}

// Step processes one event and returns the effects to carry out, in order. A tick
// scans all partitions; a completed write or release scans the partitions of its
// service. A completed grant scans nothing, because hundreds complete each second.
func (g *Granter) Step(e Event, now time.Time) []Effect {
	if g.EpochOutdated() && !g.MaySend(now) {
		g.epoch = 0
	}
	switch e := e.(type) {
	case StoreRestored:
		g.observeEra(e.Era, now)
	case PartitionMapRead:
		g.applyPartitionMap(e.Map, now)
	case EpochClaimed:
		g.observeClaim(e, now)
	case Resigned:
		g.priorGranterBounds[e.Epoch] = priorGranterBound{stopsBy: now, lastUnanswered: now, resigned: true}
	case Stopped:
		g.epoch = 0
	case EpochConfirmed:
		if e.Era == EraOf(g.epoch) && e.SentAt.After(g.confirmedAt) {
			g.confirmedAt = e.SentAt
		}
	case ServersListed:
		g.applyServerList(e, now)
	case DemandMeasured:
		g.service(e.Service).applyDemand(e)
	case PartitionMapWritten:
		g.recordWriteResult(e, now)
		return g.advanceMovesOf(e.Service, now)
	case GrantCompleted:
		if g.recordGrantResult(e, now) && g.MaySend(now) {
			return []Effect{Granted{Service: e.Grant.Service, Range: e.Grant.Range, Fence: e.Grant.Fence}}
		}
	case ReleaseCompleted:
		g.recordReleaseResult(e)
		return g.advanceMovesOf(e.Release.Service, now)
	case Ticked:
		if g.MaySend(now) {
			return g.onTick(now)
		}
	}
	return nil
}

// advanceMovesOf advances the moves of the named service if the granter may send.
func (g *Granter) advanceMovesOf(name string, now time.Time) []Effect {
	s := g.service(name)
	if !s.serversListed || !g.MaySend(now) || !g.mayAssign(s, now) {
		return nil
	}
	return g.advanceMoves(s, now)
}

// maxGrantLifetime returns the longest time from the decision to send a grant until the
// grant has expired. It also bounds the time from the sending, which follows the
// decision.
func (g *Granter) maxGrantLifetime() time.Duration {
	return g.timing.SendTimeout + time.Duration(float64(g.timing.GrantTTL)*(1+g.timing.MaxClockDrift)) + clockMargin
}

func (g *Granter) service(name string) *service {
	s, ok := g.services[name]
	if !ok {
		s = &service{
			name: name, partitionMap: PartitionMap{Service: name}, servers: map[Incarnation]*server{}, moves: map[MoveKey]*move{},
			demand: newDemandSums(Demand{}), latestStartByID: map[string]int64{}, latestStartByAddress: map[string]int64{},
		}
		g.services[name] = s
	}
	return s
}

func (s *service) server(inc Incarnation) *server {
	srv, ok := s.servers[inc]
	if !ok {
		srv = &server{Server: Server{Incarnation: inc}, unlisted: true, fences: map[uint64]*fenceUse{}}
		s.servers[inc] = srv
		s.latestStartByID[inc.ID] = max(s.latestStartByID[inc.ID], inc.StartedMillis)
	}
	return srv
}

// applyPartitionMap adopts a partition map from the store if it is newer than the
// present one. A map of another epoch also bounds how long granters of lower epochs
// may still send.
func (g *Granter) applyPartitionMap(m PartitionMap, now time.Time) {
	// A map of this granter's own epoch would replace its bounds on single granters by a
	// joint bound that no resignation shortens.
	if m.Epoch != g.epoch {
		g.observeJointBound(m.Epoch, now.Add(time.Duration(m.PriorSendMillis)*time.Millisecond))
		if m.Epoch < g.highestEpoch {
			g.boundPriorGranter(m.Epoch, now) // its claim may have been hidden by later ones
		}
	}
	s := g.service(m.Service)
	newer := m.Epoch > s.partitionMap.Epoch || m.Epoch == s.partitionMap.Epoch && m.Version > s.partitionMap.Version
	if !newer {
		return
	}
	if (g.EpochOutdated() || s.continued) && EraOf(m.Epoch) < g.era {
		// A write that was carried out after the store came back. A granter whose claim is
		// lost may have granted the fences that this map assigns.
		return
	}
	s.partitionMap = m
	if m.Epoch != g.epoch {
		s.inheritedFence, s.mayContinue, s.continued = m.Fence, false, false
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// applyDemand records the demand, and the slowness and rate limits of servers, as the
// instances measured them.
func (s *service) applyDemand(e DemandMeasured) {
	s.demand, s.meanServiceTime = newDemandSums(e.Demand), e.MeanServiceTime
	for _, srv := range s.servers {
		if slow, ok := e.Slowness[srv.ID]; ok && slow > 0 {
			srv.slowness = slow
		}
		srv.rateLimit = e.RateLimits[srv.ID]
	}
}

func (g *Granter) applyServerList(e ServersListed, now time.Time) {
	s := g.service(e.Service)
	if !s.serversListed && len(e.Servers) > 0 {
		s.serversListed, s.firstListedAt = true, now
	}
	seen := map[Incarnation]bool{}
	for _, entry := range e.Servers {
		seen[entry.Incarnation] = true
		srv := s.server(entry.Incarnation)
		srv.Server, srv.unlisted = entry, false
		s.latestStartByAddress[entry.Address] = max(s.latestStartByAddress[entry.Address], entry.StartedMillis)
	}
	for inc, srv := range s.servers {
		srv.unlisted = !seen[inc]
	}
}

// ended reports whether incarnation inc is known to have ended: its server has
// started again since, or another server has its address.
func (s *service) ended(inc Incarnation) bool {
	old, known := s.servers[inc]
	return known && old.replaced || s.latestStartByID[inc.ID] > inc.StartedMillis || known && old.Address != "" && s.latestStartByAddress[old.Address] > inc.StartedMillis
}

// holdsNothing reports whether no server holds anything that was granted to incarnation
// inc: it has ended, and no later incarnation of the same server can have accepted a
// grant that was meant for it.
func (s *service) holdsNothing(inc Incarnation) bool {
	return s.ended(inc) && s.successorInPlace(inc) == nil
}

// successorInPlace returns a later incarnation with the ID of inc at its address; nil if
// none is known. If the address of inc is not known, any later incarnation counts.
func (s *service) successorInPlace(inc Incarnation) *server {
	if s.latestStartByID[inc.ID] <= inc.StartedMillis {
		return nil
	}
	address := s.server(inc).Address
	for _, srv := range s.servers {
		if srv.ID == inc.ID && srv.StartedMillis > inc.StartedMillis && srv.Address != "" && (address == "" || srv.Address == address) {
			return srv
		}
	}
	return nil
}

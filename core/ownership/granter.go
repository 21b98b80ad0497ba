package ownership

import (
	"maps"
	"slices"
	"time"
)

type (
	// Timing holds the durations on which exclusive ownership depends.
	Timing struct {
		Hold    time.Duration // time to live of a grant, from its arrival at the server
		Renewal time.Duration // between two renewals; well under the time to live of a grant
		Send    time.Duration // an unanswered grant arrives within this time of its sending or never
		Drift   float64       // a backend server's clock may run slow by this share
		Trust   time.Duration // a granter may send this long after the store last confirmed its epoch
	}

	// Server is an entry of the list of backend servers.
	Server struct {
		Life
		Address string
		Zone    string
		Slots   int
		Leaving bool // gets no new work
		Cold    bool // still slow after its start
	}

	// Granter decides on the ownership of all services. Each instance has a Granter
	// and passes events to it, but a Granter acts only while it holds an epoch.
	Granter struct {
		timing        Timing
		epoch         uint64                  // 0 while another instance grants
		highestEpoch  uint64                  // of all epochs claimed by any granter
		confirmedAt   time.Time               // no epoch was above ours at this time
		priorGranters map[uint64]priorGranter // by epoch; those covered by olderGranters don't count
		olderGranters olderGranters
		services      map[string]*service
	}

	// priorGranter bounds the sends of the granter of an earlier epoch.
	priorGranter struct {
		stopsAt        time.Time // sends nothing from then on
		lastUnanswered time.Time // upper bound on when it sent its last unanswered grant; at most stopsAt
	}

	// olderGranters bounds the sends of all granters of epochs below belowEpoch, which
	// have stopped by stopAt.
	olderGranters struct {
		belowEpoch uint64
		stopAt     time.Time
	}

	service struct {
		name          string
		partitionMap  Book // last one written or read
		writePending  bool
		pendingMap    Book // the map being written, while writePending
		listed        bool // a server list with at least one server has arrived
		firstListedAt time.Time
		servers       map[Life]*server
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
		slowness         float64   // service time relative to the mean of all servers; 0 if not known
		unlisted         bool      // not in the latest server list
		lastSent         time.Time // when the last grant was sent
		lastUnanswered   time.Time // when the last unanswered grant was sent
		inFlight         []Range   // ranges of the grants without a result so far
		lastRenewal      time.Time // when renewals were last sent
		lastAnsweredSent time.Time // when the newest of the answered grants was sent
		failingSince     time.Time // first failed grant since the last answered one; zero if none failed
		firstRetry       time.Time // first grant sent after failingSince; zero if none was sent
	}

	// move is the progress of a partition from its earlier holders to its owner.
	move struct {
		revocations  []*revocation
		handover     string
		grantPending bool
		granted      bool
		grantedAt    time.Time // when the owner accepted the grant
		lastAttempt  time.Time
	}

	// MoveKey identifies a move; no two moves have the same fence and range.
	MoveKey struct {
		Fence uint64
		Keys  Range
	}

	// revocation is the progress of taking the range of a move back from one earlier
	// holder.
	revocation struct {
		holder         Holder
		lastSent       time.Time // when this granter last sent the holder a grant
		lastUnanswered time.Time // when it last sent one that was not answered
		lastRequest    time.Time // when a release was last requested
		requestPending bool
		released       bool
	}
)

const (
	releaseRetryInterval = 500 * time.Millisecond
	grantRetryInterval   = 250 * time.Millisecond

	// planRetryDelay is the wait after the write of a partition map has failed.
	planRetryDelay = 500 * time.Millisecond

	// maxInFlightPerPartition times the number of the service's partitions is the
	// most grants to one server that may be in flight when renewals are sent.
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

	// completionBatchDelay is how long a granted move may wait, so that several
	// completed moves are recorded in one write of the partition map.
	completionBatchDelay = 400 * time.Millisecond

	// clockMargin is added to each time limit that depends on another machine's
	// clock.
	clockMargin = 100 * time.Millisecond
)

// NewGranter returns a granter without an epoch.
func NewGranter(t Timing) *Granter {
	return &Granter{timing: t, services: map[string]*service{}, priorGranters: map[uint64]priorGranter{}}
}

// Epoch returns the epoch that this granter holds, or 0 while another instance
// grants.
func (g *Granter) Epoch() uint64 { return g.epoch }

// MaySend reports whether a grant or release may be sent at now. Callers check
// again right before each send, since the process may have been paused after the
// decision to send.
func (g *Granter) MaySend(now time.Time) bool {
	return g.epoch > 0 && now.Sub(g.confirmedAt) < g.timing.Trust
}

// EpochValidUntil returns the time from which nothing may be sent unless the store
// confirms the epoch again. It is zero when the granter holds no epoch.
func (g *Granter) EpochValidUntil() time.Time {
	if g.epoch == 0 {
		return time.Time{}
	}
	return g.confirmedAt.Add(g.timing.Trust)
}

// Step processes one event and returns the effects to carry out, in order. Work
// that scans all partitions is done only at ticks and, for the moves of one
// service, after writes and releases, because hundreds of grants are answered each
// second.
func (g *Granter) Step(e Event, now time.Time) []Effect {
	switch e := e.(type) {
	case BookRead:
		g.applyPartitionMap(e.Book, now)
	case EpochSeen:
		g.observeClaim(e, now)
	case Resigned:
		g.priorGranters[e.Epoch] = priorGranter{stopsAt: now, lastUnanswered: now}
	case Stopped:
		g.epoch = 0
	case Confirmed:
		if e.Sent.After(g.confirmedAt) {
			g.confirmedAt = e.Sent
		}
	case ServersListed:
		g.applyServerList(e, now)
	case DemandMeasured:
		g.service(e.Service).applyDemand(e)
	case PartitionMapWritten:
		g.completeWrite(e, now)
		return g.advanceMovesOf(e.Service, now)
	case GrantCompleted:
		if g.completeGrant(e, now) && g.MaySend(now) {
			return []Effect{Granted{Service: e.Grant.Service, Range: e.Grant.Range, Fence: e.Grant.Fence}}
		}
	case ReleaseCompleted:
		g.completeRelease(e)
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
	if !s.listed || !g.MaySend(now) {
		return nil
	}
	return g.advanceMoves(s, now)
}

// maxGrantLifetime returns how long after its sending a grant may be in force.
func (g *Granter) maxGrantLifetime() time.Duration {
	return g.timing.Send + time.Duration(float64(g.timing.Hold)*(1+g.timing.Drift)) + clockMargin
}

func (g *Granter) service(name string) *service {
	s, ok := g.services[name]
	if !ok {
		s = &service{
			name: name, partitionMap: Book{Service: name}, servers: map[Life]*server{}, moves: map[MoveKey]*move{},
			demand: newDemandSums(Demand{}), latestStartByID: map[string]int64{}, latestStartByAddress: map[string]int64{},
		}
		g.services[name] = s
	}
	return s
}

func (s *service) server(l Life) *server {
	v, ok := s.servers[l]
	if !ok {
		v = &server{Server: Server{Life: l}, unlisted: true}
		s.servers[l] = v
		s.latestStartByID[l.ID] = max(s.latestStartByID[l.ID], l.Born)
	}
	return v
}

// applyPartitionMap adopts a partition map from the store unless a newer one is
// known. Either way, the map bounds how long older granters may still send.
func (g *Granter) applyPartitionMap(b Book, now time.Time) {
	if b.Epoch != g.epoch { // maps of our own epoch hold only what we knew when we wrote them
		g.boundOlderGranters(b.Epoch, now.Add(time.Duration(b.Quiet)*time.Millisecond))
	}
	s := g.service(b.Service)
	newer := b.Epoch > s.partitionMap.Epoch || b.Epoch == s.partitionMap.Epoch && b.Version > s.partitionMap.Version
	if newer {
		s.partitionMap = b
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// applyDemand records the demand and the slowness of servers as the instances
// measured them.
func (s *service) applyDemand(e DemandMeasured) {
	s.demand, s.meanServiceTime = newDemandSums(e.Demand), e.Work
	for _, v := range s.servers {
		if slow, ok := e.Slowness[v.ID]; ok && slow > 0 {
			v.slowness = slow
		}
	}
}

func (g *Granter) applyServerList(e ServersListed, now time.Time) {
	s := g.service(e.Service)
	if !s.listed && len(e.Servers) > 0 {
		s.listed, s.firstListedAt = true, now
	}
	seen := map[Life]bool{}
	for _, listed := range e.Servers {
		seen[listed.Life] = true
		v := s.server(listed.Life)
		v.Server, v.unlisted = listed, false
		s.latestStartByAddress[listed.Address] = max(s.latestStartByAddress[listed.Address], listed.Born)
	}
	for l, v := range s.servers {
		v.unlisted = !seen[l]
	}
}

// ended reports whether incarnation l is known to have ended: its server has
// started again since, or a server that started later has its address.
func (s *service) ended(l Life) bool {
	old, known := s.servers[l]
	return s.latestStartByID[l.ID] > l.Born || known && old.Address != "" && s.latestStartByAddress[old.Address] > l.Born
}

func (g *Granter) completeWrite(e PartitionMapWritten, now time.Time) {
	s := g.service(e.Service)
	if !s.writePending || s.pendingMap.Version != e.Version {
		return
	}
	s.writePending = false
	if e.Failed {
		s.nextPlanAt = now.Add(planRetryDelay)
	} else {
		s.partitionMap = s.pendingMap
		s.dropCompletedMoves()
	}
}

// dropCompletedMoves drops the progress of moves that are no longer in the
// partition map.
func (s *service) dropCompletedMoves() {
	moving := map[MoveKey]bool{}
	for _, r := range s.partitionMap.Rows {
		if r.Moving {
			moving[r.Move()] = true
		}
	}
	maps.DeleteFunc(s.moves, func(k MoveKey, _ *move) bool { return !moving[k] })
}

// completeGrant records the outcome of a grant and reports whether the grant has
// completed a move.
func (g *Granter) completeGrant(e GrantCompleted, now time.Time) bool {
	s := g.service(e.Grant.Service)
	v := s.server(e.Grant.Server.Life)
	v.removeInFlight(e.Grant.Range)
	switch e.Result {
	case Done:
		v.failingSince, v.firstRetry = time.Time{}, time.Time{}
		v.lastAnsweredSent = later(v.lastAnsweredSent, e.SentAt)
	case Unsent, Unanswered:
		// A failed grant doesn't count if the server has answered one that was sent later.
		if v.failingSince.IsZero() && e.SentAt.After(v.lastAnsweredSent) {
			v.failingSince = now
		}
		if e.Result == Unanswered && e.SentAt.After(v.lastUnanswered) {
			v.lastUnanswered = e.SentAt
		}
	case Refused:
		s.raiseFence(e.Grant.Fence)
	}
	if m, ok := s.moves[MoveKey{e.Grant.Fence, e.Grant.Range}]; ok && m.grantPending {
		m.grantPending = false
		if m.granted = e.Result == Done; m.granted {
			m.grantedAt = now
			return true
		}
	}
	return false
}

// removeInFlight removes one grant of r from those in flight.
func (v *server) removeInFlight(r Range) {
	if i := slices.Index(v.inFlight, r); i >= 0 {
		v.inFlight = slices.Delete(v.inFlight, i, i+1)
	}
}

// hasInFlight reports whether a grant of any key in r is in flight.
func (v *server) hasInFlight(r Range) bool {
	return slices.ContainsFunc(v.inFlight, func(f Range) bool { return f.From <= r.To && r.From <= f.To })
}

// raiseFence raises the fence after a server has refused a grant, so that the next
// fences pass the higher one that the server has seen. Its value is not known here.
// The headroom makes up for that.
func (s *service) raiseFence(refused uint64) {
	const headroom = 1 << 10
	if s.partitionMap.Fence < refused+headroom {
		s.partitionMap.Fence = refused + headroom
	}
}

func (g *Granter) completeRelease(e ReleaseCompleted) {
	s := g.service(e.Release.Service)
	m, ok := s.moves[e.Release.Move]
	if !ok {
		return
	}
	for _, v := range m.revocations {
		if v.holder.Incarnation != e.Release.Server.Life {
			continue
		}
		v.requestPending = false
		if e.Result == Done {
			v.released = true
			m.handover = e.Handover
		}
	}
}

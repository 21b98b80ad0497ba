package ownership

import (
	"maps"
	"slices"
	"time"
)

type (
	// Timing holds the durations that sole ownership rests on.
	Timing struct {
		Hold    time.Duration // time to live of a grant, from its arrival
		Renewal time.Duration // between two renewals; well under Hold
		Send    time.Duration // a grant that is not answered arrives within it or never
		Drift   float64       // a backend server's clock may run slow by this share
		Trust   time.Duration // how long a granter goes on renewing without word of the store
	}

	// Server is a backend server as it is listed.
	Server struct {
		Life
		Address string
		Zone    string
		Slots   int
		Leaving bool // it gets no new work
		Cold    bool // it is slow after its start
	}

	// Granter decides on the ownership of all services. All instances feed one;
	// it acts only while it holds an epoch.
	Granter struct {
		timing    Timing
		epoch     uint64          // 0 while another instance grants
		highest   uint64          // of all epochs seen
		confirmed time.Time       // no epoch was above at this time
		stops     map[uint64]stop // by epoch, of earlier granters
		older     older
		services  map[string]*service
	}

	// stop says when a granter sends nothing any more.
	stop struct {
		at         time.Time
		unanswered time.Time // last grant that was not answered; at the latest at
	}

	// older says when all granters of epochs below one have stopped.
	older struct {
		below uint64
		at    time.Time
	}

	service struct {
		name    string
		book    Book // last one written
		writing bool
		wanted  Book // being written, while writing
		listed  bool // servers were listed at least once
		first   time.Time
		servers map[Life]*server
		// Of the latest life under each ID and at each address, when it was born.
		bornByID      map[string]int64
		bornByAddress map[string]int64
		moves         map[MoveKey]*move // of the rows that are moving
		weights       *weights          // of the demand measured last
		work          time.Duration     // in a slot of an average server; 0 when not known
		settled       time.Time         // no moves for balance before it
		planAt        time.Time         // nothing is planned before it
	}

	// server is what the granter knows of one life.
	server struct {
		Server
		slowness   float64   // of its work against the average; 0 when not known
		gone       bool      // listed no longer
		sent       time.Time // last grant that may have arrived
		unanswered time.Time // last grant that may have arrived and was not answered
		flying     []Range   // of the grants that were not answered yet
		renewed    time.Time // last time that renewals were sent
		answered   time.Time // when the newest of the grants that were answered was sent
		failing    time.Time // since when no grant was answered; zero while they are
		retried    time.Time // first grant sent since then; zero while there is none
	}

	// move is the progress of a row from its earlier holders to its owner.
	move struct {
		leaving  []*vacating
		handover string
		granting bool
		granted  bool
		// grantedAt is when the owner took the grant.
		grantedAt time.Time
		tried     time.Time
	}

	// MoveKey names a move; no two moves have the same fence and range.
	MoveKey struct {
		Fence uint64
		Keys  Range
	}

	// vacating is one life that may still hold the range of a move.
	vacating struct {
		hold       Hold
		sent       time.Time // last grant of this granter that may have arrived
		unanswered time.Time // last one that was not answered
		asked      time.Time
		asking     bool
		released   bool
	}
)

const (
	releaseRetry = 500 * time.Millisecond
	grantRetry   = 250 * time.Millisecond

	// planRetry is the wait after a book could not be written.
	planRetry = 500 * time.Millisecond

	// maxFlying is the most grants to one server that may be on their way, for
	// each of its ranges.
	maxFlying = 3

	// firstWait is how long the first assignment waits for more servers to be
	// listed.
	firstWait = 1500 * time.Millisecond

	// silenceLimit is how long a server may leave grants unanswered before its
	// keys go elsewhere.
	silenceLimit = 400 * time.Millisecond

	// retryAnswer is how long the answer to a grant sent after one that failed may
	// take before the server counts as silent: a single answer may be lost.
	retryAnswer = 200 * time.Millisecond

	// finishDelay is how long a granted move may wait for others to be written
	// down with it.
	finishDelay = 400 * time.Millisecond

	// arrivalMargin is added to each bound on another machine's clock.
	arrivalMargin = 100 * time.Millisecond
)

// NewGranter returns a granter without an epoch.
func NewGranter(t Timing) *Granter {
	return &Granter{timing: t, services: map[string]*service{}, stops: map[uint64]stop{}}
}

// Epoch returns the epoch held; 0 while another instance grants.
func (g *Granter) Epoch() uint64 { return g.epoch }

// MaySend reports whether a grant or release may go out at now. It is asked
// again right before each send, since the process may have stood still.
func (g *Granter) MaySend(now time.Time) bool {
	return g.epoch > 0 && now.Sub(g.confirmed) < g.timing.Trust
}

// TrustedUntil returns the time from which nothing may be sent without new word
// of the store.
func (g *Granter) TrustedUntil() time.Time {
	if g.epoch == 0 {
		return time.Time{}
	}
	return g.confirmed.Add(g.timing.Trust)
}

// Step takes one event and returns what is to be done, in order. What needs a
// look at all that is held is done at ticks alone: answers come by the hundred
// each second.
func (g *Granter) Step(e Event, now time.Time) []Effect {
	switch e := e.(type) {
	case BookRead:
		g.read(e.Book, now)
	case EpochSeen:
		g.seen(e, now)
	case Resigned:
		g.stops[e.Epoch] = stop{at: now, unanswered: now}
	case Stopped:
		g.epoch = 0
	case Confirmed:
		if e.Sent.After(g.confirmed) {
			g.confirmed = e.Sent
		}
	case ServersListed:
		g.list(e, now)
	case DemandMeasured:
		g.service(e.Service).measured(e)
	case PartitionMapWritten:
		g.written(e, now)
		return g.moves(e.Service, now)
	case GrantCompleted:
		if g.grantAnswered(e, now) && g.MaySend(now) {
			return []Effect{Granted{Service: e.Grant.Service, Range: e.Grant.Range, Fence: e.Grant.Fence}}
		}
	case ReleaseCompleted:
		g.releaseAnswered(e)
		return g.moves(e.Release.Service, now)
	case Ticked:
		if g.MaySend(now) {
			return g.act(now)
		}
	}
	return nil
}

// moves carries the moves of one service on.
func (g *Granter) moves(service string, now time.Time) []Effect {
	s := g.service(service)
	if !s.listed || !g.MaySend(now) {
		return nil
	}
	return g.move(s, now)
}

// longestHold is how long after its sending a grant may be in force.
func (g *Granter) longestHold() time.Duration {
	return g.timing.Send + time.Duration(float64(g.timing.Hold)*(1+g.timing.Drift)) + arrivalMargin
}

func (g *Granter) service(name string) *service {
	s, ok := g.services[name]
	if !ok {
		s = &service{
			name: name, book: Book{Service: name}, servers: map[Life]*server{}, moves: map[MoveKey]*move{},
			weights: newWeights(Demand{}), bornByID: map[string]int64{}, bornByAddress: map[string]int64{},
		}
		g.services[name] = s
	}
	return s
}

func (s *service) server(l Life) *server {
	v, ok := s.servers[l]
	if !ok {
		v = &server{Server: Server{Life: l}, gone: true}
		s.servers[l] = v
		s.bornByID[l.ID] = max(s.bornByID[l.ID], l.Born)
	}
	return v
}

// read takes a book of the store; books of an older epoch or version say
// nothing new.
func (g *Granter) read(b Book, now time.Time) {
	if b.Epoch != g.epoch { // its own books say what it knew when it wrote them
		g.stoppedBelow(b.Epoch, now.Add(time.Duration(b.Quiet)*time.Millisecond))
	}
	s := g.service(b.Service)
	newer := b.Epoch > s.book.Epoch || b.Epoch == s.book.Epoch && b.Version > s.book.Version
	if newer {
		s.book = b
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// measured takes what the entries saw.
func (s *service) measured(e DemandMeasured) {
	s.weights, s.work = newWeights(e.Demand), e.Work
	for _, v := range s.servers {
		if slow, ok := e.Slowness[v.ID]; ok && slow > 0 {
			v.slowness = slow
		}
	}
}

func (g *Granter) list(e ServersListed, now time.Time) {
	s := g.service(e.Service)
	if !s.listed && len(e.Servers) > 0 {
		s.listed, s.first = true, now
	}
	seen := map[Life]bool{}
	for _, l := range e.Servers {
		seen[l.Life] = true
		v := s.server(l.Life)
		v.Server, v.gone = l, false
		s.bornByAddress[l.Address] = max(s.bornByAddress[l.Address], l.Born)
	}
	for l, v := range s.servers {
		v.gone = !seen[l]
	}
}

// ended reports whether life l is surely over: its server has started again
// since, or its address belongs to a server that was born later.
func (s *service) ended(l Life) bool {
	old, known := s.servers[l]
	return s.bornByID[l.ID] > l.Born || known && old.Address != "" && s.bornByAddress[old.Address] > l.Born
}

func (g *Granter) written(e PartitionMapWritten, now time.Time) {
	s := g.service(e.Service)
	if !s.writing || s.wanted.Version != e.Version {
		return
	}
	s.writing = false
	if e.Failed {
		s.planAt = now.Add(planRetry)
	} else {
		s.book = s.wanted
		s.forgetMoves()
	}
}

// forgetMoves drops the progress of moves that the book has no longer.
func (s *service) forgetMoves() {
	moving := map[MoveKey]bool{}
	for _, r := range s.book.Rows {
		if r.Moving {
			moving[r.Move()] = true
		}
	}
	maps.DeleteFunc(s.moves, func(k MoveKey, _ *move) bool { return !moving[k] })
}

// grantAnswered returns whether the grant has ended a move.
func (g *Granter) grantAnswered(e GrantCompleted, now time.Time) bool {
	s := g.service(e.Grant.Service)
	v := s.server(e.Grant.Server.Life)
	v.landed(e.Grant.Range)
	switch e.Result {
	case Done:
		v.failing, v.retried = time.Time{}, time.Time{}
		v.answered = later(v.answered, e.SentAt)
	case Unsent, Unanswered:
		// One that was given up says nothing when the server has answered a later one.
		if v.failing.IsZero() && e.SentAt.After(v.answered) {
			v.failing = now
		}
		if e.Result == Unanswered && e.SentAt.After(v.unanswered) {
			v.unanswered = e.SentAt
		}
	case Refused:
		s.raiseFence(e.Grant.Fence)
	}
	if m, ok := s.moves[MoveKey{e.Grant.Fence, e.Grant.Range}]; ok && m.granting {
		m.granting = false
		if m.granted = e.Result == Done; m.granted {
			m.grantedAt = now
			return true
		}
	}
	return false
}

// landed takes one grant of r out of those that are on their way.
func (v *server) landed(r Range) {
	if i := slices.Index(v.flying, r); i >= 0 {
		v.flying = slices.Delete(v.flying, i, i+1)
	}
}

// awaits reports whether a grant of keys in r is on its way.
func (v *server) awaits(r Range) bool {
	return slices.ContainsFunc(v.flying, func(f Range) bool { return f.From <= r.To && r.From <= f.To })
}

// raiseFence makes the next fences pass what a server has seen.
func (s *service) raiseFence(refused uint64) {
	const step = 1 << 10
	if s.book.Fence < refused+step {
		s.book.Fence = refused + step
	}
}

func (g *Granter) releaseAnswered(e ReleaseCompleted) {
	s := g.service(e.Release.Service)
	m, ok := s.moves[e.Release.Move]
	if !ok {
		return
	}
	for _, v := range m.leaving {
		if v.hold.Life != e.Release.Server.Life {
			continue
		}
		v.asking = false
		if e.Result == Done {
			v.released = true
			m.handover = e.Handover
		}
	}
}

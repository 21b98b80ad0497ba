package direct

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bronzewind.example/core/code"
)

const (
	// peerReportLife is how long the report of another instance that it reaches backend
	// servers counts.
	peerReportLife = 1500 * time.Millisecond

	// callerIPHeader carries the IP address of the caller from one instance to another.
	callerIPHeader = "Bronzewind-Caller-Ip"

	// configVersionHeader carries the version of the sender's routing table from one instance to
	// another. Earlier versions of the program send none.
	configVersionHeader = "Bronzewind-Config-Version"

	// maxForwardedRequests limits the requests of other instances that an instance serves
	// at once, so that its own callers keep most of its processor.
	maxForwardedRequests = 64

	// peerDistanceCost is what another region or failure domain costs in the choice of a
	// peer, in requests in flight.
	peerDistanceCost = 4
)

var errPeerRefused = errors.New("the other instance could not send the request to a backend server either")

type (
	// requestOrigin is where a request comes from.
	requestOrigin struct {
		callerIP  string
		forwarded bool // by another instance
	}

	// Peer is another instance.
	Peer struct {
		Name     string
		Address  string // at which it takes requests from other instances
		Region   string
		Distance Distance
	}

	// peers holds the instances that have reported lately that they reach backend servers.
	peers struct {
		serving chan struct{} // holds an element for each request of another instance that is being served

		mu      sync.Mutex
		reached map[string]reachingPeer // by name; guarded by mu
	}

	reachingPeer struct {
		backend    *backend
		reportedAt time.Time
	}
)

// ObservePeer records the report of another instance whether it reaches backend servers.
func (s *Server) ObservePeer(p Peer, reaches bool, now time.Time) {
	s.peers.mu.Lock()
	defer s.peers.mu.Unlock()
	known, ok := s.peers.reached[p.Name]
	if ok && (!reaches || known.backend.info.Load().Address != p.Address) {
		known.backend.pool.close()
		delete(s.peers.reached, p.Name)
		ok = false
	}
	if !reaches {
		return
	}
	if !ok {
		known.backend = newBackend(ServerInfo{Address: p.Address, Region: p.Region, Distance: p.Distance}, nil)
		known.backend.peer = true
	}
	known.reportedAt = now
	s.peers.reached[p.Name] = known
}

// closeExpired closes the connections to peers whose idle timeout has passed, and forgets
// the peers whose report has expired.
func (p *peers) closeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, peer := range p.reached {
		peer.backend.pool.closeExpired(now)
		if now.Sub(peer.reportedAt) >= peerReportLife {
			peer.backend.pool.close()
			delete(p.reached, name)
		}
	}
}

// reaching returns how many peers have reported lately that they reach backend servers.
func (p *peers) reaching(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, peer := range p.reached {
		if now.Sub(peer.reportedAt) < peerReportLife {
			n++
		}
	}
	return n
}

// Partitioned reports whether this instance reaches no backend server although another
// instance does.
func (s *Server) Partitioned() bool {
	return s.reachability.partitioned() && s.peers.reaching(time.Now()) > 0
}

// ReachesServers reports whether this instance reaches backend servers, as far as it knows.
func (s *Server) ReachesServers() bool { return !s.reachability.partitioned() }

// ForwardedHandler returns the handler of requests from other instances that reach no
// backend server. Such a request is attempted once and never forwarded again: the instance
// that received it from its caller keeps to the route's limit on attempts and to the retry
// budget. Like ServeHTTP, the handler closes the connection if there is no response.
func (s *Server) ForwardedHandler() http.Handler { return requireResponse(s.serveForwarded) }

func (s *Server) serveForwarded(w http.ResponseWriter, hr *http.Request) {
	origin := requestOrigin{callerIP: hr.Header.Get(callerIPHeader), forwarded: true}
	outdated := s.outdatedFor(hr.Header)
	hr.Header.Del(callerIPHeader)
	hr.Header.Del(configVersionHeader)
	busy := false
	select {
	case s.peers.serving <- struct{}{}:
		defer func() { <-s.peers.serving }()
	default:
		busy = true
	}
	if busy || outdated || s.reachability.partitioned() {
		r := &request{id: hr.Header.Get(s.protocol.RequestID), forwarded: true}
		s.writeFailure(w, r, &requestFailure{code: code.BackendUnreachable, retryAfter: minRetryAfter})
		return
	}
	s.serveRequest(w, hr, origin)
}

// outdatedFor reports whether the instance that sent a request with header has a newer routing
// table than this one, which may lack its route or send it to a former service.
func (s *Server) outdatedFor(header http.Header) bool {
	version, err := strconv.ParseUint(header.Get(configVersionHeader), 10, 64)
	if err != nil {
		return false // not stated
	}
	t := s.routingTable.Load()
	return t == nil || t.Version < version
}

// choosePeer returns the instance by way of which r is sent if this instance reaches no
// backend server: the one with the fewest requests of this instance in flight, with
// preference for near ones. It returns nil if there is none, none that the placement of r
// allows, or if r was forwarded already.
func (s *Server) choosePeer(r *request, state *requestState) *backend {
	if r.forwarded || !s.reachability.partitioned() {
		return nil
	}
	now, placed := time.Now(), s.placementOf(state.route)
	s.peers.mu.Lock()
	defer s.peers.mu.Unlock()
	var best *backend
	lowest := 0.0
	for _, peer := range s.peers.reached {
		if now.Sub(peer.reportedAt) >= peerReportLife || wasAttempted(state.attempted, peer.backend) || !placed.allowsPeer(peer.backend.info.Load()) {
			continue
		}
		c := peer.backend.candidate(roomTerms{}, now)
		cost := c.activeRequests + peerDistanceCost*float64(c.distance)
		if !c.ejected && (best == nil || cost < lowest) {
			best, lowest = peer.backend, cost
		}
	}
	return best
}

// peerName returns the name of the instance that peer stands for.
func (p *peers) peerName(peer *backend) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, known := range p.reached {
		if known.backend == peer {
			return name
		}
	}
	return ""
}

// tryPeer sends r to a peer once. It returns the response or the failure that ends r; both
// are nil if r is to be attempted again.
func (s *Server) tryPeer(ctx context.Context, peer *backend, r *request, state *requestState) (*response, *requestFailure) {
	if remaining := time.Until(r.deadline); remaining <= 0 {
		return state.finalResult(newFailure(code.DeadlineBeforeStart, 0, 0))
	}
	state.peer = cmp.Or(s.peers.peerName(peer), s.fleetPeers.peerName(peer))
	id := peer.attemptStarted(0, time.Now())
	r.watch = nil // the peer watches its attempt
	a := s.exchange(ctx, peer, r)
	refusal := peerRefusal(a.response)
	if refusal != nil && refusal.code == code.BackendUnreachable {
		a.outcome, a.err = outcomeUnsent, errPeerRefused // it sent nothing to a backend server
	}
	sample := attemptSample{outcome: a.outcome, connLimited: a.connLimited}
	if a.response != nil && a.outcome != outcomeUnsent {
		sample.outcome = outcomeDone // the peer is sound, whatever a backend server responded
	}
	peer.attemptFinished(id, sample, a.dialTime, time.Now())
	s.metrics.forwarded.Add(a.outcome.String(), 1)
	state.attempted = append(state.attempted, peer)
	if a.outcome == outcomeUnsent {
		state.unsentAttempts++
	} else {
		state.sentAttempts++
	}
	if a.outcome != outcomeDone {
		s.logForward(r, state, a)
	}
	if refusal != nil && a.outcome == outcomeNotRun && refusal.code != code.RefusedByBackend {
		return state.finalResult(refusal)
	}
	return s.resultAfter(r, state, a)
}

// peerRefusal returns the failure that a peer states in resp; nil if resp is a backend
// server's response.
func peerRefusal(resp *response) *requestFailure {
	if resp == nil || resp.streamed { // a refusal has no body, and a stream has reached the caller
		return nil
	}
	number, err := strconv.Atoi(resp.header.Get(code.Header))
	if _, known := code.Lookup(code.Code(number)); err != nil || !known {
		return nil
	}
	fail := &requestFailure{code: code.Code(number)}
	if seconds, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64); err == nil && seconds > 0 {
		fail.retryAfter = min(time.Duration(seconds*float64(time.Second)), maxRetryAfter)
	}
	return fail
}

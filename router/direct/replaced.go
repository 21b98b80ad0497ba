package direct

import (
	"net/http"
	"time"

	"bronzewind.example/core/notice"
	"bronzewind.example/core/ownership"
)

// WithReplacedHandler sets the function that is called when a response first shows that
// another server has the address of a listed one.
func WithReplacedHandler(onReplaced func(ownership.Incarnation)) Option {
	return func(s *Server) { s.onReplaced = onReplaced }
}

// MarkReplaced records the report of another instance that the server's address belongs to
// another server.
func (s *Server) MarkReplaced(incarnation ownership.Incarnation, now time.Time) {
	if known, ok := s.servers.Load().incarnations[incarnation]; ok && known.backend.markReplaced(now) {
		s.concludeSilences()
		s.notifyChange()
	}
}

// observeRejection records what the rejection of a request sent to b shows of b.
func (s *Server) observeRejection(b *backend, a attemptResult, now time.Time) {
	if a.outcome != outcomeNotRun {
		return
	}
	info := b.info.Load()
	rejection := notice.Rejection{
		Misdirected: a.response.status == http.StatusMisdirectedRequest,
		Expected:    info.ID, Responder: a.response.header.Get(s.protocol.ServerID),
		ChecksKeys: s.serviceOf(b).Exclusive,
	}
	if rejection.ShowsReplacement() {
		s.chargeArrival(rejection.Responder, info.Service, now)
	}
	s.observeResponder(b, rejection, now)
	if rejection.Misdirected && rejection.Responder == "" && !b.replaced(now) {
		s.checkIdentity(b, now)
	}
}

// observeResponder takes b out of use if a rejection shows that another server has its address.
func (s *Server) observeResponder(b *backend, rejection notice.Rejection, now time.Time) {
	if !rejection.ShowsReplacement() || !b.markReplaced(now) {
		return
	}
	info := b.info.Load()
	s.log.Limited("server-replaced", "server", info.ID, "service", info.Service, "address", info.Address, "by", rejection.Responder)
	s.onReplaced(info.Incarnation)
	s.concludeSilences()
	s.notifyChange()
}

// rejectsAgain reports whether a further attempt of r would be rejected as the last one was: its
// key still belongs to the server that rejected it as misdirected, under the same grant.
func (s *Server) rejectsAgain(r *request, state *requestState, a attemptResult, now time.Time) bool {
	if a.response.status != http.StatusMisdirectedRequest {
		return false
	}
	key, ok := s.exclusiveKey(r, state.service)
	if !ok {
		return false
	}
	owner := s.lookupOwner(state.service, key, s.placementOf(state.route), now)
	return owner.backend != nil && owner.backend == state.owner.backend && owner.fence == state.owner.fence
}

// chargeArrival counts a request that reached a server of another service as a retry there,
// since the service gets a request that no caller sent to it.
func (s *Server) chargeArrival(responderID, service string, now time.Time) {
	for incarnation, known := range s.servers.Load().incarnations {
		other := known.backend.info.Load().Service
		if incarnation.ID == responderID && other != service {
			s.retryBudget.charge(other, now)
			return
		}
	}
}

// markReplaced records that another server has the server's address, and reports whether
// that was not known.
func (b *backend) markReplaced(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.notices.replaced.At(now) {
		return false
	}
	b.notices.replaced = b.notices.replaced.WithReplacement(now)
	return true
}

// replaced reports whether another server has the server's address.
func (b *backend) replaced(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.notices.replaced.At(now)
}

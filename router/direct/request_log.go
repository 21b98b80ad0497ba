package direct

import (
	"math"
	"time"

	"bronzewind.example/core/code"
)

// One in successSampleInterval requests that have an ID, were sent once and got
// a response with a status below 500 is logged.
const successSampleInterval = 256

// logAttempt logs an attempt, subject to the event's rate limit, unless it has
// outcomeDone and a status below 500.
func (s *Server) logAttempt(r *request, state *requestState, b *backend, a attemptResult) {
	if a.outcome == outcomeDone && a.response.status < 500 {
		return
	}
	event := "try-" + a.outcome.String()
	if !s.log.Allowed(event) {
		return
	}
	info := b.info.Load()
	status := 0
	if a.response != nil {
		status = a.response.status
	}
	reason := ""
	if a.err != nil {
		reason = a.err.Error()
	}
	now := time.Now()
	c := b.candidate(s.roomTerms(b.info.Load().Service), now)
	s.log.Event(event, "request", r.id, "route", state.route.Name, "service", state.service,
		"server", info.ID, "address", info.Address, "code", int(a.code), "status", status, "reason", reason,
		"took-ms", a.duration.Milliseconds(), "left-ms", r.deadline.Sub(now).Milliseconds(), "reused", a.reused,
		"server-load", c.activeRequests, "server-slots", c.slots, "server-failing", c.failureRatio, "budget-left", s.retryBudget.remaining(state.service, now))
}

// logForward logs an attempt by way of another instance.
func (s *Server) logForward(r *request, state *requestState, a attemptResult) {
	status, reason := 0, ""
	if a.response != nil {
		status = a.response.status
	}
	if a.err != nil {
		reason = a.err.Error()
	}
	s.log.Limited("forward-failed", "request", r.id, "route", state.route.Name, "peer", state.peer, "outcome", a.outcome.String(),
		"code", int(a.code), "status", status, "reason", reason, "took-ms", a.duration.Milliseconds(), "left-ms", time.Until(r.deadline).Milliseconds())
}

// recordRequest counts a finished request. Subject to the event's rate limit, it
// logs the request if it failed, got a 5xx response, was sent more than once or
// is sampled.
func (s *Server) recordRequest(r *request, state *requestState, status int, fail *requestFailure) {
	duration := time.Since(state.startedAt)
	s.metrics.countRequest(state.service, status, fail, duration)
	if fail == nil && status < 500 && state.sentAttempts <= 1 && (len(r.id) == 0 || !sampled(r.id)) {
		return
	}
	event := "answered"
	if fail != nil {
		event = "refused-" + fail.code.String()
	}
	if !s.log.Allowed(event) {
		return
	}
	route, version := "", uint64(0)
	if state.route != nil {
		route = state.route.Name
	}
	if t := s.routingTable.Load(); t != nil {
		version = t.Version
	}
	attributes := []any{
		"request", r.id, "route", route, "service", state.service, "config-version", version, "status", status,
		"tries", state.sentAttempts, "unsent", state.unsentAttempts, "took-ms", duration.Milliseconds(), "left-ms", time.Until(r.deadline).Milliseconds(),
	}
	if state.peer != "" {
		attributes = append(attributes, "peer", state.peer)
	}
	if r.forwarded {
		attributes = append(attributes, "forwarded", true)
	}
	if fail != nil {
		attributes = append(attributes, "code", int(fail.code), "outcome", fail.code.Outcome().String(), "come-back-ms", fail.retryAfter.Milliseconds())
	}
	if c := state.rejected; c != nil && fail != nil && (fail.code == code.TargetUnreachable || fail.code == code.RateLimited) {
		attributes = append(attributes, "server", c.backend.info.Load().ID, "server-load", math.Round(c.activeRequests), "server-slots", c.slots,
			"server-slowness", math.Round(100*c.slowness)/100, "expected-ms", state.expectedTime.Milliseconds(), "target-left-ms", state.timeToTarget.Milliseconds(), "notice-wait-ms", c.noticeWait.Milliseconds())
	}
	if fail != nil && fail.code == code.CallerOverShare {
		attributes = append(attributes, "caller", r.callerIP)
	}
	if key, ok := s.exclusiveKey(r, state.service); ok {
		attributes = append(attributes, s.ownershipAttributes(state.service, key)...)
	}
	s.log.Event(event, attributes...)
}

// ownershipAttributes returns log fields with the owner of a key according to
// this instance's ownership snapshot, and the age of the snapshot.
func (s *Server) ownershipAttributes(service string, key uint32) []any {
	o, ok := (*s.ownership.Load())[service]
	if !ok {
		return []any{"key", key, "owner", "", "ownership-version", 0}
	}
	partition, _ := o.partitionMap.Lookup(key)
	return []any{
		"key", key, "owner", partition.Owner.ID, "moving", partition.Moving, "fence", partition.Fence,
		"ownership-version", o.partitionMap.Version, "ownership-age-ms", time.Since(o.readAt).Milliseconds(),
	}
}

// sampled selects requests by a hash of their ID, so that all instances select
// the same requests.
func sampled(id string) bool {
	hash := 0
	for i := range len(id) {
		hash = hash*31 + int(id[i])
	}
	return hash%successSampleInterval == 0
}

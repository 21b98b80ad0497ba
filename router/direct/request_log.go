package direct

import (
	"math"
	"time"
)

// successSampleInterval is the number of requests of which one is logged even if
// it succeeds at the first attempt.
const successSampleInterval = 256

// logAttempt logs an attempt that was not successful.
func (s *Server) logAttempt(r *request, p *requestState, b *backend, a attemptResult) {
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
	c := b.candidate(now)
	s.log.Event(event, "request", r.id, "route", p.route.Name, "service", p.service,
		"server", info.ID, "address", info.Address, "code", int(a.code), "status", status, "reason", reason,
		"took-ms", a.duration.Milliseconds(), "left-ms", r.deadline.Sub(now).Milliseconds(), "reused", a.reused,
		"server-load", c.activeRequests, "server-slots", c.slots, "server-failing", c.failureRatio, "budget-left", s.retryBudget.remaining(p.service, now))
}

// recordRequest counts the end of a request and logs it, unless it succeeded at
// the first attempt and is not sampled.
func (s *Server) recordRequest(r *request, p *requestState, status int, ref *requestFailure) {
	duration := time.Since(p.startedAt)
	s.metrics.countRequest(p.service, status, ref, duration)
	if ref == nil && status < 500 && p.sentAttempts <= 1 && (len(r.id) == 0 || !sampled(r.id)) {
		return
	}
	event := "answered"
	if ref != nil {
		event = "refused-" + ref.code.String()
	}
	if !s.log.Allowed(event) {
		return
	}
	route, version := "", uint64(0)
	if p.route != nil {
		route = p.route.Name
	}
	if t := s.routingTable.Load(); t != nil {
		version = t.Version
	}
	attributes := []any{
		"request", r.id, "route", route, "service", p.service, "config-version", version, "status", status,
		"tries", p.sentAttempts, "unsent", p.unsentAttempts, "took-ms", duration.Milliseconds(), "left-ms", time.Until(r.deadline).Milliseconds(),
	}
	if ref != nil {
		attributes = append(attributes, "code", int(ref.code), "outcome", ref.code.Outcome().String(), "come-back-ms", ref.retryAfter.Milliseconds())
	}
	if c := p.rejected; ref != nil && c != nil {
		attributes = append(attributes, "server", c.backend.info.Load().ID, "server-load", math.Round(c.activeRequests), "server-slots", c.slots,
			"server-slowness", math.Round(100*c.slowness)/100, "expected-ms", p.expectedTime.Milliseconds(), "target-left-ms", p.timeToTarget.Milliseconds())
	}
	if key, ok := s.exclusiveKey(r, p.service); ok {
		attributes = append(attributes, s.ownershipAttributes(p.service, key)...)
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

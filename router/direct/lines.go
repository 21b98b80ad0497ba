package direct

import (
	"math"
	"time"
)

// successSampleInterval is the share of plain successes that get a line: one in it.
const successSampleInterval = 256

// logAttempt writes a line for a try that did not bring a success.
func (s *Server) logAttempt(r *request, p *progress, b *backend, t attempt) {
	if t.outcome == outcomeDone && t.response.status < 500 {
		return
	}
	event := "try-" + t.outcome.String()
	if !s.log.Allowed(event) {
		return
	}
	info := b.info.Load()
	status := 0
	if t.response != nil {
		status = t.response.status
	}
	reason := ""
	if t.err != nil {
		reason = t.err.Error()
	}
	now := time.Now()
	v := b.candidate(now)
	s.log.Event(event, "request", r.id, "route", p.route.Name, "service", p.service,
		"server", info.ID, "address", info.Address, "code", int(t.reason), "status", status, "reason", reason,
		"took-ms", t.duration.Milliseconds(), "left-ms", r.deadline.Sub(now).Milliseconds(), "reused", t.reused,
		"server-load", v.load, "server-slots", v.slots, "server-failing", v.failureRatio, "budget-left", s.retryBudget.remaining(p.service, now))
}

// recordRequest counts the end of a request, and writes a line unless it is a plain
// success that is not sampled.
func (s *Server) recordRequest(r *request, p *progress, status int, f *refusal) {
	took := time.Since(p.startedAt)
	s.metrics.countRequest(p.service, status, f, took)
	if f == nil && status < 500 && p.sentAttempts <= 1 && (len(r.id) == 0 || !sampled(r.id)) {
		return
	}
	event := "answered"
	if f != nil {
		event = "refused-" + f.code.String()
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
		"tries", p.sentAttempts, "unsent", p.unsentAttempts, "took-ms", took.Milliseconds(), "left-ms", time.Until(r.deadline).Milliseconds(),
	}
	if f != nil {
		attributes = append(attributes, "code", int(f.code), "outcome", f.code.Outcome().String(), "come-back-ms", f.retryAfter.Milliseconds())
	}
	if c := p.refusedBy; f != nil && c != nil {
		attributes = append(attributes, "server", c.backend.info.Load().ID, "server-load", math.Round(c.load), "server-slots", c.slots,
			"server-slowness", math.Round(100*c.slowness)/100, "expected-ms", p.expectedTime.Milliseconds(), "target-left-ms", p.timeToTarget.Milliseconds())
	}
	if key, ok := s.exclusiveKey(r, p.service); ok {
		attributes = append(attributes, s.ownershipAttributes(p.service, key)...)
	}
	s.log.Event(event, attributes...)
}

// ownershipAttributes tells what is believed of a key and how old the belief is.
func (s *Server) ownershipAttributes(service string, key uint32) []any {
	o, ok := (*s.ownership.Load())[service]
	if !ok {
		return []any{"key", key, "owner", "", "ownership-version", 0}
	}
	row, _ := o.partitionMap.Lookup(key)
	return []any{
		"key", key, "owner", row.Owner.ID, "moving", row.Moving, "fence", row.Fence,
		"ownership-version", o.partitionMap.Version, "ownership-age-ms", time.Since(o.readAt).Milliseconds(),
	}
}

// sampled picks requests by their ID, so that all instances pick the same.
func sampled(id string) bool {
	h := 0
	for i := range len(id) {
		h = h*31 + int(id[i])
	}
	return h%successSampleInterval == 0
}

package direct

import (
	"net/http"
	"strconv"
	"time"

	"bronzewind.example/core/code"
)

const (
	minTimeout     = time.Millisecond // lower bound of the time in a deadline header
	defaultTimeout = 10 * time.Second // for a request without a deadline header
)

// readRequest reads the whole request and finds its route.
func (s *Server) readRequest(w http.ResponseWriter, hr *http.Request, origin requestOrigin, now time.Time) (*request, *Route, *requestFailure) {
	r := &request{
		id: hr.Header.Get(s.protocol.RequestID), method: hr.Method, requestURI: hr.RequestURI, host: hr.Host,
		header: hr.Header, deadline: now.Add(defaultTimeout), callerIP: origin.callerIP, forwarded: origin.forwarded,
	}
	t := s.routingTable.Load()
	if t == nil {
		return r, nil, &requestFailure{code: code.NotReady, retryAfter: notReadyRetryAfter}
	}
	path, ok := routablePath(hr)
	if !ok {
		return r, nil, &requestFailure{code: code.MalformedRequest}
	}
	route, ok := t.Route(hr.Host, path)
	if !ok {
		return r, nil, &requestFailure{code: code.NoService}
	}
	if ms, err := strconv.ParseInt(hr.Header.Get(s.protocol.Deadline), 10, 64); err == nil {
		r.deadline = now.Add(max(minTimeout, time.Duration(ms)*time.Millisecond))
		r.callerDeadline = r.deadline
		r.returning = s.usualDeadlines.observe(route.Name, r.deadline.Sub(now))
	}
	if route.Timeout > 0 && now.Add(route.Timeout).Before(r.deadline) {
		r.deadline = now.Add(route.Timeout)
	}
	r.idempotent = route.Idempotent
	removeHopHeaders(r.header)
	if hr.Body == nil || hr.Body == http.NoBody {
		return r, route, nil
	}
	fail := s.readRequestBody(w, hr, r, t.Limits.MaxBodyBytes, time.Now())
	return r, route, fail
}

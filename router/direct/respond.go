package direct

import (
	"errors"
	"net/http"
	"strconv"

	"bronzewind.example/core/code"
)

// writeFailure writes fail to the caller and returns the HTTP status.
func (s *Server) writeFailure(w http.ResponseWriter, r *request, fail *requestFailure) int {
	status := fail.code.Status()
	// Callers take 503, unlike the other 5xx statuses and 422, as a guarantee that
	// the request was not run.
	if fail.code.Outcome() == code.NotRun && status >= 500 || fail.code == code.Quarantined {
		status = http.StatusServiceUnavailable
	}
	h := w.Header()
	if r.id != "" {
		h.Set(s.protocol.RequestID, r.id)
	}
	h.Set(code.Header, strconv.Itoa(int(fail.code)))
	if r.forwarded && fail.code.Outcome() == code.NotRun {
		h.Set(s.protocol.NotRun, "1")
	}
	h.Set("Content-Length", "0")
	if fail.retryAfter > 0 && status == http.StatusServiceUnavailable {
		// Seconds with three decimals, where HTTP defines whole seconds.
		h.Set("Retry-After", strconv.FormatFloat(fail.retryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(status)
	return status
}

// writeResponse forwards a backend server's response to the caller.
func (s *Server) writeResponse(w http.ResponseWriter, resp *response) {
	s.writeHead(w, resp, resp.body.length)
	if _, err := resp.body.WriteTo(w); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		s.metrics.undelivered.Add(1)
	}
}

// hopHeaders are the hop-by-hop headers and Expect, which are not forwarded.
// Expect has no effect any more, because the instance has read the whole body.
var hopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func removeHopHeaders(h http.Header) {
	for _, name := range hopHeaders {
		delete(h, name)
	}
}

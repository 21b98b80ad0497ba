package direct

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"bronzewind.example/core/notice"
)

const (
	// healthCheckInterval is the least time between two health checks of one server by this
	// instance.
	healthCheckInterval = time.Second

	// healthCheckTimeout is the longest time that a health check takes, besides the time to
	// open its connection.
	healthCheckTimeout = 500 * time.Millisecond

	maxHealthBodyBytes = 4 << 10 // a connection with a longer response is closed
)

// A health check reads from a server how long it stays cold. The server's record in the store
// states the same at most one heartbeat later, so periodic checks from every instance to every
// server would add load without benefit. Only a server is checked that may have crashed while its
// record is not read yet: one that has closed a connection before its response may have
// restarted, and at the address of one that has rejected a request as misdirected, another server
// may be. The check names the server that is meant, so that no other one responds for it.

// healthCheckState is what the decision to check a server's health depends on.
type healthCheckState struct {
	path      string        // of the service; "" if its servers have no health check
	coldRate  float64       // of the service; 0 if its servers are never limited
	cold      bool          // the server counts as cold already
	lastCheck time.Duration // since the last check by this instance
}

// identityDue reports whether a server that has rejected a request as misdirected, in a response
// that names no server, is to be checked. It may only lack the request's key; otherwise all
// requests for its keys go on to another server until the store lists the change.
func (c healthCheckState) identityDue() bool {
	return c.path != "" && c.lastCheck >= healthCheckInterval
}

// due reports whether a server that may have restarted is to be checked. Without the check, the
// instances that lost requests at a server that crashed under load and restarted cold would send
// it as many requests as a warm one.
func (c healthCheckState) due() bool {
	return c.path != "" && c.coldRate > 0 && !c.cold && c.lastCheck >= healthCheckInterval
}

// takeHealthCheck returns the path at which the server is to be checked now, and counts the
// check; "" if none is due.
func (b *backend) takeHealthCheck(service Service, due func(healthCheckState) bool, now time.Time) string {
	cold := b.info.Load().Cold
	b.mu.Lock()
	defer b.mu.Unlock()
	state := healthCheckState{
		path: service.HealthPath, coldRate: service.ColdRate,
		cold: cold || b.notices.warmup.Cold(now), lastCheck: now.Sub(b.healthCheckedAt),
	}
	if !due(state) {
		return ""
	}
	b.healthCheckedAt = now
	return service.HealthPath
}

// reaches reports whether the server still has an idle connection open or accepts a new one.
// If this instance has reached its connection limit, the server counts as reachable. A
// health check that is due is made on the connection.
func (s *Server) reaches(ctx context.Context, b *backend) bool {
	info := b.info.Load()
	now := time.Now()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, _, err := b.pool.get(ctx, info.Address, "", s.connectionLimitAt(b, now), 0, now.Add(dialTimeout))
	if err != nil {
		return errors.Is(err, errConnLimit)
	}
	path := b.takeHealthCheck(s.serviceOf(b), healthCheckState.due, now)
	if path == "" {
		b.pool.putUnused(c, time.Now())
		return true
	}
	s.checkHealth(b, c, path)
	return true
}

// checkIdentity checks in the background which server is at the address of b, if that is due.
func (s *Server) checkIdentity(b *backend, now time.Time) {
	path := b.takeHealthCheck(s.serviceOf(b), healthCheckState.identityDue, now)
	if path == "" {
		return
	}
	s.crashChecks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		defer cancel()
		c, _, err := b.pool.get(ctx, b.info.Load().Address, "", s.connectionLimitAt(b, now), 0, now.Add(dialTimeout))
		if err != nil {
			s.metrics.healthChecks.Add("no-response", 1)
			return
		}
		s.checkHealth(b, c, path)
	})
}

// serviceOf returns the service of b as the routing table has it; the zero value without one.
func (s *Server) serviceOf(b *backend) Service {
	t := s.routingTable.Load()
	if t == nil {
		return Service{}
	}
	return t.Services[b.info.Load().Service]
}

// checkHealth makes a health check on c, and keeps c open if it may carry a request after it.
func (s *Server) checkHealth(b *backend, c *conn, path string) {
	if s.exchangeHealth(b, c, path) {
		b.pool.put(c, time.Now())
	} else {
		b.pool.closeConn(c)
	}
}

// exchangeHealth makes a health check on c and reports whether c may carry a request after it.
func (s *Server) exchangeHealth(b *backend, c *conn, path string) bool {
	_ = c.SetDeadline(time.Now().Add(healthCheckTimeout)) // if it fails, the write fails too
	info := b.info.Load()
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n\r\n", path, info.Address, s.protocol.ExpectedServer, info.ID); err != nil {
		s.metrics.healthChecks.Add("no-response", 1)
		return false
	}
	head, err := readResponseHead(c, &request{method: http.MethodGet})
	if err != nil {
		s.metrics.healthChecks.Add("no-response", 1)
		return false
	}
	defer func() { _ = head.Body.Close() }() // nothing is left to read
	s.observeHealth(b, head, time.Now())
	n, err := io.Copy(io.Discard, io.LimitReader(head.Body, maxHealthBodyBytes+1))
	// The response has no request ID. If a duplicate of it arrives, the missing ID shows that a
	// success is not the response to the next request on c. A refusal without an ID would be taken
	// for that response, so c is closed after a refusal.
	refusal := head.StatusCode != http.StatusOK || head.Header.Get(s.protocol.NotRun) != ""
	return err == nil && n <= maxHealthBodyBytes && !refusal && !head.Close && c.reader.Buffered() == 0
}

// observeHealth records how long the server stays cold, if the response to a health check
// states it. A response of another server at the address states nothing of this one, but that
// it has been replaced: no server lacks anything for a health check, so that only another one
// rejects it as misdirected.
func (s *Server) observeHealth(b *backend, head *http.Response, now time.Time) {
	info := b.info.Load()
	responder := head.Header.Get(s.protocol.ServerID)
	other := head.StatusCode == http.StatusMisdirectedRequest || responder != "" && responder != info.ID
	s.observeResponder(b, notice.Rejection{Misdirected: other, Expected: info.ID, Responder: responder}, now)
	value := head.Header.Get(s.protocol.Warmup)
	if value == "" || responder != info.ID {
		s.metrics.healthChecks.Add("not-stated", 1)
		return
	}
	left, err := s.protocol.ParseWarmup(value)
	if err != nil {
		s.metrics.healthChecks.Add("unreadable", 1)
		if !b.warmupUnreadable.Swap(true) {
			s.log.Limited("server-warmup-unreadable", "server", info.ID, "service", info.Service, "reason", err.Error())
		}
		return
	}
	b.mu.Lock()
	b.notices.warmup = b.notices.warmup.WithStatement(left, now)
	b.mu.Unlock()
	if left <= 0 {
		s.metrics.healthChecks.Add("warm", 1)
		return
	}
	s.metrics.healthChecks.Add("cold", 1)
	s.log.Limited("server-warmup", "server", info.ID, "service", info.Service, "cold-ms", left.Milliseconds())
}

// usableHealthPath reports whether path can stand in a request line.
func usableHealthPath(path string) bool {
	return strings.HasPrefix(path, "/") && !strings.ContainsFunc(path, func(r rune) bool { return r <= ' ' || r >= 0x7f })
}

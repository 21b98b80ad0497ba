package direct

import "time"

// The code in this file handles this load: a hot key, or the loss of other servers, makes all
// instances open as many connections as they may to the same few servers. Together these are
// more than a server accepts, and it resets the rest, with requests on them whose outcome is
// then unknown.
//
// An instance may open more than its even share, because callers are spread unevenly. Once a
// server has reset a new connection at once, the instance keeps to its even share there. If
// all instances do, they stay within what the server accepts. A server with a long queue
// accepts fewer; each further reset halves what the instance may open, and it grows again by
// steps.

// shareStepTime is the time in which the connections that an instance may open to a server
// grow by one after resets.
const shareStepTime = 500 * time.Millisecond

// connectionShare is how many connections the instance may have open to a server after the
// server has reset new ones. The zero value is no restriction.
type connectionShare struct {
	most  int // at least 1 once the server has reset a connection
	since time.Time
}

// WithReset returns the share after a reset of a new connection, when the instance may open
// at most limit and its even share is evenShare.
func (c connectionShare) WithReset(limit, evenShare int, now time.Time) connectionShare {
	if known := c.at(limit, now); known < limit {
		return connectionShare{most: max(1, known/2), since: now}
	}
	return connectionShare{most: min(limit, evenShare), since: now}
}

// at returns how many connections the instance may open at now, at most limit.
func (c connectionShare) at(limit int, now time.Time) int {
	if c.most == 0 {
		return limit
	}
	return min(limit, c.most+int(now.Sub(c.since)/shareStepTime))
}

// isOverConnectionLimit reports whether an attempt shows that its server accepts no further
// connection: a reset at once, in place of a response, on a new connection.
func isOverConnectionLimit(a attemptResult, rtt time.Duration) bool {
	return !a.reused && a.closedBeforeResponse && !a.responded && a.duration <= rtt+immediateReset
}

// observeConnectionLimit learns from an attempt whether the server has too many connections.
func (s *Server) observeConnectionLimit(b *backend, a attemptResult, now time.Time) {
	info := b.info.Load()
	limit, evenShare := s.connectionLimit(info.Service), s.evenConnectionShare(info.Service)
	b.mu.Lock()
	over := isOverConnectionLimit(a, b.load.rtt(info.Distance))
	// The attempts that were under way beside one that was reset show nothing new.
	if over && a.sentAt.After(b.connectionShare.since) {
		b.connectionShare = b.connectionShare.WithReset(limit, evenShare, now)
	}
	most := b.connectionShare.at(limit, now)
	b.mu.Unlock()
	if !over {
		return
	}
	s.metrics.overConnectionLimit.Add(1)
	s.log.Limited("server-over-connection-limit", "server", info.ID, "service", info.Service, "connections", b.pool.openCount(), "at-most", most)
}

// connectionLimitAt returns how many connections the instance may have open to b.
func (s *Server) connectionLimitAt(b *backend, now time.Time) int {
	limit := s.connectionLimit(b.info.Load().Service)
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.connectionShare.at(limit, now)
}

// evenConnectionShare returns this instance's even share of the connections that a server of
// service accepts; at least 1.
func (s *Server) evenConnectionShare(service string) int {
	t := s.routingTable.Load()
	if t == nil {
		return 1
	}
	limit := t.Services[service].MaxConnections
	if limit <= 0 {
		return defaultConnectionLimit
	}
	return max(1, limit/s.fleet.Load().Count)
}

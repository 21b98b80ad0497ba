package http1

import (
	"time"

	"bronzewind.example/core/tcp"
)

// lateReadTime is how long a connection is still read after its read deadline if the kernel has
// received bytes for it. They arrived in time, and this process was late to read them.
const lateReadTime = time.Second

// Limits bound the heads of requests and the times without one. A time of 0 means no limit.
type Limits struct {
	HeadBytes        int           // of the request line and the headers; 0 means defaultMaxHeadBytes
	HeadTimeout      time.Duration // for a head, from its first byte
	FirstByteTimeout time.Duration // until the first byte on a new connection
	IdleTimeout      time.Duration // between the last response and the next request
}

// WithLimits sets a function that returns the limits in force. It is called for each request
// and must not block.
func WithLimits(f func() Limits) Option {
	return func(s *Server) { s.callerLimits = f }
}

// maxHeadBytes returns the size of the largest head that is taken.
func (s *Server) maxHeadBytes() int {
	if n := s.callerLimits().HeadBytes; n > 0 {
		return n
	}
	return defaultMaxHeadBytes
}

// waitLimit returns how long the connection may be without a request. c.mu must be held.
func (c *conn) waitLimit() time.Duration {
	if c.last == nil {
		return c.server.callerLimits().FirstByteTimeout
	}
	return c.server.callerLimits().IdleTimeout
}

// extendRead sets a later read deadline after one has passed, and reports whether it did. It does
// so if the limit has been raised since, or if bytes have arrived that this process has not read
// yet. It does not extend a read that was ended before its deadline, as by a drain. limit
// is measured from since.
func (c *conn) extendRead(since time.Time, limit time.Duration) bool {
	now := time.Now()
	end := c.readDeadline.Load()
	switch {
	case end == nil || now.Before(*end):
		return false
	case tcp.Readable(c.nc):
		c.setReadTimeout(lateReadTime)
	case limit <= 0 || now.Before(since.Add(limit)):
		c.setReadTimeoutFrom(since, limit)
	default:
		return false
	}
	return true
}

// setReadTimeout limits the time of reads from now on; 0 means no limit.
func (c *conn) setReadTimeout(d time.Duration) { c.setReadTimeoutFrom(time.Now(), d) }

// setReadTimeoutFrom limits the time of reads to d from start; 0 means no limit.
func (c *conn) setReadTimeoutFrom(start time.Time, d time.Duration) {
	deadline := time.Time{}
	if d > 0 {
		deadline = start.Add(d)
		c.readDeadline.Store(&deadline)
	} else {
		c.readDeadline.Store(nil)
	}
	_ = c.nc.SetReadDeadline(deadline) // fails only if the connection is closed
}

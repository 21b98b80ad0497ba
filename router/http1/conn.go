package http1

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"bronzewind.example/core/tcp"
)

const (
	readBufferBytes = 4 << 10

	// hangUpCheckInterval is how often a connection that is not read, since a request has to
	// wait, is checked for a caller that has left.
	hangUpCheckInterval = 100 * time.Millisecond

	// lingerTime is how long a connection is read after its last response. If it were closed
	// with bytes unread, the kernel would reset it, and the caller could lose the response.
	lingerTime = 500 * time.Millisecond
)

type (
	// conn is a caller's connection. Its goroutine reads requests; each request has one of
	// its own.
	conn struct {
		server  *Server
		nc      net.Conn
		source  source
		in      *bufio.Reader // read by the goroutine of a request with a body until the body ends
		ctx     context.Context
		cancel  context.CancelFunc
		changed chan struct{} // capacity 1; receives an element when a response has ended

		unreadSince time.Time // when bytes were first seen that the kernel holds; zero if none

		headSince    time.Time                 // when the first byte of the next head was read
		readDeadline atomic.Pointer[time.Time] // as set last; nil for none

		mu           sync.Mutex
		pipeline     pipeline  // guarded by mu
		last         *exchange // started last; nil before the first; guarded by mu
		waiting      bool      // no byte of the next request has been read; guarded by mu
		waitingSince time.Time // the connection's start, or the end of the last response; guarded by mu
		stopped      bool      // no further request starts; guarded by mu
		responded    bool      // the last response has been written, or the connection is closed; guarded by mu
	}

	// source reads bytes that were put back, and then those of the connection.
	source struct {
		nc     net.Conn
		unread []byte
		readAt time.Time // when nc last returned bytes
	}
)

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, nc: nc, source: source{nc: nc}, changed: make(chan struct{}, 1)}
	c.in = bufio.NewReaderSize(&c.source, readBufferBytes)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	if len(s.unread) > 0 {
		n := copy(p, s.unread)
		s.unread = s.unread[n:]
		return n, nil
	}
	n, err := s.nc.Read(p)
	if n > 0 {
		s.readAt = time.Now()
	}
	return n, err
}

// serve reads requests and starts them until the connection ends.
func (c *conn) serve() {
	defer c.end()
	c.startFirstByteTimeout()
	for c.awaitRequest() {
		arrivedAt := c.arrival()
		hr, err := c.readRequest()
		var refused *refusal
		if errors.As(err, &refused) {
			c.server.metrics.refused.Add(1)
			c.start(newRefusal(c, refused))
			return
		}
		if err != nil {
			c.mu.Lock()
			c.readFailed(err)
			c.mu.Unlock()
			return
		}
		c.setReadTimeout(0)
		x := newExchange(c, hr, arrivedAt)
		if !c.start(x) || !x.awaitBody() {
			return
		}
	}
}

// startFirstByteTimeout starts the timeout for the first byte of the first request.
func (c *conn) startFirstByteTimeout() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waitingSince = time.Now()
	c.setReadTimeoutFrom(c.waitingSince, c.waitLimit())
}

// awaitRequest waits for the first byte of the next request. It returns false if none will
// be served: the caller has ended its side, the connection has been idle for too long, or a
// response is to close it.
func (c *conn) awaitRequest() bool {
	if c.in.Buffered() == 0 && len(c.source.unread) == 0 {
		c.mu.Lock()
		c.waiting = true
		c.idleIfDone()
		c.mu.Unlock()
	}
	_, err := c.in.Peek(1)
	for errors.Is(err, os.ErrDeadlineExceeded) && c.extendWait() {
		_, err = c.in.Peek(1)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.readFailed(err)
		return false
	}
	if c.stopped {
		return false
	}
	c.waiting = false
	c.server.connState(c.nc, http.StateActive)
	c.headSince = time.Now()
	c.setReadTimeoutFrom(c.headSince, c.server.callerLimits().HeadTimeout)
	return true
}

// readFailed cancels the running requests if err shows that the caller has left. c.mu must be
// held.
func (c *conn) readFailed(err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.callerLeft()
	}
}

// extendWait replaces an expired read deadline that is out of date, because it was set before the
// running requests arrived or before the limit was raised. It returns false if the next request
// has timed out or the connection takes no more.
func (c *conn) extendWait() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pipeline.running == 0 {
		return !c.stopped && !c.responded && c.extendRead(c.waitingSince, c.waitLimit())
	}
	c.setReadTimeout(0)
	return true
}

// arrival returns when the first byte that is buffered arrived.
func (c *conn) arrival() time.Time {
	arrivedAt := c.source.readAt
	if !c.unreadSince.IsZero() && c.unreadSince.Before(arrivedAt) {
		arrivedAt = c.unreadSince
	}
	c.unreadSince = time.Time{}
	return arrivedAt
}

// start starts x once the requests before it allow that. It returns false if x was not
// started, since a response closes the connection or the caller has left.
func (c *conn) start(x *exchange) bool {
	for waited := false; ; waited = true {
		c.mu.Lock()
		if c.stopped || c.ctx.Err() != nil {
			c.mu.Unlock()
			return false
		}
		if c.pipeline.admits(x.exclusive, c.server.limits) {
			if c.last != nil {
				x.previous = c.last.ended
			}
			c.countStart(waited)
			c.pipeline, c.last = c.pipeline.withStarted(x.exclusive), x
			c.stopped = x.request.Close
			c.mu.Unlock()
			c.server.running.Go(x.run)
			return true
		}
		c.mu.Unlock()
		c.awaitChange()
	}
}

// countStart counts the start of a request. c.mu must be held.
func (c *conn) countStart(waited bool) {
	if waited {
		c.server.metrics.waited.Add(1)
	}
	if c.pipeline.running > 0 {
		c.server.metrics.beside.Add(1)
	}
}

// callerLeft cancels the running requests. c.mu must be held.
func (c *conn) callerLeft() {
	if c.pipeline.running > 0 && c.ctx.Err() == nil {
		c.server.metrics.departed.Add(1)
	}
	c.cancel()
}

// awaitChange waits until a response has ended, or for hangUpCheckInterval. Meanwhile the
// connection is not read. The contexts of its requests are cancelled if the caller leaves.
func (c *conn) awaitChange() {
	timer := time.NewTimer(hangUpCheckInterval)
	defer timer.Stop()
	select {
	case <-c.changed:
	case <-timer.C:
		if tcp.HungUp(c.nc) {
			c.mu.Lock()
			c.callerLeft()
			c.mu.Unlock()
		}
		if c.unreadSince.IsZero() && tcp.Readable(c.nc) {
			c.unreadSince = time.Now()
		}
	}
}

// end waits for the running requests, reads on for a caller that may still send, and closes
// the connection.
func (c *conn) end() {
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	for c.running() {
		c.awaitChange()
	}
	c.mu.Lock()
	lingers := c.responded
	c.mu.Unlock()
	if lingers {
		c.setReadTimeout(lingerTime)
	}
	for lingers {
		_, err := c.in.Peek(1)
		lingers = err == nil
		_, _ = c.in.Discard(c.in.Buffered()) // can't fail: the bytes are there
	}
	c.cancel()
	_ = c.nc.Close() // all responses have been written
	c.server.remove(c)
}

// running reports whether a response has not ended.
func (c *conn) running() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pipeline.running > 0
}

// closesWith decides whether the response to x closes the connection. A response that asks
// for it while later requests run leaves it to the last one, so that none of them is cut
// off; no further request starts.
func (c *conn) closesWith(x *exchange, asked bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = c.stopped || asked
	return c.stopped && c.last == x
}

// exchangeEnded records the end of x. A response that failed, or was not whole, ends the
// connection, as does one that closes it.
func (c *conn) exchangeEnded(x *exchange, whole bool) {
	c.mu.Lock()
	c.pipeline = c.pipeline.withEnded()
	if !c.responded && (!whole || x.closes) {
		c.stopped, c.responded = true, true
		if !whole {
			c.server.metrics.abandoned.Add(1)
			c.cancel()
		}
		c.endSide(whole || !x.endsWithConn)
	}
	c.idleIfDone()
	close(x.ended)
	c.mu.Unlock()
	select {
	case c.changed <- struct{}{}:
	default: // a signal is pending
	}
}

// endSide ends this side of the connection after the last response. If the end would
// complete a response that is not whole, it resets the connection.
func (c *conn) endSide(orderly bool) {
	tcpConn, ok := c.nc.(interface {
		CloseWrite() error
		SetLinger(seconds int) error
	})
	if ok && orderly && tcpConn.CloseWrite() == nil {
		c.setReadTimeout(lingerTime)
		return
	}
	if ok && !orderly {
		_ = tcpConn.SetLinger(0) // fails only if the connection is closed
	}
	_ = c.nc.Close() // ends the reading, too
}

// idleIfDone starts the idle time if no request is under way. c.mu must be held.
func (c *conn) idleIfDone() {
	if c.pipeline.running > 0 || c.last == nil || !c.waiting && !c.responded {
		return
	}
	c.server.connState(c.nc, http.StateIdle)
	if !c.responded {
		c.waitingSince = time.Now()
		c.setReadTimeoutFrom(c.waitingSince, c.waitLimit())
	}
}

func isBufferFull(err error) bool { return errors.Is(err, bufio.ErrBufferFull) }

// failed reports whether an earlier response closed the connection.
func (c *conn) failed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.responded
}

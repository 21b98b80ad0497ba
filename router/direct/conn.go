package direct

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"bronzewind.example/core/tcp"
)

const (
	dialTimeout        = 600 * time.Millisecond
	defaultIdleTimeout = 4 * time.Second // if the server sends no Keep-Alive timeout; used without idleTimeoutMargin
	idleTimeoutMargin  = time.Second     // time before the server's Keep-Alive timeout at which connections expire
	maxIdleTimeout     = 60 * time.Second
	readBufferSize     = 4 << 10

	// maxHeadBytes limits the bytes that a server may send before the body of its
	// response begins, informational responses included.
	maxHeadBytes = 64 << 10

	// rememberedRequests is the number of requests on a connection that are not sent on
	// it again.
	rememberedRequests = 8

	// ackTimeout is the time after which the kernel closes a connection whose sent
	// bytes are not acknowledged (TCP_USER_TIMEOUT).
	ackTimeout = 900 * time.Millisecond

	// connWaitTimeout is how long a request waits for an available connection when
	// the instance has reached its connection limit.
	connWaitTimeout = 250 * time.Millisecond
)

type (
	// pool holds the connections to one backend server.
	pool struct {
		dial tcp.DialFunc // nil means Dial

		mu        sync.Mutex
		idle      []*conn // most recently used last; guarded by mu
		open      int     // connections idle, in use or being opened; guarded by mu
		dialCount uint64  // connections opened or attempted; not read at present; guarded by mu
		closed    bool    // guarded by mu
		// available signals one waiting request that a connection became idle or was
		// closed. It has a buffer of one and is nil until the first request waits;
		// guarded by mu.
		available chan struct{}
	}

	// conn is a connection that carries one request at a time.
	conn struct {
		net.Conn
		reader       *bufio.Reader
		bytesWritten int64 // of the current request, as accepted by the kernel
		bytesRead    int64 // of the current response
		headLimit    int64 // value of bytesRead at which the head of the response is too long; 0 while a body is read
		reused       bool
		requests     uint64                     // sent on the connection
		requestIDs   [rememberedRequests]string // of the last requests; that of request n, from 0, at n modulo the length
		idleTimeout  time.Duration
		idleSince    time.Time
	}
)

var errHeadTooLong = fmt.Errorf("the head of the response exceeds %d bytes", maxHeadBytes)

var errConnLimit = errors.New("no connection to the backend server became available at this instance's connection limit")

// accepts reports whether the server accepts a connection, which is closed at once.
func (p *pool) accepts(ctx context.Context, address string) bool {
	c, _, err := p.connect(ctx, address, time.Now().Add(dialTimeout))
	if err != nil {
		return false
	}
	_ = c.Close() // nothing was sent
	return true
}

// get returns an idle connection on which no request with requestID was sent before, or
// opens a new one. A connection that has been idle for maxIdle is not used, unless maxIdle
// is 0. If limit connections are already open, get waits up to connWaitTimeout until one is
// available: idle, or closed so that another may be opened. The second result is the time
// taken to open the connection; 0 if it was reused.
func (p *pool) get(ctx context.Context, address, requestID string, limit int, maxIdle time.Duration, deadline time.Time) (*conn, time.Duration, error) {
	waitUntil := time.Now().Add(connWaitTimeout)
	if deadline.Before(waitUntil) {
		waitUntil = deadline
	}
	for {
		if c := p.takeIdle(time.Now(), requestID, maxIdle); c != nil {
			return c, 0, nil
		}
		available := p.reserve(limit)
		if available == nil {
			break
		}
		if !waitAvailable(ctx, available, time.Until(waitUntil)) {
			return nil, 0, fmt.Errorf("%w of %d", errConnLimit, limit)
		}
	}
	c, dialTime, err := p.connect(ctx, address, deadline)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.signalAvailable()
		p.mu.Unlock()
		return nil, 0, err
	}
	return c, dialTime, nil
}

// reserve counts a new connection if fewer than limit are open and returns nil.
// Otherwise it returns the channel that signals when a connection becomes
// available.
func (p *pool) reserve(limit int) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open < limit {
		p.open++
		p.dialCount++
		return nil
	}
	if p.available == nil {
		p.available = make(chan struct{}, 1)
	}
	return p.available
}

// signalAvailable wakes one request that waits for a connection. p.mu must be
// held.
func (p *pool) signalAvailable() {
	select {
	case p.available <- struct{}{}:
	default: // no request is waiting, or a signal is already pending
	}
}

// waitAvailable waits until a connection is available. It returns false after
// timeout or when the caller cancels the request.
func waitAvailable(ctx context.Context, available <-chan struct{}, timeout time.Duration) bool {
	if timeout <= 0 {
		return false
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return false
	case <-available:
		return true
	}
}

// Dial opens a connection to a backend server or to another instance; it is a
// tcp.DialFunc.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1, Control: tcp.UserTimeout(ackTimeout)}
	return d.DialContext(ctx, network, address)
}

// connect opens a connection and returns it with the time taken.
func (p *pool) connect(ctx context.Context, address string, deadline time.Time) (*conn, time.Duration, error) {
	start := time.Now()
	if latest := start.Add(dialTimeout); latest.Before(deadline) {
		deadline = latest
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	dial := p.dial
	if dial == nil {
		dial = Dial
	}
	raw, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, 0, err
	}
	c := &conn{Conn: raw, idleTimeout: defaultIdleTimeout}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	return c, time.Since(start), nil
}

// takeIdle returns an idle connection that is still open, has no unexpected bytes to
// read, has not carried requestID and has not been idle for maxIdle; nil if there is none.
// The server may send a second copy of an earlier response, which differs from the next
// response in its request ID alone.
func (p *pool) takeIdle(now time.Time, requestID string, maxIdle time.Duration) *conn {
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			return nil
		}
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		if n > 1 {
			p.signalAvailable() // another waiting request can take the next one
		}
		p.mu.Unlock()
		idle := now.Sub(c.idleSince)
		if idle < c.idleTimeout && (maxIdle == 0 || idle < maxIdle) && !c.carried(requestID) && c.reusable() {
			c.reused, c.bytesWritten, c.bytesRead = true, 0, 0
			return c
		}
		p.closeConn(c)
	}
}

// put returns c to the pool for the next request.
func (p *pool) put(c *conn, now time.Time) {
	c.idleSince = now
	_ = c.SetDeadline(time.Time{}) // if it fails, the next use fails too
	p.mu.Lock()
	closed := p.closed
	if !closed {
		p.idle = append(p.idle, c)
		p.signalAvailable()
	}
	p.mu.Unlock()
	if closed {
		p.closeConn(c)
	}
}

func (p *pool) openCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// putUnused returns c to the pool, on which nothing was sent since get. A reused connection
// has been idle since its last request.
func (p *pool) putUnused(c *conn, now time.Time) {
	if c.reused {
		now = c.idleSince
	}
	p.put(c, now)
}

// closeConn closes c, after which another connection may be opened.
func (p *pool) closeConn(c *conn) {
	_ = c.Close() // no data on the connection is needed any more
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.signalAvailable()
}

// closeExpired closes connections that have been idle for their idle timeout.
func (p *pool) closeExpired(now time.Time) {
	var expired []*conn
	p.mu.Lock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.idleSince) >= c.idleTimeout {
			expired = append(expired, c)
		} else {
			kept = append(kept, c)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range expired {
		p.closeConn(c)
	}
}

// close closes the idle connections. Connections in use are closed after their
// current request. A request in progress may still open a connection, which is
// closed after it.
func (p *pool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		p.closeConn(c)
	}
}

// Write implements net.Conn and counts the bytes written.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytesWritten += int64(n)
	return n, err
}

// remember records the ID of the request that is about to be sent.
func (c *conn) remember(requestID string) {
	c.requestIDs[c.requests%rememberedRequests] = requestID
	c.requests++
}

// carried reports whether a request with requestID is among the last ones that were sent
// on the connection.
func (c *conn) carried(requestID string) bool {
	return requestID != "" && slices.Contains(c.requestIDs[:], requestID)
}

// Read implements net.Conn and counts the bytes read.
func (c *conn) Read(b []byte) (int, error) {
	if c.headLimit > 0 && c.bytesRead >= c.headLimit {
		return 0, errHeadTooLong
	}
	n, err := c.Conn.Read(b)
	c.bytesRead += int64(n)
	return n, err
}

// reusable reports whether the connection is open and has no unread bytes; bytes
// that belong to no request would be taken for the next response.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	return tcp.OpenAndEmpty(c.Conn)
}

// setIdleTimeout sets the idle timeout from the server's Keep-Alive header, less
// idleTimeoutMargin.
func (c *conn) setIdleTimeout(header string) {
	for _, f := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(f), "=")
		seconds, err := strconv.Atoi(value)
		if name != "timeout" || err != nil {
			continue
		}
		c.idleTimeout = min(max(time.Duration(seconds)*time.Second-idleTimeoutMargin, 0), maxIdleTimeout)
	}
}

// closedByPeer reports whether err means that the peer closed or reset the
// connection, as opposed to a timeout.
func closedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

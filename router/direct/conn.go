package direct

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"bronzewind.example/core/tcp"
)

const (
	dialTimeout        = 600 * time.Millisecond
	defaultIdleTimeout = 4 * time.Second // of an unused connection whose server names no time
	idleTimeoutMargin  = time.Second     // before the server's own timeout
	maxIdleTimeout     = 60 * time.Second
	readBufferSize     = 4 << 10

	// ackTimeout ends a connection on which sent bytes are not acknowledged.
	ackTimeout = 900 * time.Millisecond

	// connWaitTimeout is how long a request waits for a connection when the instance may
	// open no more.
	connWaitTimeout = 250 * time.Millisecond
)

type (
	// pool holds the connections to one backend server.
	pool struct {
		mu        sync.Mutex
		idle      []*conn // last used at the end; guarded by mu
		open      int     // guarded by mu
		dialCount uint64  // guarded by mu
		closed    bool    // guarded by mu
		// freed holds one when a connection was kept or closed since a request began
		// to wait for it; nil before the first waits; guarded by mu.
		freed chan struct{}
	}

	// conn is a connection that carries one request at a time.
	conn struct {
		net.Conn
		reader       *bufio.Reader
		bytesWritten int64 // bytes of the present request that were handed to the kernel
		bytesRead    int64 // bytes of the present answer that came
		reused       bool
		idleTimeout  time.Duration // how long it may stay unused
		idleSince    time.Time
	}
)

var errConnLimit = errors.New("as many connections to the backend server are open as this instance may have")

// get returns an open connection; limit bounds how many there are, and a request
// over it waits a little for one. The second result is the time that opening it
// took; 0 for one that was used before.
func (p *pool) get(ctx context.Context, address string, limit int, deadline time.Time) (*conn, time.Duration, error) {
	until := time.Now().Add(connWaitTimeout)
	if deadline.Before(until) {
		until = deadline
	}
	for {
		if c := p.takeIdle(time.Now()); c != nil {
			return c, 0, nil
		}
		freed := p.reserve(limit)
		if freed == nil {
			break
		}
		if !waitFreed(ctx, freed, time.Until(until)) {
			return nil, 0, errConnLimit
		}
	}
	c, took, err := dial(ctx, address, deadline)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.signalFreed()
		p.mu.Unlock()
		return nil, 0, err
	}
	return c, took, nil
}

// reserve counts a connection that is about to be opened; where there are limit
// already, it returns what tells that one was freed.
func (p *pool) reserve(limit int) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open < limit {
		p.open++
		p.dialCount++
		return nil
	}
	if p.freed == nil {
		p.freed = make(chan struct{}, 1)
	}
	return p.freed
}

// signalFreed wakes one request that waits for a connection; p.mu is held.
func (p *pool) signalFreed() {
	select {
	case p.freed <- struct{}{}:
	default: // nobody waits, or one is woken already
	}
}

// waitFreed waits for a freed connection; it returns false when limit passed or
// the caller left.
func waitFreed(ctx context.Context, freed <-chan struct{}, limit time.Duration) bool {
	if limit <= 0 {
		return false
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return false
	case <-freed:
		return true
	}
}

func dial(ctx context.Context, address string, deadline time.Time) (*conn, time.Duration, error) {
	d := net.Dialer{Timeout: dialTimeout, Deadline: deadline, KeepAlive: -1, Control: tcp.UserTimeout(ackTimeout)}
	began := time.Now()
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, 0, err
	}
	c := &conn{Conn: raw, idleTimeout: defaultIdleTimeout}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	return c, time.Since(began), nil
}

// takeIdle returns an unused connection that is still open and has no stray bytes.
func (p *pool) takeIdle(now time.Time) *conn {
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
			p.signalFreed() // for another that waits
		}
		p.mu.Unlock()
		if now.Sub(c.idleSince) < c.idleTimeout && c.reusable() {
			c.reused, c.bytesWritten, c.bytesRead = true, 0, 0
			return c
		}
		p.closeConn(c)
	}
}

// put keeps c for the next request.
func (p *pool) put(c *conn, now time.Time) {
	c.idleSince = now
	_ = c.SetDeadline(time.Time{}) // a failure shows at the next use
	p.mu.Lock()
	closed := p.closed
	if !closed {
		p.idle = append(p.idle, c)
		p.signalFreed()
	}
	p.mu.Unlock()
	if closed {
		p.closeConn(c)
	}
}

// closeConn closes c.
func (p *pool) closeConn(c *conn) {
	_ = c.Close() // nothing is left to lose on it
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.signalFreed()
}

// closeExpired closes connections that were unused for as long as their server keeps
// them.
func (p *pool) closeExpired(now time.Time) {
	var old []*conn
	p.mu.Lock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.idleSince) >= c.idleTimeout {
			old = append(old, c)
		} else {
			kept = append(kept, c)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range old {
		p.closeConn(c)
	}
}

// close ends the unused connections; those in use end after their request.
func (p *pool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		p.closeConn(c)
	}
}

// reachable reports whether the server still has one of the unused connections open,
// or else accepts a new one.
func (p *pool) reachable(ctx context.Context, address string, limit int) bool {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, _, err := p.get(ctx, address, limit, time.Now().Add(dialTimeout))
	if err != nil {
		return errors.Is(err, errConnLimit)
	}
	p.put(c, time.Now())
	return true
}

// Write implements net.Conn and counts.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytesWritten += int64(n)
	return n, err
}

// Read implements net.Conn and counts.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytesRead += int64(n)
	return n, err
}

// reusable reports whether the connection is open and holds no bytes that nobody
// asked for.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// setIdleTimeout takes the time for which the server keeps an unused connection.
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

// closedByPeer reports whether err says that the peer ended the connection, rather
// than that time ran out.
func closedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

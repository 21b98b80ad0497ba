package caller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"bronzewind.example/core/code"
	"bronzewind.example/core/config"
)

const (
	defaultHeaderBytes   = 32 << 10
	defaultHeaderTimeout = 5 * time.Second
	defaultConnections   = 4096
	defaultMoveTime      = 2 * time.Second
	idleConnTimeout      = 2 * time.Minute
	refusalTimeout       = time.Second
	acceptPause          = 10 * time.Millisecond

	// drainLimit bounds the wait for running requests at a shutdown; those that
	// are left are cut off.
	drainLimit = 30 * time.Second
)

type (
	// door accepts the connections of callers. Each one is served under the
	// limits that were in force when it was accepted.
	door struct {
		server   *Server
		listener net.Listener

		mu       sync.Mutex
		open     int            // connections; guarded by mu
		current  *generation    // nil before the first connection; guarded by mu
		all      []*generation  // current, and earlier ones with open connections; guarded by mu
		serving  sync.WaitGroup // of all generations
		refusing sync.WaitGroup
	}

	// generation serves the connections that were accepted under equal limits.
	generation struct {
		limits doorLimits
		http   *http.Server
		conns  chan net.Conn
		done   chan struct{} // closed when it accepts no more
		once   sync.Once
		addr   net.Addr
		open   int // connections; guarded by the door's mu
	}

	// doorLimits are the limits of a connection; none is 0.
	doorLimits struct {
		headerBytes   int
		headerTimeout time.Duration
		connections   int
	}

	// doorConn counts as open until it is closed.
	doorConn struct {
		net.Conn
		once sync.Once
		left func()
	}
)

// Serve answers callers at address until ctx ends. Then callers are asked to
// move, for the move time of the configuration, while requests are still
// served; after that no connection is accepted and running requests finish. It
// reports its end on done.
func (s *Server) Serve(ctx context.Context, address string, done chan<- error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		done <- fmt.Errorf("callers: %w", err)
		return
	}
	s.ServeListener(ctx, l, done)
}

// ServeListener does as Serve on l, and closes it.
func (s *Server) ServeListener(ctx context.Context, l net.Listener, done chan<- error) {
	done <- s.serve(ctx, l)
}

func (s *Server) serve(ctx context.Context, l net.Listener) error {
	d := &door{server: s, listener: l}
	accepted := make(chan error, 1)
	go func() { accepted <- d.accept() }()
	select {
	case err := <-accepted:
		return errors.Join(err, d.shutdown())
	case <-ctx.Done():
	}
	s.AskToMove()
	timer := s.clock.NewTimer(s.moveTime())
	defer timer.Stop()
	select {
	case <-timer.C:
	case err := <-accepted:
		return errors.Join(err, d.shutdown())
	}
	l.Close()
	<-accepted
	return d.shutdown()
}

// AskToMove tells callers from now on to close their connections, so that they
// come back through another instance.
func (s *Server) AskToMove() { s.moving.Store(true) }

func (s *Server) moveTime() time.Duration {
	if t := s.table.Load(); t != nil && t.Configuration.Limits.MoveTime > 0 {
		return t.Configuration.Limits.MoveTime.Std()
	}
	return defaultMoveTime
}

func (s *Server) doorLimits() doorLimits {
	var l config.Limits
	if t := s.table.Load(); t != nil {
		l = t.Configuration.Limits
	}
	out := doorLimits{headerBytes: l.HeaderBytes, headerTimeout: l.HeaderTimeout.Std(), connections: l.Connections}
	if out.headerBytes <= 0 {
		out.headerBytes = defaultHeaderBytes
	}
	if out.headerTimeout <= 0 {
		out.headerTimeout = defaultHeaderTimeout
	}
	if out.connections <= 0 {
		out.connections = defaultConnections
	}
	return out
}

// accept takes connections until the listener is closed.
func (d *door) accept() error {
	for {
		c, err := d.listener.Accept()
		var temporary net.Error
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.As(err, &temporary):
			time.Sleep(acceptPause) // out of descriptors, which others free
		case err != nil:
			return fmt.Errorf("callers: %w", err)
		default:
			d.take(c)
		}
	}
}

// take serves c, or refuses it when too many connections are open.
func (d *door) take(c net.Conn) {
	limits := d.server.doorLimits()
	d.mu.Lock()
	full := d.open >= limits.connections
	g := d.generation(limits)
	if !full {
		d.open++
		g.open++
	}
	d.mu.Unlock()
	if full {
		d.refusing.Go(func() { refuseConn(c) })
		return
	}
	select {
	case g.conns <- &doorConn{Conn: c, left: func() { d.left(g) }}:
	case <-g.done:
		c.Close()
		d.left(g)
	}
}

func (d *door) left(g *generation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open--
	g.open--
	d.forget(g)
}

// forget drops a generation that is not current once its connections have
// gone; d.mu is held.
func (d *door) forget(g *generation) {
	if g == d.current || g.open > 0 {
		return
	}
	g.Close()
	d.all = slices.DeleteFunc(d.all, func(o *generation) bool { return o == g })
}

// generation returns what serves connections under limits; d.mu is held.
func (d *door) generation(limits doorLimits) *generation {
	if d.current != nil && d.current.limits == limits {
		return d.current
	}
	g := &generation{
		limits: limits, conns: make(chan net.Conn), done: make(chan struct{}), addr: d.listener.Addr(),
		http: &http.Server{
			Handler: d.server, ReadHeaderTimeout: limits.headerTimeout,
			MaxHeaderBytes: limits.headerBytes, IdleTimeout: idleConnTimeout,
		},
	}
	d.serving.Go(func() { _ = g.http.Serve(g) })
	old := d.current
	d.current, d.all = g, append(d.all, g)
	if old != nil {
		d.forget(old)
	}
	return g
}

// shutdown lets running requests finish within the drain limit.
func (d *door) shutdown() error {
	d.listener.Close()
	ctx, cancel := context.WithTimeout(context.Background(), drainLimit)
	defer cancel()
	d.mu.Lock()
	all := slices.Clone(d.all)
	d.mu.Unlock()
	var wg sync.WaitGroup
	errs := make([]error, len(all))
	for i, g := range all {
		wg.Go(func() {
			if errs[i] = g.http.Shutdown(ctx); errs[i] != nil {
				g.http.Close()
			}
		})
	}
	wg.Wait()
	d.serving.Wait()
	d.refusing.Wait()
	return errors.Join(errs...)
}

// refuseConn answers a connection that is one too many.
func refuseConn(c net.Conn) {
	defer c.Close()
	e := code.TooManyConnections
	_ = c.SetDeadline(time.Now().Add(refusalTimeout))
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n%s: %s\r\n%s: %s\r\n\r\n",
		e.Status(), http.StatusText(e.Status()), code.Header, strconv.Itoa(int(e)), code.OutcomeHeader, e.Outcome())
}

// Accept implements net.Listener.
func (g *generation) Accept() (net.Conn, error) {
	select {
	case c := <-g.conns:
		return c, nil
	case <-g.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (g *generation) Close() error {
	g.once.Do(func() { close(g.done) })
	return nil
}

// Addr implements net.Listener.
func (g *generation) Addr() net.Addr { return g.addr }

// Close implements net.Conn.
func (c *doorConn) Close() error {
	c.once.Do(c.left)
	return c.Conn.Close()
}

// Package http1 serves callers' HTTP/1.1 connections. Unlike net/http's server, it runs
// idempotent requests that a caller sends before it has the response to an earlier one
// (pipelining) at the same time, and still writes the responses in order.
//
//	         one goroutine per connection                     one goroutine per request
//	bytes --> head --> may it start beside the others? --> handler --> its turn? --> response
//	  |                     | no                                                        |
//	  |                     +<------------- wait until a response has ended <-----------+
//	  +-- end of the caller's side, or a broken connection: all contexts are cancelled
//
// What may start is decided in pipeline.go, how a connection ends in conn.go.
package http1

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	defaultMaxHeadBytes = 64 << 10

	// After a failed accept, as without free file descriptors, the next one is tried after
	// minAcceptBackoff, doubled with each further failure up to maxAcceptBackoff.
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = time.Second
)

type (
	// Server serves an http.Handler on connections. A handler that returns without a
	// response, or panics, has its connection closed; there is no implicit success.
	Server struct {
		handler        http.Handler
		mayRunBeside   func(*http.Request) bool
		requestContext func(ctx context.Context, c net.Conn, arrivedAt time.Time) context.Context
		connState      func(net.Conn, http.ConnState)
		onPanic        func(reason any)
		callerLimits   func() Limits
		limits         pipelineLimits
		metrics        *Metrics

		mu      sync.Mutex
		closed  bool               // guarded by mu
		conns   map[*conn]struct{} // guarded by mu
		running sync.WaitGroup     // goroutines of connections and requests
	}

	// Option configures a Server at its construction.
	Option func(*Server)
)

// WithPipelining sets which requests may run while earlier ones on their connection do:
// those for which mayRunBeside is true and that have no body. Without this option each
// request waits for the response to the one before. mayRunBeside must not keep the request.
func WithPipelining(mayRunBeside func(*http.Request) bool) Option {
	return func(s *Server) { s.mayRunBeside = mayRunBeside }
}

// WithRequestContext sets how the context of a request is made from that of its connection,
// which ends when the caller closes the connection or its side of it. arrivedAt is when the
// first byte of the request arrived, as far as it is known.
func WithRequestContext(f func(ctx context.Context, c net.Conn, arrivedAt time.Time) context.Context) Option {
	return func(s *Server) { s.requestContext = f }
}

// WithConnState sets a function that is called with http.StateActive when a request begins
// to arrive, and with http.StateIdle when all responses have ended. Calls for one connection
// come one at a time. The function must not block.
func WithConnState(f func(net.Conn, http.ConnState)) Option {
	return func(s *Server) { s.connState = f }
}

// WithPanicHandler sets the function that is called when a handler panics other than with
// http.ErrAbortHandler.
func WithPanicHandler(f func(reason any)) Option {
	return func(s *Server) { s.onPanic = f }
}

// WithTimeouts sets how long a head may take to arrive, on a new connection from its start,
// and how long a connection may be without a request. 0 means no limit.
func WithTimeouts(header, idle time.Duration) Option {
	return WithLimits(func() Limits { return Limits{HeadTimeout: header, FirstByteTimeout: header, IdleTimeout: idle} })
}

// NewServer returns a Server that serves h.
func NewServer(h http.Handler, options ...Option) *Server {
	s := &Server{
		handler: h, limits: defaultPipelineLimits, conns: map[*conn]struct{}{},
		callerLimits:   func() Limits { return Limits{} },
		mayRunBeside:   func(*http.Request) bool { return false },
		requestContext: func(ctx context.Context, _ net.Conn, _ time.Time) context.Context { return ctx },
		connState:      func(net.Conn, http.ConnState) {},
		onPanic:        func(any) {},
		metrics:        &Metrics{},
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Serve serves the connections that l accepts, and returns the error that ended l. It does
// not close them then.
func (s *Server) Serve(l net.Listener) error {
	backoff := minAcceptBackoff
	for {
		nc, err := l.Accept()
		var temporary interface{ Temporary() bool }
		switch {
		case err == nil:
			backoff = minAcceptBackoff
			s.serveConn(nc)
		case errors.As(err, &temporary) && temporary.Temporary():
			time.Sleep(backoff)
			backoff = min(2*backoff, maxAcceptBackoff)
		default:
			return err
		}
	}
}

// Close closes all connections and cancels the contexts of their requests.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		c.cancel()
		_ = c.nc.Close() // the connection is given up
	}
}

// Wait waits until all connections and handlers have ended.
func (s *Server) Wait() { s.running.Wait() }

func (s *Server) serveConn(nc net.Conn) {
	c := newConn(s, nc)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		c.cancel()
		_ = nc.Close() // nothing was read
		return
	}
	s.conns[c] = struct{}{}
	s.metrics.open.Add(1)
	s.running.Go(c.serve)
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.metrics.open.Add(-1)
}

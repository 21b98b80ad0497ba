// Package caller answers the callers over HTTP: it finds the key's owner and
// relays the answer.
package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"bronzewind.example/core/clock"
	"bronzewind.example/core/code"
	"bronzewind.example/core/record"
	"bronzewind.example/core/route"
	"bronzewind.example/router/dispatch"
)

const (
	// lengthenedBytes bounds an answer that is read whole to find its length.
	lengthenedBytes = 1 << 20

	maxCopyBytes = 32 << 10

	// verdictWait is how long past the deadline the entry waits for the
	// dispatcher's word, which knows whether the request had started.
	verdictWait = 150 * time.Millisecond
)

type (
	// Local runs requests on this instance's own dispatchers.
	Local interface {
		Do(ctx context.Context, r *dispatch.Request) (*dispatch.Response, error)
	}

	// Remote runs requests on the dispatcher of another instance.
	Remote interface {
		Do(ctx context.Context, server *route.Server, r *dispatch.Request) (*dispatch.Response, error)
	}

	// Server is the entry of one instance.
	Server struct {
		self     record.Writer
		local    Local
		remote   Remote
		clock    clock.Clock
		tracer   trace.Tracer
		log      *slog.Logger
		draining atomic.Bool
		moving   atomic.Bool // callers are asked to close their connections
		budget   budget

		table   atomic.Pointer[route.Table]
		mu      sync.Mutex
		changed chan struct{} // closed at each SetTable; guarded by mu
	}

	// Option changes a Server at its construction.
	Option func(*Server)
)

// WithClock sets the clock; the default is the system's.
func WithClock(c clock.Clock) Option { return func(s *Server) { s.clock = c } }

// WithTracer sets the tracer of the entry spans; the default traces nothing.
func WithTracer(t trace.Tracer) Option { return func(s *Server) { s.tracer = t } }

// NewServer returns the entry of the instance self; it answers not-ready until
// SetTable.
func NewServer(self record.Writer, local Local, remote Remote, log *slog.Logger, options ...Option) *Server {
	s := &Server{
		self: self, local: local, remote: remote, log: log,
		clock: clock.System{}, tracer: noop.NewTracerProvider().Tracer(""),
		changed: make(chan struct{}),
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// SetTable replaces the snapshot and wakes requests that wait for a route.
func (s *Server) SetTable(t *route.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Store(t)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Drain refuses new requests from now on.
func (s *Server) Drain() { s.draining.Store(true) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := s.tracer.Start(ctx, "entry", trace.WithAttributes(attribute.String("path", r.URL.Path)))
	defer span.End()
	if s.moving.Load() {
		w.Header().Set("Connection", "close")
	}
	req, err := s.read(w, r)
	if err != nil {
		s.refuse(w, err)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline.Add(verdictWait))
	defer cancel()
	answer, err := s.route(ctx, req)
	if err != nil {
		s.refuse(w, blame(req, err))
		return
	}
	s.relay(w, r, answer)
}

// try sends r to the owner that the present snapshot names.
func (s *Server) try(ctx context.Context, r *dispatch.Request) (*dispatch.Response, error) {
	t := s.table.Load()
	v, ok := t.Service(r.Service)
	if !ok {
		return nil, code.NewError(code.NoService, "service "+r.Service+" is configured no longer")
	}
	server, _, ok := v.Lookup(r.Hash)
	if !ok {
		return nil, code.NewError(code.NoOwner, "no backend server owns the key at present")
	}
	r.Server = server.Name
	if server.Dispatcher == t.Self {
		return s.local.Do(ctx, r)
	}
	ctx, span := s.tracer.Start(ctx, "forward", trace.WithAttributes(
		attribute.String("dispatcher", server.Dispatcher.Instance)))
	defer span.End()
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(r.Header))
	return s.remote.Do(ctx, server, r)
}

func (s *Server) change() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// relay passes the answer on. One that is cut off breaks the connection, so
// that the caller can't take it for whole.
func (s *Server) relay(w http.ResponseWriter, r *http.Request, a *dispatch.Response) {
	defer a.Body.Close()
	if a.Length < 0 && !r.ProtoAtLeast(1, 1) {
		s.lengthen(a)
	}
	copyHeader(w.Header(), a.Header)
	w.Header().Set(code.OutcomeHeader, code.Done.String())
	if a.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	out := &callerWriter{w: w, control: http.NewResponseController(w), idle: bodyIdle(s.table.Load())}
	w.WriteHeader(a.Status)
	if _, err := io.CopyBuffer(out, a.Body, make([]byte, copyBytes(a.Length))); err != nil {
		s.cutOff(err)
	}
}

// copyBytes returns the size of a buffer to copy a body of length bytes with;
// a negative length is not known.
func copyBytes(length int64) int64 {
	if length < 0 {
		return maxCopyBytes
	}
	return min(length+1, maxCopyBytes)
}

// lengthen finds the length of an answer for a caller whose protocol has no
// chunks, and so no other way to tell a whole answer from one that is cut off.
func (s *Server) lengthen(a *dispatch.Response) {
	data, err := io.ReadAll(io.LimitReader(a.Body, lengthenedBytes+1))
	if err == nil && len(data) > lengthenedBytes {
		err = errors.New("the answer has no length and is too large for HTTP/1.0")
	}
	if err != nil {
		s.cutOff(err)
	}
	a.Body, a.Length = io.NopCloser(bytes.NewReader(data)), int64(len(data))
}

// cutOff breaks the caller's connection.
func (s *Server) cutOff(err error) {
	s.log.Info("answer cut off", "code", int(code.AnswerCutOff), "error", err)
	panic(http.ErrAbortHandler)
}

func (s *Server) refuse(w http.ResponseWriter, err error) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(bodyIdle(s.table.Load())))
	e := &code.Error{Code: code.DispatcherLost, Reason: err.Error()}
	errors.As(err, &e)
	w.Header().Set(code.Header, strconv.Itoa(int(e.Code)))
	w.Header().Set(code.OutcomeHeader, e.Code.Outcome().String())
	http.Error(w, e.Error(), e.Code.Status())
}

// bodyIdle returns the longest wait for one read from a caller or one write to
// it.
func bodyIdle(t *route.Table) time.Duration {
	if t == nil || t.Configuration.Limits.BodyIdleTimeout <= 0 {
		return defaultBodyIdle
	}
	return t.Configuration.Limits.BodyIdleTimeout.Std()
}

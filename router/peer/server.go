package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"go.opentelemetry.io/otel/propagation"

	"bronzewind.example/core/code"
	"bronzewind.example/core/config"
	"bronzewind.example/core/keyspace"
	"bronzewind.example/router/dispatch"
)

type (
	// Doer runs a request on a local dispatcher.
	Doer interface {
		Do(ctx context.Context, r *dispatch.Request) (*dispatch.Response, error)
	}

	// Server takes forwarded requests from other instances.
	Server struct {
		identity *Identity
		doer     Doer
		trusted  func(fingerprint []byte) bool
		kind     func(service, kind string) (*config.Kind, bool)
		log      *slog.Logger
		streams  streamCount
		snapshot func(ctx context.Context) ([]byte, error) // nil when none is served
	}

	// streamCount counts the streams that run. The zero value is ready for use.
	streamCount struct {
		mu      sync.Mutex
		running int
		changed chan struct{} // closed at the next end; nil when nobody waits
	}
)

const (
	lingerTime = 300 * time.Millisecond
	drainLimit = 30 * time.Second
)

// NewServer returns a server that hands requests to doer. trusted says which
// peers are members; kind finds a kind of work in the configuration in force.
func NewServer(identity *Identity, doer Doer, trusted func([]byte) bool, kind func(service, kind string) (*config.Kind, bool), log *slog.Logger, options ...ServerOption) *Server {
	s := &Server{identity: identity, doer: doer, trusted: trusted, kind: kind, log: log}
	for _, o := range options {
		o(s)
	}
	return s
}

// Serve listens on address until ctx ends. Then it lets running streams finish
// and goes on to answer new ones, until there was none for the linger time, and
// reports its end on done.
func (s *Server) Serve(ctx context.Context, address string, done chan<- error) {
	conn, err := net.ListenPacket("udp", address)
	if err != nil {
		done <- fmt.Errorf("forward address %s: %w", address, err)
		return
	}
	s.ServePacket(ctx, conn, done)
}

// ServePacket does as Serve on conn, and closes it.
func (s *Server) ServePacket(ctx context.Context, conn net.PacketConn, done chan<- error) {
	err := s.serve(ctx, conn)
	if closeErr := conn.Close(); err == nil {
		err = closeErr
	}
	done <- err
}

func (s *Server) serve(ctx context.Context, packets net.PacketConn) error {
	l, err := quic.Listen(packets, s.tlsConfig(), quicConfig())
	if err != nil {
		return fmt.Errorf("forward address %s: %w", packets.LocalAddr(), err)
	}
	defer l.Close()
	conns, cut := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cut()
	for {
		conn, err := l.Accept(ctx)
		if ctx.Err() != nil {
			s.drain()
			return nil
		}
		if err != nil {
			return fmt.Errorf("forward address %s: %w", packets.LocalAddr(), err)
		}
		wg.Go(func() { s.serveConn(conns, conn) })
	}
}

// drain waits until no stream has run for the linger time, in which the last
// bytes of the answers arrive, or until the drain limit.
func (s *Server) drain() {
	limit := time.NewTimer(drainLimit)
	defer limit.Stop()
	for {
		ended := s.streams.ended()
		linger := time.NewTimer(lingerTime)
		select {
		case <-limit.C:
			linger.Stop()
			return
		case <-ended:
			linger.Stop()
		case <-linger.C:
			if s.streams.idle() {
				return
			}
		}
	}
}

func (s *Server) serveConn(ctx context.Context, conn *quic.Conn) {
	var wg sync.WaitGroup
	defer func() {
		_ = conn.CloseWithError(0, "closing")
		wg.Wait()
	}()
	bodies := make(bodySlots, maxOpenBodies)
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		s.streams.begin()
		snapshot := conn.ConnectionState().TLS.NegotiatedProtocol == snapshotProtocol
		wg.Go(func() {
			defer s.streams.end()
			if snapshot {
				s.serveSnapshot(conn.Context(), stream)
				return
			}
			s.serveStream(conn.Context(), stream, bodies)
		})
	}
}

func (s *Server) serveStream(ctx context.Context, stream *quic.Stream, bodies bodySlots) {
	var first [1]byte
	if _, err := io.ReadFull(stream, first[:]); err != nil {
		abort(stream)
		return
	}
	marks, keepsMarks := s.doer.(CallHandler)
	switch kind := streamKind(first[0]); {
	case kind == requestStream:
		s.serveRequest(ctx, stream, bodies)
	case kind == markStream && keepsMarks:
		serveMark(marks, stream, s.log)
	default:
		abort(stream)
	}
}

func (s *Server) serveRequest(ctx context.Context, stream *quic.Stream, bodies bodySlots) {
	ctx, cancel := context.WithCancel(ctx)
	body := &askedBody{ctx: ctx, stream: stream, slots: bodies}
	defer body.release() // after cancel, which ends a wait for a slot
	defer cancel()
	defer stream.CancelRead(streamFailed)
	stopped := context.AfterFunc(stream.Context(), cancel)
	defer stopped()
	answer, err := s.handle(ctx, stream, body)
	if err != nil {
		s.refuse(stream, err)
		return
	}
	defer answer.Body.Close()
	head := answerHead{Code: code.OK, Status: answer.Status, Header: answer.Header, Length: answer.Length}
	if err := writeFrame(stream, head); err != nil {
		stream.CancelWrite(streamFailed)
		return
	}
	if _, err := io.Copy(stream, answer.Body); err != nil {
		stream.CancelWrite(streamFailed)
		return
	}
	stream.Close()
}

func (s *Server) refuse(stream *quic.Stream, err error) {
	head := answerHead{Code: code.MalformedRequest, Reason: err.Error()}
	var e *code.Error
	if errors.As(err, &e) {
		head.Code, head.Reason = e.Code, e.Reason
	}
	if err := writeFrame(stream, head); err != nil {
		s.log.Debug("refusal not sent", "error", err)
	}
	stream.Close()
}

func (s *Server) handle(ctx context.Context, stream *quic.Stream, body *askedBody) (*dispatch.Response, error) {
	var head requestHead
	if err := readFrame(stream, &head); err != nil {
		return nil, err
	}
	kind, ok := s.kind(head.Service, head.Kind)
	if !ok {
		return nil, code.NewError(code.StaleRoute, "this instance has no kind "+head.Kind+" yet")
	}
	r := &dispatch.Request{
		Service: head.Service, Kind: kind, Server: head.Server, Hash: keyspace.Hash(head.Hash),
		Method: head.Method, RequestURI: head.Target, Header: head.Header, Length: head.Length,
		Deadline:   time.Now().Add(time.Duration(head.LeftMillis) * time.Millisecond),
		CallerKind: head.Caller, IdempotencyKey: head.IdempotencyKey,
	}
	switch {
	case head.Streams:
		r.Body = body
	case len(head.Inline) > 0:
		r.Body, r.Length = bytes.NewReader(head.Inline), int64(len(head.Inline))
	}
	ctx = propagation.TraceContext{}.Extract(ctx, propagation.HeaderCarrier(head.Header))
	return s.doer.Do(ctx, r)
}

// askedBody asks the entry for the body at the first read, so that a queued
// upload crosses no link before it can start. If too many bodies of the connection
// are open, it waits until one ends.
type askedBody struct {
	ctx    context.Context // of the request
	stream *quic.Stream
	slots  bodySlots

	mu    sync.Mutex
	asked bool // holds one of slots; guarded by mu
}

// bodySlots limits the bodies that a connection receives at once, so that bodies
// which are not read leave room in its window for other streams.
type bodySlots chan struct{}

// Read implements io.Reader.
func (b *askedBody) Read(p []byte) (int, error) {
	if err := b.ask(); err != nil {
		return 0, err
	}
	return b.stream.Read(p)
}

func (b *askedBody) ask() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.asked {
		return nil
	}
	if err := b.ctx.Err(); err != nil {
		return err // release may have run already
	}
	select {
	case b.slots <- struct{}{}:
		b.asked = true
	case <-b.ctx.Done():
		return b.ctx.Err()
	}
	return writeFrame(b.stream, answerHead{WantsBody: true})
}

// release lets another body be asked for, once the request has ended.
func (b *askedBody) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.asked {
		<-b.slots
	}
}

func (c *streamCount) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running++
}

func (c *streamCount) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// ended returns a channel that is closed when the next stream ends.
func (c *streamCount) ended() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}

func (c *streamCount) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running == 0
}

package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"bronzewind.example/core/code"
	"bronzewind.example/core/config"
	"bronzewind.example/core/keyspace"
	"bronzewind.example/router/dispatch"
)

type (
	// Doer runs a request on a local dispatcher.
	Doer interface {
		Do(ctx context.Context, r *dispatch.Request) (*dispatch.Answer, error)
	}

	// Server takes forwarded requests from other instances.
	Server struct {
		identity *Identity
		doer     Doer
		trusted  func(fingerprint []byte) bool
		kind     func(service, kind string) (*config.Kind, bool)
		log      *slog.Logger
		snapshot func(ctx context.Context) ([]byte, error) // nil when none is served
	}
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

// Serve listens on address until ctx ends, then waits for its streams and
// reports its end on done.
func (s *Server) Serve(ctx context.Context, address string, done chan<- error) {
	done <- s.serve(ctx, address)
}

func (s *Server) serve(ctx context.Context, address string) error {
	l, err := quic.ListenAddr(address, s.tlsConfig(), quicConfig())
	if err != nil {
		return fmt.Errorf("forward address %s: %w", address, err)
	}
	defer l.Close()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		conn, err := l.Accept(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("forward address %s: %w", address, err)
		}
		wg.Go(func() { s.serveConn(ctx, conn) })
	}
}

func (s *Server) serveConn(ctx context.Context, conn *quic.Conn) {
	var wg sync.WaitGroup
	defer func() {
		wg.Wait()
		_ = conn.CloseWithError(0, "closing")
	}()
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		if conn.ConnectionState().TLS.NegotiatedProtocol == snapshotProtocol {
			wg.Go(func() { s.serveSnapshot(conn.Context(), stream) })
			continue
		}
		wg.Go(func() { s.serveStream(conn.Context(), stream) })
	}
}

func (s *Server) serveStream(ctx context.Context, stream *quic.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer stream.CancelRead(streamFailed)
	stopped := context.AfterFunc(stream.Context(), cancel)
	defer stopped()
	answer, err := s.handle(ctx, stream)
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

func (s *Server) handle(ctx context.Context, stream *quic.Stream) (*dispatch.Answer, error) {
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
		Method: head.Method, Target: head.Target, Header: head.Header, Length: head.Length,
		Deadline: time.Now().Add(time.Duration(head.LeftMillis) * time.Millisecond),
		Caller:   head.Caller, IdempotencyKey: head.IdempotencyKey,
	}
	switch {
	case head.Streams:
		r.Body = &askedBody{stream: stream}
	case len(head.Inline) > 0:
		r.Body, r.Length = bytes.NewReader(head.Inline), int64(len(head.Inline))
	}
	return s.doer.Do(ctx, r)
}

// askedBody asks the entry for the body at the first read, so that a queued
// upload crosses no link before it can start.
type askedBody struct {
	stream *quic.Stream
	asked  bool
}

// Read implements io.Reader.
func (b *askedBody) Read(p []byte) (int, error) {
	if !b.asked {
		b.asked = true
		if err := writeFrame(b.stream, answerHead{WantsBody: true}); err != nil {
			return 0, err
		}
	}
	return b.stream.Read(p)
}

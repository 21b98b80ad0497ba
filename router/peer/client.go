package peer

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"bronzewind.example/core/code"
	"bronzewind.example/core/route"
	"bronzewind.example/router/dispatch"
)

const (
	dialTimeout  = 300 * time.Millisecond
	idleTimeout  = 2 * time.Second
	keepAlive    = 500 * time.Millisecond
	maxStreams   = 1 << 14
	inlineBytes  = 32 << 10
	streamFailed = quic.StreamErrorCode(1)
)

type (
	// Client forwards requests to the dispatchers on other instances over one
	// connection for each.
	Client struct {
		identity *Identity

		mu    sync.Mutex
		conns map[string]*quic.Conn // by fingerprint; guarded by mu
	}
)

// NewClient returns a client that shows identity to its peers.
func NewClient(identity *Identity) *Client {
	return &Client{identity: identity, conns: map[string]*quic.Conn{}}
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: dialTimeout,
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAlive,
		MaxIncomingStreams:   maxStreams,
	}
}

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.CloseWithError(0, "closing")
	}
	c.conns = map[string]*quic.Conn{}
}

// Do forwards r to the instance that dispatches to server. Errors are
// *code.Error; what was never sent is said not to have run.
func (c *Client) Do(ctx context.Context, server *route.Server, r *dispatch.Request) (*dispatch.Answer, error) {
	conn, err := c.conn(ctx, server)
	if err != nil {
		return nil, code.NewError(code.DispatcherBusy, err.Error())
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		c.forget(server, conn)
		return nil, code.NewError(code.DispatcherBusy, err.Error())
	}
	a, err := exchange(ctx, stream, r)
	if err != nil {
		abort(stream)
	}
	return a, err
}

func abort(s *quic.Stream) {
	s.CancelRead(streamFailed)
	s.CancelWrite(streamFailed)
}

// exchange sends r on a fresh stream and reads the head of the answer.
func exchange(ctx context.Context, stream *quic.Stream, r *dispatch.Request) (*dispatch.Answer, error) {
	stop := context.AfterFunc(ctx, func() { abort(stream) })
	head, err := newRequestHead(r)
	if err != nil {
		stop()
		return nil, code.NewError(code.MalformedRequest, err.Error())
	}
	if err := writeFrame(stream, head); err != nil {
		stop()
		return nil, lost(ctx, err)
	}
	if !head.Streams {
		stream.Close()
	}
	a, err := readAnswer(stream, r)
	if err != nil {
		stop()
		var e *code.Error
		if errors.As(err, &e) {
			return nil, e
		}
		return nil, lost(ctx, err)
	}
	return &dispatch.Answer{
		Status: a.Status, Header: a.Header, Length: a.Length,
		Body: &streamBody{stream: stream, stop: stop},
	}, nil
}

func newRequestHead(r *dispatch.Request) (requestHead, error) {
	head := requestHead{
		Service: r.Service, Kind: r.Kind.Name, Server: r.Server, Hash: uint64(r.Hash),
		Method: r.Method, Target: r.Target, Header: r.Header, Length: r.Length,
		LeftMillis: time.Until(r.Deadline).Milliseconds(),
		Caller:     r.Caller, IdempotencyKey: r.IdempotencyKey,
	}
	if r.Body == nil {
		return head, nil
	}
	if r.Length < 0 || r.Length > inlineBytes {
		head.Streams = true
		return head, nil
	}
	head.Inline = make([]byte, r.Length)
	_, err := io.ReadFull(r.Body, head.Inline)
	return head, err
}

// readAnswer reads heads up to the answer, and streams the body when asked.
func readAnswer(stream *quic.Stream, r *dispatch.Request) (*answerHead, error) {
	for {
		var a answerHead
		if err := readFrame(stream, &a); err != nil {
			return nil, err
		}
		switch {
		case a.WantsBody:
			go sendBody(stream, r.Body)
		case a.Code != code.OK:
			return nil, code.NewError(a.Code, a.Reason)
		default:
			return &a, nil
		}
	}
}

// sendBody streams a body; it ends with the stream at the latest.
func sendBody(stream *quic.Stream, body io.Reader) {
	if _, err := io.Copy(stream, body); err != nil {
		stream.CancelWrite(streamFailed)
		return
	}
	stream.Close()
}

// lost classes a stream that broke after the request may have been read.
func lost(ctx context.Context, err error) error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return code.NewError(code.BackendTimeout, "no answer in time")
	case ctx.Err() != nil:
		return code.NewError(code.CancelledRunning, "the caller went away")
	default:
		return code.NewError(code.DispatcherLost, err.Error())
	}
}

func (c *Client) conn(ctx context.Context, server *route.Server) (*quic.Conn, error) {
	if server.Forward == "" {
		return nil, errors.New("the dispatcher is not a member")
	}
	id := string(server.Fingerprint)
	c.mu.Lock()
	conn, ok := c.conns[id]
	c.mu.Unlock()
	if ok && conn.Context().Err() == nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := quic.DialAddr(ctx, server.Forward, c.identity.tlsConfig(only(server.Fingerprint)), quicConfig())
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if other, ok := c.conns[id]; ok && other.Context().Err() == nil {
		_ = conn.CloseWithError(0, "second connection")
		return other, nil
	}
	c.conns[id] = conn
	return conn, nil
}

func (c *Client) forget(server *route.Server, conn *quic.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[string(server.Fingerprint)] == conn {
		delete(c.conns, string(server.Fingerprint))
	}
	_ = conn.CloseWithError(0, "failed")
}

// streamBody is the body of an answer; it ends with io.EOF only when the
// dispatcher ended the stream, not when the stream broke.
type streamBody struct {
	stream *quic.Stream
	stop   func() bool
}

// Read implements io.Reader.
func (b *streamBody) Read(p []byte) (int, error) { return b.stream.Read(p) }

// Close implements io.Closer.
func (b *streamBody) Close() error {
	b.stop()
	b.stream.CancelRead(streamFailed)
	return nil
}

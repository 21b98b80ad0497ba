package peer

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"golang.org/x/sync/singleflight"

	"bronzewind.example/core/code"
	"bronzewind.example/core/config"
	"bronzewind.example/core/httpresponse"
	"bronzewind.example/core/route"
	"bronzewind.example/router/dispatch"
)

const (
	dialTimeout = 300 * time.Millisecond
	idleTimeout = 2 * time.Second
	keepAlive   = 500 * time.Millisecond
	maxStreams  = 1 << 14
	inlineBytes = 32 << 10

	uploadBufferBytes = 32 << 10
	streamFailed      = quic.StreamErrorCode(1)

	// The bytes of a body that wait at the dispatcher for a slow backend
	// server, and those of all streams of a connection.
	streamWindowBytes = 256 << 10
	connWindowBytes   = 16 << 20

	// maxOpenBodies is how many bodies a dispatcher receives at once on a
	// connection. If none of them is read, they fill seven eighths of the
	// connection's window; the rest is for heads and inline bodies.
	maxOpenBodies = connWindowBytes / 8 * 7 / streamWindowBytes
)

type (
	// Client forwards requests to the dispatchers on other instances over two
	// connections for each: bulk work has its own, so that nothing else waits
	// behind it.
	Client struct {
		identity *Identity
		traffic  *traffic

		dials singleflight.Group // by endpoint

		mu      sync.Mutex
		closed  bool                    // guarded by mu
		conns   map[endpoint]*quic.Conn // guarded by mu
		members map[string]bool         // by fingerprint, whether it leaves; guarded by mu
	}
)

// endpoint is one run of another instance, by one of the two connections to it.
type endpoint struct {
	forward, fingerprint string
	bulk                 bool
}

// String returns a text that no other endpoint has.
func (e endpoint) String() string { return fmt.Sprintf("%s %x %t", e.forward, e.fingerprint, e.bulk) }

var errClientClosed = errors.New("the client of other instances is closed")

// NewClient returns a client that shows identity to its peers.
func NewClient(identity *Identity) *Client {
	return &Client{identity: identity, traffic: newTraffic(), conns: map[endpoint]*quic.Conn{}}
}

// Metrics returns the bytes of forwarded requests by service and rank.
func (c *Client) Metrics() expvar.Var { return c.traffic.all }

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: dialTimeout,
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAlive,
		MaxIncomingStreams:   maxStreams,

		// QUIC would start with a connection window that two unread bodies fill, and
		// enlarge it only while bodies are read.
		InitialStreamReceiveWindow:     streamWindowBytes,
		MaxStreamReceiveWindow:         streamWindowBytes,
		InitialConnectionReceiveWindow: connWindowBytes,
		MaxConnectionReceiveWindow:     connWindowBytes,
	}
}

// SetMembers ends the connections to members that were lost, so that requests
// on their way there fail at once and not when the connection falls silent. One
// that left by itself has ended its work; its last bytes may be on their way.
func (c *Client) SetMembers(members []route.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.members
	c.members = make(map[string]bool, len(members))
	for _, m := range members {
		c.members[string(m.Fingerprint)] = m.Leaving
	}
	for e, conn := range c.conns {
		leaving, was := before[e.fingerprint]
		if _, is := c.members[e.fingerprint]; was && !is && !leaving {
			_ = conn.CloseWithError(0, "member was lost")
			delete(c.conns, e)
		}
	}
}

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.conns {
		_ = conn.CloseWithError(0, "closing")
	}
	c.conns = map[endpoint]*quic.Conn{}
}

// Do forwards r to the instance that dispatches to server. Errors are
// *code.Error; what was never sent is said not to have run.
func (c *Client) Do(ctx context.Context, server *route.Server, r *dispatch.Request) (*dispatch.Response, error) {
	e := endpoint{forward: server.Forward, fingerprint: string(server.Fingerprint), bulk: isBulk(r)}
	stream, err := c.open(ctx, e, requestStream)
	if err != nil {
		return nil, code.NewError(code.DispatcherBusy, err.Error())
	}
	return exchange(ctx, &countedStream{Stream: stream, row: c.traffic.row(r.Service, r.Kind.Rank)}, r)
}

// isBulk reports whether r goes over the connection for bulk work.
func isBulk(r *dispatch.Request) bool {
	return r.Kind.Rank == config.Bulk || streams(r)
}

// streams reports whether the body of r is sent after its head.
func streams(r *dispatch.Request) bool {
	return r.Body != nil && (r.Length < 0 || r.Length > inlineBytes)
}

func abort(s *quic.Stream) {
	s.CancelRead(streamFailed)
	s.CancelWrite(streamFailed)
}

// exchange sends r on a fresh stream and reads the head of the answer.
func exchange(ctx context.Context, stream *countedStream, r *dispatch.Request) (*dispatch.Response, error) {
	head, err := newRequestHead(r)
	if err != nil {
		abort(stream.Stream)
		return nil, code.NewError(code.MalformedRequest, err.Error())
	}
	stop := context.AfterFunc(ctx, func() { abort(stream.Stream) })
	u := newUpload(stream, r.Body)
	a, err := send(stream, head, u)
	if err != nil {
		stop()
		abort(stream.Stream)
		u.stop()
		return nil, lost(ctx, u, err)
	}
	length := a.Length
	if !dispatch.HasBody(r.Method, a.Status) {
		length = 0
	}
	return &dispatch.Response{
		Status: a.Status, Header: a.Header, Length: a.Length,
		Body: &streamBody{Reader: dispatch.NewLengthCheckedReader(stream, length), stream: stream, upload: u, stop: stop},
	}, nil
}

// send writes head and reads up to the answer; the body is streamed when the
// dispatcher asks for it.
func send(stream *countedStream, head requestHead, u *upload) (*answerHead, error) {
	if err := writeFrame(stream, head); err != nil {
		return nil, err
	}
	if !head.Streams {
		stream.Close()
	}
	for {
		var a answerHead
		if err := readFrame(stream, &a); err != nil {
			return nil, err
		}
		switch {
		case a.WantsBody:
			u.start()
			continue
		case a.Code != code.OK:
			return nil, code.NewError(a.Code, a.Reason)
		}
		if err := httpresponse.CheckFinal(a.Status, a.Header); err != nil {
			return nil, code.NewError(code.AnswerCrossed, err.Error())
		}
		return &a, nil
	}
}

func newRequestHead(r *dispatch.Request) (requestHead, error) {
	head := requestHead{
		Service: r.Service, Kind: r.Kind.Name, Server: r.Server, Hash: uint64(r.Hash),
		Method: r.Method, Target: r.RequestURI, Header: r.Header, Length: r.Length,
		LeftMillis: time.Until(r.Deadline).Milliseconds(),
		Caller:     r.CallerKind, IdempotencyKey: r.IdempotencyKey,
	}
	if r.Body == nil {
		return head, nil
	}
	if streams(r) {
		head.Streams = true
		return head, nil
	}
	head.Inline = make([]byte, r.Length)
	_, err := io.ReadFull(r.Body, head.Inline)
	return head, err
}

// lost classes an exchange that gave no answer. A refusal is the dispatcher's
// word; anything else broke after the request may have been read.
func lost(ctx context.Context, u *upload, err error) error {
	var e *code.Error
	switch {
	case errors.As(err, &e):
		return e
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return code.NewError(code.BackendTimeout, "no answer in time")
	case ctx.Err() != nil:
		return code.NewError(code.CancelledRunning, "the caller went away")
	case u.failed():
		return code.NewError(code.UploadCutOff, "the body ended early")
	default:
		return code.NewError(code.DispatcherLost, err.Error())
	}
}

// open returns a fresh stream of kind k to e. The kind is written with the
// first frame, so that after an error nothing was sent.
func (c *Client) open(ctx context.Context, e endpoint, k streamKind) (*quic.Stream, error) {
	conn, err := c.conn(ctx, e)
	if err != nil {
		return nil, err
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		c.forget(e, conn)
		return nil, err
	}
	if _, err := stream.Write([]byte{byte(k)}); err != nil {
		abort(stream)
		return nil, err
	}
	return stream, nil
}

// conn returns the connection to e. Requests that need it at the same time share one
// dial: a dial for each would let a burst of requests time out in handshakes.
func (c *Client) conn(ctx context.Context, e endpoint) (*quic.Conn, error) {
	if e.forward == "" {
		return nil, errors.New("the instance is not a member")
	}
	if conn := c.established(e); conn != nil {
		return conn, nil
	}
	result := c.dials.DoChan(e.String(), func() (any, error) { return c.dial(e) })
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case r := <-result:
		if r.Err != nil {
			return nil, r.Err
		}
		return r.Val.(*quic.Conn), nil
	}
}

// established returns the open connection to e; nil if there is none.
func (c *Client) established(e endpoint) *quic.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[e]; ok && conn.Context().Err() == nil {
		return conn
	}
	return nil
}

// dial connects to e, unless a connection was established meanwhile. It does not end
// with the request that began it, since others may wait for it.
func (c *Client) dial(e endpoint) (*quic.Conn, error) {
	if conn := c.established(e); conn != nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := quic.DialAddr(ctx, e.forward, c.identity.tlsConfig(only([]byte(e.fingerprint))), quicConfig())
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.CloseWithError(0, "closing")
		return nil, errClientClosed
	}
	c.conns[e] = conn
	return conn, nil
}

func (c *Client) forget(e endpoint, conn *quic.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[e] == conn {
		delete(c.conns, e)
	}
	_ = conn.CloseWithError(0, "failed")
}

// streamBody is the body of an answer. It ends with io.EOF only when the
// dispatcher ended the stream after the announced length, not when the stream
// broke.
type streamBody struct {
	io.Reader
	stream *countedStream
	upload *upload
	stop   func() bool
}

// Close implements io.Closer.
func (b *streamBody) Close() error {
	b.stop()
	b.stream.CancelRead(streamFailed)
	b.upload.stop()
	return nil
}

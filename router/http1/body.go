package http1

import (
	"errors"
	"io"
	"net/http"
	"time"
)

const expectContinue = "100-continue"

// body is the body of a request. The connection's goroutine reads on once it has ended.
type body struct {
	exchange    *exchange
	source      io.Reader
	asksToSend  bool          // the caller waits for "100 Continue"
	hasDeadline bool          // a read deadline was set for it
	ended       chan struct{} // closed at the body's end, or when reading it failed
	err         error         // io.EOF at its end; set before ended is closed
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if b.asksToSend {
		b.asksToSend = false
		if _, err := io.WriteString(b.exchange.conn.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return 0, b.end(err)
		}
	}
	n, err := b.source.Read(p)
	if err != nil {
		err = b.end(err)
	}
	return n, err
}

// Close implements io.Closer. What is unread stays so.
func (b *body) Close() error { return nil }

// end records the result of the body and lets the connection's goroutine go on.
func (b *body) end(err error) error {
	b.err = err
	if b.hasDeadline {
		_ = b.exchange.conn.nc.SetReadDeadline(time.Time{}) // fails only if the connection is closed
	}
	close(b.ended)
	return err
}

// whole reports whether the body was read to its end. It is called by the request's
// goroutine. A body that has arrived completely is read now, so that the connection can be
// kept.
func (b *body) whole() bool {
	hr := b.exchange.request
	if b.err == nil && !b.asksToSend && hr.ContentLength > 0 && hr.ContentLength <= int64(b.exchange.conn.in.Buffered()) {
		_, _ = io.Copy(io.Discard, b) // the result is in b.err
	}
	return errors.Is(b.err, io.EOF)
}

// newBody returns the body of x's request; nil if it has none.
func newBody(x *exchange) *body {
	hr := x.request
	if hr.Body == nil || hr.Body == http.NoBody {
		return nil
	}
	return &body{
		exchange: x, source: hr.Body, ended: make(chan struct{}),
		asksToSend: hr.ProtoAtLeast(1, 1) && hr.Header.Get("Expect") != "",
	}
}

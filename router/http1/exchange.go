package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const writeBufferBytes = 4 << 10

// unknownLength is a response body's length that its head does not announce.
const unknownLength = -1

// exchange is one request and its response; it is the http.ResponseWriter of the handler.
// Its methods are called by the request's goroutine.
type exchange struct {
	conn      *conn
	handler   http.Handler
	request   *http.Request
	arrivedAt time.Time
	body      *body           // nil if the request has none
	exclusive bool            // runs beside no other request of the connection
	previous  <-chan struct{} // closed when the response before this one has ended; nil for the first
	ended     chan struct{}   // closed when the response has ended

	header        http.Header
	status        int           // 0 before WriteHeader
	out           *bufio.Writer // nil before the head is written
	chunked       bool
	remaining     int64 // bytes of the body that are announced and not written; unknownLength if none are
	closes        bool  // the connection ends with this response
	endsWithConn  bool  // the end of the connection marks that of the body
	writeDeadline time.Time
	held          int64 // bytes of the response that wait for earlier ones; guarded by conn.mu
	onTurn        bool  // all earlier responses have ended; guarded by conn.mu
	err           error // of the connection, or of a body that is longer than announced
}

var (
	errEarlierFailed = errors.New("an earlier response on the connection failed")

	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}
)

func newExchange(c *conn, hr *http.Request, arrivedAt time.Time) *exchange {
	x := &exchange{conn: c, handler: c.server.handler, request: hr, arrivedAt: arrivedAt, ended: make(chan struct{}), header: http.Header{}, remaining: unknownLength}
	hr.RemoteAddr = c.nc.RemoteAddr().String()
	if x.body = newBody(x); x.body != nil {
		hr.Body = x.body
	}
	x.exclusive = x.body != nil || !hr.ProtoAtLeast(1, 1) || !c.server.mayRunBeside(hr)
	return x
}

// newRefusal returns the exchange of a request that could not be read.
func newRefusal(c *conn, r *refusal) *exchange {
	hr := &http.Request{Method: http.MethodGet, ProtoMajor: 1, Close: true, Body: http.NoBody}
	x := newExchange(c, hr, time.Now()) // exclusive, by its version
	x.handler = r
	return x
}

// awaitBody waits until the body of the request has been read, or the response has ended. It
// returns false if no further request can be read.
func (x *exchange) awaitBody() bool {
	if x.body == nil {
		return true
	}
	select {
	case <-x.body.ended:
		if errors.Is(x.body.err, io.EOF) {
			return true
		}
		x.conn.cancel()
		return false
	case <-x.ended:
		select {
		case <-x.body.ended:
			return errors.Is(x.body.err, io.EOF)
		default:
			return false
		}
	}
}

// run serves the request and ends the response.
func (x *exchange) run() {
	ctx, cancel := context.WithCancel(x.conn.ctx)
	defer cancel()
	whole := x.callHandler(ctx) && x.finish() == nil
	x.awaitTurn() // a response that failed must not cut off earlier ones
	if x.out != nil {
		x.out.Reset(nil)
		writers.Put(x.out)
	}
	if !x.writeDeadline.IsZero() {
		_ = x.conn.nc.SetWriteDeadline(time.Time{}) // fails only if the connection is closed
	}
	x.conn.exchangeEnded(x, whole)
}

// callHandler reports whether the handler returned.
func (x *exchange) callHandler(ctx context.Context) (returned bool) {
	defer func() {
		reason := recover()
		if reason != nil && reason != http.ErrAbortHandler {
			x.conn.server.onPanic(reason)
		}
	}()
	hr := x.request.WithContext(x.conn.server.requestContext(ctx, x.conn.nc, x.arrivedAt))
	x.handler.ServeHTTP(x, hr)
	return true
}

// finish writes what is left of the response. It returns an error if the response is not
// whole.
func (x *exchange) finish() error {
	if x.status == 0 {
		return errors.New("the handler returned without a response")
	}
	if x.out == nil {
		if x.allowsBody() && x.header.Get("Content-Length") == "" {
			x.header.Set("Content-Length", "0")
		}
		x.writeHead()
	}
	if x.err != nil {
		return x.err
	}
	if x.remaining > 0 {
		return fmt.Errorf("%d bytes of the announced response body are missing", x.remaining)
	}
	if x.chunked {
		_, _ = x.out.WriteString("0\r\n\r\n") // an error is kept by out
	}
	return x.out.Flush()
}

// Header implements http.ResponseWriter.
func (x *exchange) Header() http.Header { return x.header }

// WriteHeader implements http.ResponseWriter. Informational responses are left out.
func (x *exchange) WriteHeader(status int) {
	if x.status == 0 && status >= http.StatusOK {
		x.status = status
	}
}

// Write implements http.ResponseWriter. It waits until the responses to earlier requests on
// the connection have ended.
func (x *exchange) Write(b []byte) (int, error) {
	x.WriteHeader(http.StatusOK)
	if x.out == nil {
		x.Hold(max(int64(len(b)), x.announcedLength())) // the handler holds all of a body that it writes at once
		x.writeHead()
	}
	switch {
	case x.err != nil:
		return 0, x.err
	case !x.allowsBody():
		return 0, http.ErrBodyNotAllowed
	case len(b) == 0:
		return 0, nil
	case x.remaining != unknownLength && int64(len(b)) > x.remaining:
		x.err = http.ErrContentLength
		return 0, x.err
	}
	if x.chunked {
		fmt.Fprintf(x.out, "%x\r\n", len(b)) // an error is kept by out
	}
	n, err := x.out.Write(b)
	if x.chunked {
		_, err = x.out.WriteString("\r\n")
	}
	if x.remaining != unknownLength {
		x.remaining -= int64(n)
	}
	x.err = err
	return n, err
}

// FlushError is used by http.ResponseController.
func (x *exchange) FlushError() error {
	x.WriteHeader(http.StatusOK)
	if x.out == nil {
		x.writeHead()
	}
	if x.err == nil {
		x.err = x.out.Flush()
	}
	return x.err
}

// Flush implements http.Flusher.
func (x *exchange) Flush() { _ = x.FlushError() } // the next write returns the error

// SetWriteDeadline is used by http.ResponseController. The deadline holds for this response
// only.
func (x *exchange) SetWriteDeadline(t time.Time) error {
	x.writeDeadline = t
	if x.out == nil {
		return nil // set when the response begins
	}
	return x.conn.nc.SetWriteDeadline(t)
}

// SetReadDeadline is used by http.ResponseController. The deadline holds for the body of
// this request only.
func (x *exchange) SetReadDeadline(t time.Time) error {
	if x.body == nil || x.body.err != nil {
		return nil
	}
	x.body.hasDeadline = true
	return x.conn.nc.SetReadDeadline(t)
}

// EnableFullDuplex is used by http.ResponseController. The body may always be read while the
// response is written, if it is read before the first write.
func (x *exchange) EnableFullDuplex() error { return nil }

// awaitTurn waits until all earlier responses have ended. Afterwards nothing that the response
// holds waits for them.
func (x *exchange) awaitTurn() {
	if x.previous != nil {
		<-x.previous
	}
	x.conn.mu.Lock()
	defer x.conn.mu.Unlock()
	x.onTurn = true
	x.conn.pipeline = x.conn.pipeline.withHeld(-x.held)
	x.held = 0
}

// Hold counts n more bytes that the response holds while it waits for earlier responses; n
// may be negative. It may be called by any goroutine.
func (x *exchange) Hold(n int64) {
	x.conn.mu.Lock()
	defer x.conn.mu.Unlock()
	x.holdLocked(n)
}

// TryHold is Hold with a limit: it returns false, and counts nothing, if n more bytes would exceed
// the limit of the connection. A response that no longer waits for earlier ones has no limit.
func (x *exchange) TryHold(n int64) bool {
	x.conn.mu.Lock()
	defer x.conn.mu.Unlock()
	if x.previous != nil && !x.onTurn && !x.conn.pipeline.mayHold(n, x.conn.server.limits) {
		return false
	}
	x.holdLocked(n)
	return true
}

func (x *exchange) holdLocked(n int64) {
	if x.previous != nil && !x.onTurn {
		x.held += n
		x.conn.pipeline = x.conn.pipeline.withHeld(n)
	}
}

// writeHead waits for the response's turn and writes its head.
func (x *exchange) writeHead() {
	x.awaitTurn()
	x.out = writers.Get().(*bufio.Writer)
	x.out.Reset(x.conn.nc)
	if x.conn.failed() {
		x.err = errEarlierFailed
		return
	}
	if !x.writeDeadline.IsZero() {
		_ = x.conn.nc.SetWriteDeadline(x.writeDeadline) // if it fails, the write fails too
	}
	x.chooseFraming()
	x.chooseEnd()
	fmt.Fprintf(x.out, "HTTP/1.1 %03d %s\r\n", x.status, http.StatusText(x.status)) // an error is kept by out
	_ = x.header.Write(x.out)
	_, x.err = x.out.WriteString("\r\n")
}

// chooseFraming sets how the end of the body is marked.
func (x *exchange) chooseFraming() {
	h := x.header
	h.Del("Transfer-Encoding")
	switch n := x.announcedLength(); {
	case x.request.Method == http.MethodHead || x.status == http.StatusNotModified:
		// The length, if there is one, is that of a body which is not sent.
	case !x.allowsBody():
		h.Del("Content-Length")
	case n != unknownLength:
		x.remaining = n
	case x.request.ProtoAtLeast(1, 1):
		h.Del("Content-Length")
		h.Set("Transfer-Encoding", "chunked")
		x.chunked = true
	default:
		h.Del("Content-Length")
		h.Set("Connection", "close")
		x.endsWithConn = true
	}
}

// chooseEnd sets whether the connection is kept.
func (x *exchange) chooseEnd() {
	h := x.header
	asked := x.request.Close || hasToken(h["Connection"], "close") || x.body != nil && !x.body.whole()
	x.closes = x.conn.closesWith(x, asked)
	switch {
	case x.closes:
		h.Set("Connection", "close")
	case !x.request.ProtoAtLeast(1, 1):
		h.Set("Connection", "keep-alive")
	default:
		h.Del("Connection")
	}
	if _, ok := h["Date"]; !ok {
		h.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
}

// announcedLength returns the length of the body that the handler announces; unknownLength if
// it announces none.
func (x *exchange) announcedLength() int64 {
	if n, err := strconv.ParseInt(x.header.Get("Content-Length"), 10, 64); err == nil && n >= 0 {
		return n
	}
	return unknownLength
}

// allowsBody reports whether the response may have a body.
func (x *exchange) allowsBody() bool {
	return x.request.Method != http.MethodHead && x.status != http.StatusNoContent && x.status != http.StatusNotModified
}

func hasToken(values []string, token string) bool {
	for _, v := range values {
		for _, t := range strings.Split(v, ",") {
			if strings.EqualFold(strings.TrimSpace(t), token) {
				return true
			}
		}
	}
	return false
}

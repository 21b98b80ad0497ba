package caller

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"bronzewind.example/core/code"
	"bronzewind.example/router/dispatch"
)

const (
	replayBytes     = 32 << 10 // a body up to this size is kept to be sent again
	defaultBodyIdle = 10 * time.Second
)

type (
	// callerBody reads the body of a caller who may be slow: each read ends
	// within idle.
	callerBody struct {
		source  io.Reader
		control *http.ResponseController
		idle    time.Duration
		began   atomic.Bool // a read was begun, so the body can't be sent again

		mu  sync.Mutex
		err error // why the body ended early; guarded by mu, which a read holds
	}

	// callerWriter writes to a caller who may be slow: each write ends within
	// idle.
	callerWriter struct {
		w       http.ResponseWriter
		control *http.ResponseController
		idle    time.Duration
	}
)

// Read implements io.Reader. The end of the body lifts the limit, since
// net/http reads on to see the caller go away.
func (b *callerBody) Read(p []byte) (int, error) {
	b.began.Store(true)
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := time.Now().Add(b.idle)
	_ = b.control.SetReadDeadline(limit)
	n, err := b.source.Read(p)
	closed := errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(limit)
	switch {
	case errors.Is(err, io.EOF):
		_ = b.control.SetReadDeadline(time.Time{})
	case err != nil && !closed:
		b.err = err
	}
	return n, err
}

// Close ends a read that waits for the caller.
func (b *callerBody) Close() error {
	return b.control.SetReadDeadline(time.Now())
}

// failed ends all reading and returns why the body ended early, or nil.
func (b *callerBody) failed() error {
	_ = b.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// blame names the caller's body as the cause when a request failed because
// its body ended early: net/http cancels the request's context then.
func blame(r *dispatch.Request, err error) error {
	var e *code.Error
	b, streams := r.Body.(*callerBody)
	if !streams || !errors.As(err, &e) || e.Code.Outcome() != code.Unknown {
		return err
	}
	if cause := b.failed(); cause != nil {
		return code.NewError(code.UploadCutOff, cause.Error())
	}
	return err
}

// Write implements io.Writer.
func (c *callerWriter) Write(p []byte) (int, error) {
	_ = c.control.SetWriteDeadline(time.Now().Add(c.idle))
	return c.w.Write(p)
}

// readBody takes up a small body whole, and leaves a large one to be streamed.
func readBody(req *dispatch.Request, r *http.Request, w http.ResponseWriter, idle time.Duration) error {
	limit := req.Kind.BodyBytes
	source := &callerBody{source: r.Body, control: http.NewResponseController(w), idle: idle}
	switch {
	case r.ContentLength == 0:
		return nil
	case r.ContentLength > limit:
		return code.NewError(code.BodyTooLarge, "the body is over the limit of its kind")
	case r.ContentLength < 0 || r.ContentLength > replayBytes:
		source.source = http.MaxBytesReader(nil, r.Body, limit)
		req.Length, req.Body = r.ContentLength, source
		return nil
	}
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(source, body)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return code.NewError(code.SlowCaller, "no byte of the body came for "+idle.String())
	case err != nil:
		return code.NewError(code.MalformedRequest, "the body ended early: "+err.Error())
	}
	_ = source.control.SetReadDeadline(time.Time{})
	req.Length, req.Body = r.ContentLength, bytes.NewReader(body)
	return nil
}

// rewind makes the body of r ready for another try; it returns false for a
// streamed body of which a read was begun.
func rewind(r *dispatch.Request) bool {
	switch b := r.Body.(type) {
	case *bytes.Reader:
		_, err := b.Seek(0, io.SeekStart)
		return err == nil
	case *callerBody:
		return !b.began.Load()
	default:
		return r.Body == nil
	}
}

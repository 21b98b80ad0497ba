package direct

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"bronzewind.example/core/code"
	"bronzewind.example/core/memory"
)

type (
	// responseStart is the beginning of a response: its head and up to streamWindow bytes of
	// its body.
	responseStart struct {
		response *response
		rest     io.Reader // what follows response.body; nil if nothing does
		length   int64     // of the whole body; negative if not announced
	}

	// stream passes the body of one response on to the caller while it is received. The
	// request's goroutine reads it from the server and one of its own writes it, so that
	// memory for at most the window is held between the two, and the attempt ends with the
	// server's last byte.
	stream struct {
		room   *memory.Room // the window is part of it
		caller holdingWriter
		begun  time.Time
		done   chan error    // receives the result of the writing; has capacity 1
		space  chan struct{} // signals the reader that the caller has taken bytes; has capacity 1
		filled chan struct{} // signals the writer that parts or readErr has changed; has capacity 1

		mu       sync.Mutex
		parts    [][]byte  // received and not yet written; guarded by mu
		held     int64     // bytes in parts and in the write in progress; guarded by mu
		window   int64     // reserved bytes; guarded by mu
		grown    int64     // part of window that the stream has reserved itself; guarded by mu
		received int64     // guarded by mu
		readErr  error     // io.EOF after the whole body; guarded by mu
		lastRead time.Time // guarded by mu
		unread   bool      // the server was left unread for unreadTimeout; guarded by mu
		stopped  bool      // the writer takes no more; guarded by mu
	}

	// streamEnd says how a streamed response ended.
	streamEnd int
)

const (
	streamComplete streamEnd = iota
	streamBrokenOff
	streamCallerSlow // the server was left unread before it broke off, or before the deadline
	streamCallerLeft
)

// String returns the end as it appears in metrics.
func (e streamEnd) String() string {
	switch e {
	case streamComplete:
		return "complete"
	case streamBrokenOff:
		return "server-broke-off"
	case streamCallerSlow:
		return "caller-slow"
	default:
		return "caller-left"
	}
}

// readStart reads the head's body up to streamWindow bytes.
func (s *Server) readStart(head *http.Response, r *request) (responseStart, error) {
	out := responseStart{
		response: &response{status: head.StatusCode, header: head.Header, bodiless: r.method == http.MethodHead},
		length:   head.ContentLength,
	}
	if out.response.bodiless {
		return out, nil
	}
	if r.responses == nil {
		r.responses = s.memory.Open(memory.ResponseBody, r.callerIP, time.Time{}, time.Now(), nil)
	}
	out.response.room = r.responses
	received := func(n int) { r.responses.Received(n, time.Now()) }
	if n := head.ContentLength; n >= 0 && n <= streamWindow {
		if err := r.responses.Grow(n, time.Now()); err != nil {
			return out, err
		}
		return out, out.response.body.readAnnounced(head.Body, n, received)
	}
	if err := r.responses.Grow(streamWindow, time.Now()); err != nil {
		return out, err
	}
	err := out.response.body.readSegment(head.Body, streamWindow, received)
	switch {
	case errors.Is(err, io.EOF):
		if head.ContentLength >= 0 {
			err = io.ErrUnexpectedEOF
		} else {
			err = nil
		}
	case err == nil:
		out.rest = head.Body
	}
	return out, err
}

// streamable reports whether the response may be passed on before it is complete. A failing
// response to an idempotent request is held, since the request may be attempted again.
func (a *attemptResult) streamable(r *request) bool {
	return r.caller != nil && a.outcome == outcomeDone && (a.response.status < 500 || !r.idempotent)
}

// finish reads the rest of the response or passes it on. It returns false if the response
// did not end as the server meant it to, or if it need not be read to its end; the
// connection can't be used again then.
func (s *Server) finish(ctx context.Context, c *conn, r *request, start responseStart, a *attemptResult) bool {
	if start.rest == nil {
		return true
	}
	switch {
	case a.streamable(r):
		return s.stream(ctx, c, r, start, a)
	case a.outcome != outcomeDone:
		return false // only the head counts
	}
	if err := s.readRest(start, r); err != nil {
		a.outcome, a.code, a.err, a.response = outcomeUnknown, code.AnswerCutOff, err, nil
		return false
	}
	return true
}

// stream passes the response on to the caller until the server's last byte, or until the
// response breaks off. Afterwards nothing may be sent again, nor written to the caller but by
// the stream.
func (s *Server) stream(ctx context.Context, c *conn, r *request, start responseStart, a *attemptResult) bool {
	now := time.Now()
	a.respondedAt = now
	t := &stream{
		room: r.responses, caller: holdingWriterOf(r.caller), begun: now, lastRead: now, window: streamWindow, held: start.response.body.length, received: start.response.body.length,
		parts: slices.Clone(start.response.body.segments), done: make(chan error, 1), space: make(chan struct{}, 1), filled: make(chan struct{}, 1),
	}
	start.response.body, start.response.streamed = body{}, true
	t.caller.Hold(streamWindow)
	// A response that its caller no longer reads is of no use to anyone.
	stopAbort := context.AfterFunc(ctx, func() { _ = c.SetDeadline(expiredDeadline) })
	s.writeHead(r.caller, start.response, start.length)
	go func() {
		err := t.write(r.caller, r.deadline.Add(streamEndTimeout))
		if err != nil {
			t.abortReading(c)
		}
		t.done <- err
	}()
	readErr := t.read(start.rest)
	if errors.Is(readErr, io.EOF) {
		start.response.delivery = t
		return stopAbort() // an abort that has begun would end the next attempt
	}
	defer stopAbort()
	writeErr := <-t.done
	t.room.Shrink(t.grown)
	end := streamBrokenOff
	switch {
	case writeErr != nil && !errors.Is(writeErr, readErr), ctx.Err() != nil:
		end, a.code, a.err = streamCallerLeft, code.CancelledRunning, writeErr
	case t.unread:
		end, a.code, a.err = streamCallerSlow, code.AnswerCutOff, readErr
	default:
		a.code, a.err = code.AnswerCutOff, readErr
	}
	s.metrics.streams.Add(end.String(), 1)
	a.outcome, start.response.broken = outcomeCancelled, true
	if end == streamBrokenOff {
		a.outcome = outcomeUnknown
	}
	return false
}

// deliver waits until the caller has taken what is left of a streamed response whose attempt
// has ended. It returns the failure if the caller does not take it to the end.
func (s *Server) deliver(resp *response) *requestFailure {
	t := resp.delivery
	err := <-t.done
	t.room.Shrink(t.grown)
	if err != nil {
		s.metrics.streams.Add(streamCallerLeft.String(), 1)
		resp.broken = true
		return &requestFailure{code: code.CancelledRunning}
	}
	s.metrics.streams.Add(streamComplete.String(), 1)
	return nil
}

// read receives the body, as fast as the window allows. It returns io.EOF after the whole
// body, or the error that ended it.
func (t *stream) read(body io.Reader) error {
	for t.waitForRoom() {
		part := make([]byte, streamStep)
		n, err := body.Read(part) // may return the end along with the last bytes
		if n > 0 && !t.add(part[:n]) {
			err = errResponseTooLarge
		}
		if err != nil {
			return t.endReading(err)
		}
	}
	return t.endReading(errCallerStopped)
}

// waitForRoom waits until more may be read. It returns false if the writer has stopped.
func (t *stream) waitForRoom() bool {
	ticker := time.NewTicker(streamCheckInterval)
	defer ticker.Stop()
	for {
		if ready, stopped := t.tryRoom(time.Now()); ready || stopped {
			return !stopped
		}
		select {
		case <-t.space:
		case <-ticker.C:
		}
	}
}

// tryRoom reports whether more may be read, for which it reserves memory if that is due, and
// whether the writer has stopped.
func (t *stream) tryRoom(now time.Time) (ready, stopped bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := streamState{held: t.held, window: t.window, unread: now.Sub(t.lastRead), age: now.Sub(t.begun)}
	t.unread = t.unread || state.unread >= unreadTimeout
	switch {
	case t.stopped:
		return false, true
	case state.decide() == streamReadOn:
		return true, false
	case state.decide() == streamTakeMore && t.takeMore(now):
		t.window += streamWindow
		t.grown += streamWindow
		return true, false
	}
	return false, false
}

// takeMore reserves memory for another window. It returns false if that would exceed the limit
// of the caller's connection or the memory budget.
func (t *stream) takeMore(now time.Time) bool {
	if !t.caller.TryHold(streamWindow) {
		return false
	}
	if t.room.Grow(streamWindow, now) != nil {
		t.caller.Hold(-streamWindow)
		return false
	}
	return true
}

// add adds a part to what the caller gets, and returns false if the response is too large.
func (t *stream) add(part []byte) bool {
	t.mu.Lock()
	t.parts = append(t.parts, part)
	t.held += int64(len(part))
	t.received += int64(len(part))
	t.lastRead = time.Now()
	t.room.Received(len(part), t.lastRead)
	fits := t.received <= maxResponseBytes
	t.mu.Unlock()
	signal(t.filled)
	return fits
}

func (t *stream) endReading(err error) error {
	t.mu.Lock()
	t.readErr = err
	t.mu.Unlock()
	signal(t.filled)
	return err
}

// abortReading ends the read in progress, as the caller takes no more. A connection whose
// response was read to its end is left alone, since it may carry another attempt.
func (t *stream) abortReading(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.readErr == nil {
		_ = c.SetDeadline(expiredDeadline) // if it fails, the connection is closed
	}
}

// write writes what is received until the end of the body, and returns nil, or the error of
// the server's or of the caller's connection. end is when the caller must have taken all.
func (t *stream) write(w http.ResponseWriter, end time.Time) error {
	control := http.NewResponseController(w)
	_ = control.Flush() // waits for the responses to earlier requests, which have no time limit here
	for {
		part, err := t.next()
		switch {
		case part == nil && errors.Is(err, io.EOF):
			_ = control.SetWriteDeadline(time.Time{}) // as for the next response; not every writer has deadlines
			return nil
		case part == nil && err != nil:
			return err
		case part == nil:
			_ = control.Flush() // the caller's connection fails at the next write too
			<-t.filled
			continue
		}
		limit := time.Now().Add(callerStallTimeout)
		if end.Before(limit) {
			limit = end
		}
		_ = control.SetWriteDeadline(limit)
		_, err = w.Write(part)
		t.taken(len(part), err != nil)
		if err != nil {
			return fmt.Errorf("write to the caller: %w", err)
		}
	}
}

// next returns the next part to write, or nil and the end of the reading if there is none.
func (t *stream) next() ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.parts) == 0 {
		return nil, t.readErr
	}
	part := t.parts[0]
	if len(part) > streamStep {
		t.parts[0] = part[streamStep:]
		return part[:streamStep], nil
	}
	t.parts[0] = nil
	t.parts = t.parts[1:]
	return part, nil
}

// taken records that the caller has taken a part, or takes no more.
func (t *stream) taken(bytes int, stopped bool) {
	t.mu.Lock()
	t.held -= int64(bytes)
	t.stopped = stopped
	t.mu.Unlock()
	signal(t.space)
}

// signal sends on a channel with capacity 1, unless a signal is pending.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// writeHead writes the head of a backend server's response to the caller; a negative length
// is not announced.
func (s *Server) writeHead(w http.ResponseWriter, resp *response, length int64) {
	h := w.Header()
	connection := h.Get("Connection") // set when callers are asked to close their connections
	removeHopHeaders(resp.header)
	for name, values := range resp.header {
		h[name] = values
	}
	if connection != "" {
		h.Set("Connection", connection)
	}
	if !resp.bodiless && length >= 0 { // else the length that the server announced stays
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(resp.status)
}

// abortBroken ends the caller's connection if its response broke off, so that the response
// does not look complete. It does not return then.
func abortBroken(resp *response) {
	if resp.broken {
		panic(http.ErrAbortHandler) // how a handler makes the http.Server do so
	}
}

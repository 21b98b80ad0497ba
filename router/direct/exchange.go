package direct

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"bronzewind.example/core/code"
	"bronzewind.example/core/httpresponse"
	"bronzewind.example/core/memory"
)

const (
	// maxMismatchedResponses is the number of responses to other requests that are
	// skipped before the attempt fails.
	maxMismatchedResponses = 2

	// maxInlineBodyBytes is the largest body that is written completely before the
	// response is read. Larger bodies are written concurrently with reading.
	maxInlineBodyBytes = 8 << 10

	maxResponseBytes = 64 << 20

	// writeEndTimeout is how long to wait for the end of the request's writing
	// after the response was read.
	writeEndTimeout = 2 * time.Millisecond
)

const (
	// outcomeDone means that the complete response to the request was received; its
	// status may be an error.
	outcomeDone attemptOutcome = iota
	// outcomeNotRun means that the server stated that it did not run the request.
	outcomeNotRun
	// outcomeUnsent means that no byte of the request was sent.
	outcomeUnsent
	// outcomeUnknown means that the request may have run.
	outcomeUnknown
	// outcomeCancelled means that the caller cancelled the request; it may have run.
	outcomeCancelled
)

type (
	// attemptOutcome classifies how one attempt ended, and whether the request may
	// have run.
	attemptOutcome int

	// Protocol names the HTTP headers used between instances, callers and backend
	// servers.
	Protocol struct {
		RequestID      string
		Deadline       string // remaining time in milliseconds
		Key            string // number of the key, 0 to ownership.KeyCount-1
		ExpectedServer string // ID of the server that is meant to run the request
		ServerID       string // ID of the server that responds
		Signature      string // set by the server on every 2xx response
		NotRun         string // marks a refusal before the request was started
		Load           string // load report of the server, see ParseLoad
		Leaving        string // marks the responses of a server that is shutting down
		RateLimit      string // requests a second that the server takes from all instances together, see ParseRateLimit
		Warmup         string // in responses to health checks: how long the server stays cold, see ParseWarmup
		// ParseLoad parses the value of the Load header.
		ParseLoad func(string) LoadReport
		// ParseRateLimit parses the value of the RateLimit header.
		ParseRateLimit func(string) (float64, error)
		// ParseWarmup parses the value of the Warmup header; 0 means that the server is warm.
		ParseWarmup func(string) (time.Duration, error)
	}

	// request is a caller's request while it is served.
	request struct {
		id             string
		method         string
		requestURI     string // request target, as the caller sent it
		host           string
		header         http.Header
		body           body
		idempotent     bool
		callerIP       string // "" if not known
		forwarded      bool   // received from another instance
		deadline       time.Time
		callerDeadline time.Time // as the caller stated it; deadline may be earlier
		returning      bool      // the caller has spent part of its time before, see usualDeadlines

		watch  *overdueWatch       // of the attempt in progress; nil if it is not watched
		caller http.ResponseWriter // nil if responses must be complete before they are passed on

		room      *memory.Room // for body; nil without one
		responses *memory.Room // for the responses of the attempt in progress or last made; nil without any
		kept      *memory.Room // for an earlier attempt's response that may still be the final one; nil without one
	}

	// response is a backend server's complete response.
	response struct {
		status   int
		header   http.Header
		body     body
		room     *memory.Room // for body; nil without one
		streamed bool         // was passed on to the caller while it was received
		delivery *stream      // streamed and received, and not yet taken by the caller to its end; nil for others
		broken   bool         // streamed, and did not reach the caller to its end
		bodiless bool         // has no body whatever its header announces, as the request was a HEAD
	}

	// requestWrite is the writing of one request, which may run concurrently with
	// the reading of its response.
	requestWrite struct {
		result   chan error // receives the result of the writing
		finished bool       // result has been received
		err      error      // result of the writing, once finished
	}

	// attemptResult is the result of sending a request to a server once.
	attemptResult struct {
		outcome              attemptOutcome
		response             *response // nil if no complete response to the request was received
		code                 code.Code
		err                  error
		connLimited          bool // not sent because the instance reached its connection limit
		responded            bool // the server sent bytes
		closedBeforeResponse bool // the server closed or reset the connection before a complete response head
		report               LoadReport
		notice               responseNotice
		respondedAt          time.Time     // when a streamed response began; zero for others
		sentAt               time.Time     // before the request was written; zero if no connection was obtained
		duration             time.Duration // from the request for a connection to the end of the attempt, without dialTime; 0 if no connection was obtained
		dialTime             time.Duration // 0 if no connection was opened
		reused               bool
		idleBefore           time.Duration // time for which a reused connection had been idle
		bytes                int64         // written and read
		requestBytes         int64         // written
	}
)

var (
	errWrongRequestID   = errors.New("response belongs to another request")
	errUnsigned         = errors.New("success response lacks the server's signature")
	errEncoded          = errors.New("success response with a Content-Encoding is not accepted as the backend server's own")
	errAmbiguousRefusal = errors.New("server refused the request without stating that it was not run")
	errResponseTooLarge = fmt.Errorf("response body exceeds %d bytes", maxResponseBytes)
	errCallerStopped    = errors.New("the caller takes no more of its response")
	errWriteFailed      = errors.New("the connection failed while the request was written, so that its end does not complete a response without a length")
	expiredDeadline     = time.Unix(1, 0) // as a connection's deadline, it aborts reads and writes in progress

	// framingHeaders are written by writeRequest itself, as the body requires.
	framingHeaders = map[string]bool{"Host": true, "Content-Length": true}
)

// exchange sends r to b once and reads the response. ctx is cancelled when the
// caller disconnects.
func (s *Server) exchange(ctx context.Context, b *backend, r *request) attemptResult {
	info := b.info.Load()
	start := time.Now()
	c, dialTime, err := b.pool.get(ctx, info.Address, r.id, s.connectionLimitAt(b, start), s.maxIdle(b, r.idempotent, start), r.deadline)
	if err != nil {
		return attemptResult{outcome: unsentOrCancelled(ctx), code: code.BackendUnreachable, err: err, connLimited: errors.Is(err, errConnLimit)}
	}
	if callerGone(ctx) {
		b.pool.putUnused(c, time.Now())
		return attemptResult{outcome: outcomeCancelled, code: code.CancelledInQueue, dialTime: dialTime}
	}
	a := attemptResult{dialTime: dialTime, reused: c.reused}
	c.remember(r.id)
	a.sentAt = time.Now()
	if c.reused {
		a.idleBefore = a.sentAt.Sub(c.idleSince)
	}
	_ = c.SetDeadline(r.deadline) // if it fails, the write fails too
	defer s.endBeforeStop(c, r.deadline)()
	// From here on, a disconnect of the caller aborts the attempt only if r is
	// idempotent.
	stopAbort := func() bool { return true }
	if r.idempotent {
		stopAbort = context.AfterFunc(ctx, func() { _ = c.SetDeadline(expiredDeadline) })
	}
	r.watch.start(c, a.sentAt)
	write := &requestWrite{result: make(chan error, 1)}
	if r.body.length <= maxInlineBodyBytes {
		write.result <- s.writeRequest(c, r, b)
	} else {
		go func() { write.result <- s.writeRequest(c, r, b) }()
	}
	reusable := s.readResponse(ctx, c, r, &a, write)
	// An abort that has begun would end the next attempt on the connection.
	reusable = stopAbort() && reusable
	if !reusable {
		b.pool.closeConn(c)
	}
	_ = write.wait() // returns soon: the writing is complete or the connection is closed
	a.duration = time.Since(start) - dialTime
	if !a.respondedAt.IsZero() {
		a.duration = a.respondedAt.Sub(start) - dialTime // without the time that the caller takes
	}
	a.bytes, a.requestBytes, a.responded = c.bytesWritten+c.bytesRead, c.bytesWritten, c.bytesRead > 0
	if reusable {
		b.pool.put(c, time.Now()) // from here on, c belongs to another attempt
	}
	return a
}

func unsentOrCancelled(ctx context.Context) attemptOutcome {
	if ctx.Err() != nil {
		return outcomeCancelled
	}
	return outcomeUnsent
}

// writeRequest writes r to b, a backend server or a peer. Method, target, host and body go
// out byte for byte as the caller sent them, which net/http's Request.Write does not ensure:
// it changes targets that begin with two slashes. Hop-by-hop headers are left out, and the
// headers that the instance sets replace the caller's.
func (s *Server) writeRequest(c *conn, r *request, b *backend) error {
	h := r.header.Clone()
	if b.peer {
		h.Set(callerIPHeader, r.callerIP)
		if t := s.routingTable.Load(); t != nil {
			h.Set(configVersionHeader, strconv.FormatUint(t.Version, 10))
		}
	} else {
		h.Set(s.protocol.ExpectedServer, b.info.Load().ID)
	}
	h.Set(s.protocol.Deadline, strconv.FormatInt(max(1, time.Until(r.deadline).Milliseconds()), 10))
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.method, r.requestURI, r.host)
	if r.body.length > 0 || r.method == http.MethodPost || r.method == http.MethodPut || r.method == http.MethodPatch {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", r.body.length)
	}
	if err := h.WriteSubset(&head, framingHeaders); err != nil {
		return err
	}
	head.WriteString("\r\n")
	if r.body.length <= maxInlineBodyBytes {
		_, _ = r.body.WriteTo(&head) // a Buffer takes all
		_, err := c.Write(head.Bytes())
		return err
	}
	if _, err := c.Write(head.Bytes()); err != nil {
		return err
	}
	_, err := r.body.WriteTo(c)
	return err
}

// readResponse reads the response to r, skipping responses to other requests,
// and reports whether the connection can carry another request.
func (s *Server) readResponse(ctx context.Context, c *conn, r *request, a *attemptResult, write *requestWrite) bool {
	clean := true // no response to another request was read
	for mismatched := 0; ; mismatched++ {
		head, err := readResponseHead(c, r)
		if r.watch.stop() {
			a.outcome, a.code, a.err = outcomeUnknown, code.BackendTimeout, errOverdue
			return false
		}
		if err != nil {
			s.classifyError(ctx, c, r, a, err, write)
			return false
		}
		// Of a refusal only the head counts, so that its body may be cut off.
		if !httpresponse.SelfDelimited(head) && !s.statesNotRun(head.StatusCode, head.Header) {
			head.Body = &closeDelimitedBody{ReadCloser: head.Body, conn: c, write: write}
		}
		beginning, err := s.readStart(head, r)
		if err != nil {
			a.outcome, a.code, a.err = outcomeUnknown, code.AnswerCutOff, err
			return false
		}
		resp := beginning.response
		// A response which states that the request was not run may lack a request ID. It is
		// the response to r if r's own response is the only one outstanding, which holds unless
		// a response to another request was read: a connection is reused only after
		// responses that all had an ID, so a second copy of one of them has it too.
		id := resp.header.Get(s.protocol.RequestID)
		if unnamed := id == "" && s.statesNotRun(resp.status, resp.header); id != r.id && (!unnamed || !clean) {
			clean = false
			if unnamed || mismatched == maxMismatchedResponses || beginning.rest != nil {
				a.outcome, a.code, a.err = outcomeUnknown, code.AnswerCrossed, errWrongRequestID
				return false
			}
			continue
		}
		s.classifyResponse(resp, a)
		if !s.finish(ctx, c, r, beginning, a) {
			return false
		}
		written := write.writtenSoon()
		// A connection is reused only after a complete exchange without unexpected
		// responses or bytes. A second copy of a response without a request ID could not
		// be told from the next response.
		if !clean || id == "" || !written || head.Close || a.outcome == outcomeUnknown || c.reader.Buffered() > 0 {
			return false
		}
		c.setIdleTimeout(resp.header.Get("Keep-Alive"))
		return true
	}
}

// writtenSoon reports whether the whole request was written, waiting up to
// writeEndTimeout. If not, the connection must be closed to end the writing.
func (w *requestWrite) writtenSoon() bool {
	if w.finished {
		return w.err == nil
	}
	timer := time.NewTimer(writeEndTimeout)
	defer timer.Stop()
	select {
	case w.err = <-w.result:
		w.finished = true
		return w.err == nil
	case <-timer.C:
		return false
	}
}

// wait waits for the end of the writing and returns its error.
func (w *requestWrite) wait() error {
	if !w.finished {
		w.err = <-w.result
		w.finished = true
	}
	return w.err
}

// failed reports whether the connection failed while the request was written to c, of which
// nothing more is read. It ends a writing that is still in progress.
func (w *requestWrite) failed(c *conn) bool {
	if !w.writtenSoon() {
		_ = c.Close() // ends the writing; an error that it got before remains its result
	}
	err := w.wait()
	return err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded)
}

// readResponseHead reads the head of the next response, skipping interim (1xx) responses.
func readResponseHead(c *conn, r *request) (*http.Response, error) {
	c.headLimit = c.bytesRead + maxHeadBytes
	defer func() { c.headLimit = 0 }()
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
		if err == nil {
			err = httpresponse.Check(resp)
		}
		if err != nil {
			return nil, err
		}
		if !httpresponse.Interim(resp.StatusCode) {
			return resp, nil
		}
	}
}

// readRest reads the rest of a response that can't be passed on before it is complete. The
// memory for it grows with the bytes received.
func (s *Server) readRest(start responseStart, r *request) error {
	grow := func(n int64) error { return r.responses.Grow(n, time.Now()) }
	received := func(n int) { r.responses.Received(n, time.Now()) }
	b := &start.response.body
	err := b.readChunked(start.rest, maxResponseBytes, grow, received)
	switch {
	case err != nil:
		return err
	case b.length > maxResponseBytes:
		return errResponseTooLarge
	case start.length >= 0 && b.length != start.length:
		return io.ErrUnexpectedEOF
	}
	return nil
}

// statesNotRun reports whether a response with this status and header states that
// the server did not run the request.
func (s *Server) statesNotRun(status int, header http.Header) bool {
	return header.Get(s.protocol.NotRun) != "" || status == http.StatusMisdirectedRequest
}

// promisesNotRun reports whether a caller takes status as a guarantee that its
// request was not run. Without the server's statement (see statesNotRun) such a
// response gets outcomeUnknown and is not forwarded, because the request may
// have run.
func promisesNotRun(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// classifyResponse sets the outcome of a from the complete response to its
// request.
func (s *Server) classifyResponse(resp *response, a *attemptResult) {
	a.response = resp
	defer func() { a.notice = s.readNotice(resp, a.outcome, time.Now()) }()
	if v := resp.header.Get(s.protocol.Load); v != "" {
		a.report = s.protocol.ParseLoad(v)
	}
	is2xx := resp.status >= 200 && resp.status < 300
	switch {
	case s.statesNotRun(resp.status, resp.header):
		a.outcome, a.code = outcomeNotRun, code.RefusedByBackend
	case promisesNotRun(resp.status):
		a.outcome, a.code, a.err = outcomeUnknown, code.RefusalUnclear, errAmbiguousRefusal
	case is2xx && resp.header.Get(s.protocol.Signature) == "":
		a.outcome, a.code, a.err = outcomeUnknown, code.AnswerCrossed, errUnsigned
	case is2xx && resp.header.Get("Content-Encoding") != "":
		a.outcome, a.code, a.err = outcomeUnknown, code.AnswerCrossed, errEncoded
	default:
		a.outcome, a.code = outcomeDone, code.OK
	}
}

// classifyError sets the outcome of a when the head of its response could not be
// read.
func (s *Server) classifyError(ctx context.Context, c *conn, r *request, a *attemptResult, err error, write *requestWrite) {
	a.err = err
	s.boundByStop(r)
	_ = c.SetDeadline(expiredDeadline) // ends the writing of the request body
	writeErr := write.wait()
	switch {
	case c.bytesWritten == 0 && writeErr != nil:
		a.outcome, a.code = unsentOrCancelled(ctx), code.BackendUnreachable
	case r.idempotent && ctx.Err() != nil:
		a.outcome, a.code = outcomeCancelled, code.CancelledRunning
	case errors.Is(err, errHeadTooLong):
		a.outcome, a.code = outcomeUnknown, code.AnswerCutOff
	case errors.Is(err, httpresponse.ErrInvalid):
		a.outcome, a.code = outcomeUnknown, code.AnswerCrossed
	case closedByPeer(err):
		a.outcome, a.code, a.closedBeforeResponse = outcomeUnknown, code.BackendReset, true
	case !time.Now().Before(r.deadline):
		a.outcome, a.code = outcomeUnknown, code.BackendTimeout
	default:
		a.outcome, a.code = outcomeUnknown, code.BackendReset
	}
}

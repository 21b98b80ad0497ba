package direct

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"bronzewind.example/core/code"
)

const (
	// maxForeignResponses is the number of answers to other requests that are read past.
	maxForeignResponses = 2

	// maxInlineBodyBytes is the largest body that is written before the answer is read.
	maxInlineBodyBytes = 8 << 10

	maxResponseBytes = 64 << 20

	// writeEndTimeout is how long a writer that is done has to say so.
	writeEndTimeout = 2 * time.Millisecond
)

const (
	// outcomeDone means that the whole answer to the request is here; its status
	// may be a failure.
	outcomeDone outcome = iota
	// outcomeNotRun means that the server says it did not run the request.
	outcomeNotRun
	// outcomeUnsent means that no byte of the request left.
	outcomeUnsent
	// outcomeUnknown means that the request may have run.
	outcomeUnknown
	// outcomeCancelled means that the caller left; the request may have run.
	outcomeCancelled
)

type (
	// outcome is what is known of one try.
	outcome int

	// Dialect names the headers between instances, callers and backend servers.
	Dialect struct {
		RequestID string
		Deadline  string // milliseconds that are left
		Key       string // number of the key, 0 to ownership.KeyCount-1
		Expect    string // ID of the server that is to run the request
		Signature string // a success without it is not the server's
		NotRun    string // marks a refusal before any work
		Load      string
		// ParseLoad reads the value of Load.
		ParseLoad func(string) LoadReport
	}

	// request is a caller's request while it is served.
	request struct {
		id         string
		method     string
		target     string // path and query, as the caller sent them
		host       string
		header     http.Header
		body       []byte
		idempotent bool
		deadline   time.Time
	}

	// response is a backend server's whole response.
	response struct {
		status int
		header http.Header
		body   []byte
	}

	// requestWriter is the writing of one request, which may go on beside the reading of
	// its answer.
	requestWriter struct {
		done  chan error // holds the end of the writing
		ended bool       // done was read
		err   error      // of the writing, once ended
	}

	// attempt is how one exchange ended.
	attempt struct {
		outcome     outcome
		response    *response // of outcomeDone, and of outcomeNotRun
		reason      code.Code
		err         error
		connLimited bool // the instance has as many connections to the server as it may
		connBroken  bool // the connection broke before any byte of an answer
		report      LoadReport
		duration    time.Duration
		dialTime    time.Duration // 0 when a used connection was taken
		reused      bool
		bytes       int64 // written and read
	}
)

var (
	errForeign          = errors.New("the answer belongs to another request")
	errUnsigned         = errors.New("the success bears no signature of the server")
	errEncoded          = errors.New("the body of the success is encoded, so it is not the server's own")
	errAmbiguousRefusal = errors.New("the server refused without saying that it did not run the request")
	errResponseTooLarge = errors.New("the answer is longer than an instance holds")
	aLongTimeAgo        = time.Unix(1, 0)
)

// exchange sends r to b once and reads the answer. ctx ends when the caller
// leaves.
func (s *Server) exchange(ctx context.Context, b *backend, r *request) attempt {
	info := b.info.Load()
	began := time.Now()
	c, dialled, err := b.pool.get(ctx, info.Address, s.connectionLimit(info.Service), r.deadline)
	if err != nil {
		return attempt{outcome: unsentOrCancelled(ctx), reason: code.BackendUnreachable, err: err, connLimited: errors.Is(err, errConnLimit)}
	}
	t := attempt{dialTime: dialled, reused: c.reused}
	_ = c.SetDeadline(r.deadline) // a failure shows at the write
	if r.idempotent {
		stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(aLongTimeAgo) })
		defer stop()
	}
	body := &requestWriter{done: make(chan error, 1)}
	if len(r.body) <= maxInlineBodyBytes {
		body.done <- s.writeRequest(c, r, info.ID)
	} else {
		go func() { body.done <- s.writeRequest(c, r, info.ID) }()
	}
	s.readResponse(ctx, &b.pool, c, r, &t, body)
	_ = body.wait() // at once, or when the connection that was dropped has ended it
	t.duration = time.Since(began) - dialled
	t.bytes = c.bytesWritten + c.bytesRead
	return t
}

func unsentOrCancelled(ctx context.Context) outcome {
	if ctx.Err() != nil {
		return outcomeCancelled
	}
	return outcomeUnsent
}

// writeRequest writes r as the caller sent it, but for the headers that concern one
// connection and those that the instance sets itself.
func (s *Server) writeRequest(c *conn, r *request, id string) error {
	h := r.header.Clone()
	h.Set(s.protocol.Expect, id)
	h.Set(s.protocol.Deadline, strconv.FormatInt(max(1, time.Until(r.deadline).Milliseconds()), 10))
	if _, ok := h["User-Agent"]; !ok {
		h.Set("User-Agent", "") // or net/http adds its own
	}
	out := &http.Request{
		Method: r.method, Host: r.host, Header: h,
		URL: &url.URL{Scheme: "http", Host: r.host, Opaque: r.target},
	}
	if len(r.body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(r.body))
		out.ContentLength = int64(len(r.body))
	}
	return out.Write(c)
}

// readResponse reads the answer to r, past answers to other requests, and keeps
// or drops the connection.
func (s *Server) readResponse(ctx context.Context, p *pool, c *conn, r *request, t *attempt, body *requestWriter) {
	clean := true
	for stray := 0; ; stray++ {
		resp, err := readResponseHead(c, r)
		if err != nil {
			s.classifyError(ctx, c, r, t, err, body)
			p.closeConn(c)
			return
		}
		a, err := readFullResponse(resp)
		if err != nil {
			t.outcome, t.reason, t.err = outcomeUnknown, code.AnswerCutOff, err
			p.closeConn(c)
			return
		}
		if id := a.header.Get(s.protocol.RequestID); id != r.id && (id != "" || !s.provesNotRun(a)) {
			clean = false
			if stray == maxForeignResponses {
				t.outcome, t.reason, t.err = outcomeUnknown, code.AnswerCrossed, errForeign
				p.closeConn(c)
				return
			}
			continue
		}
		s.classifyResponse(a, t)
		whole := body.complete()
		if clean && whole && !resp.Close && t.outcome != outcomeUnknown && c.reader.Buffered() == 0 {
			c.setIdleTimeout(a.header.Get("Keep-Alive"))
			p.put(c, time.Now())
		} else {
			p.closeConn(c)
		}
		return
	}
}

// complete reports whether the whole request was written. A body that is still on
// its way ends with its connection.
func (w *requestWriter) complete() bool {
	timer := time.NewTimer(writeEndTimeout)
	defer timer.Stop()
	select {
	case w.err = <-w.done:
		w.ended = true
		return w.err == nil
	case <-timer.C:
		return false
	}
}

// wait returns once nothing is written any more, with the error that ended it.
func (w *requestWriter) wait() error {
	if !w.ended {
		w.err = <-w.done
		w.ended = true
	}
	return w.err
}

// readResponseHead reads the head of the next answer that is not informational.
func readResponseHead(c *conn, r *request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
		if err != nil || resp.StatusCode >= 200 {
			return resp, err
		}
	}
}

func readFullResponse(resp *http.Response) (*response, error) {
	a := &response{status: resp.StatusCode, header: resp.Header}
	var err error
	if n := resp.ContentLength; n >= 0 && n <= maxResponseBytes {
		a.body = make([]byte, n)
		_, err = io.ReadFull(resp.Body, a.body)
		return a, err
	}
	a.body, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err == nil && len(a.body) > maxResponseBytes {
		err = errResponseTooLarge
	}
	return a, err
}

func (s *Server) provesNotRun(a *response) bool {
	return a.header.Get(s.protocol.NotRun) != "" || a.status == http.StatusMisdirectedRequest
}

// impliesNotRun reports whether a caller takes status as a promise that its
// request was not run.
func impliesNotRun(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// classifyResponse finds the outcome of a whole answer to the request.
func (s *Server) classifyResponse(a *response, t *attempt) {
	t.response = a
	if v := a.header.Get(s.protocol.Load); v != "" {
		t.report = s.protocol.ParseLoad(v)
	}
	success := a.status >= 200 && a.status < 300
	switch {
	case s.provesNotRun(a):
		t.outcome, t.reason = outcomeNotRun, code.RefusedByBackend
	case impliesNotRun(a.status):
		t.outcome, t.reason, t.err = outcomeUnknown, code.RefusalUnclear, errAmbiguousRefusal
	case success && a.header.Get(s.protocol.Signature) == "":
		t.outcome, t.reason, t.err = outcomeUnknown, code.AnswerCrossed, errUnsigned
	case success && a.header.Get("Content-Encoding") != "":
		t.outcome, t.reason, t.err = outcomeUnknown, code.AnswerCrossed, errEncoded
	default:
		t.outcome, t.reason = outcomeDone, code.OK
	}
}

// classifyError finds the outcome of a request whose answer could not be read.
func (s *Server) classifyError(ctx context.Context, c *conn, r *request, t *attempt, err error, body *requestWriter) {
	t.err = err
	_ = c.SetDeadline(aLongTimeAgo) // so that a body still being written ends
	werr := body.wait()
	switch {
	case c.bytesWritten == 0 && werr != nil:
		t.outcome, t.reason = unsentOrCancelled(ctx), code.BackendUnreachable
	case r.idempotent && ctx.Err() != nil:
		t.outcome, t.reason = outcomeCancelled, code.CancelledRunning
	case closedByPeer(err):
		t.outcome, t.reason, t.connBroken = outcomeUnknown, code.BackendReset, true
	case !time.Now().Before(r.deadline):
		t.outcome, t.reason = outcomeUnknown, code.BackendTimeout
	default:
		t.outcome, t.reason = outcomeUnknown, code.BackendReset
	}
}

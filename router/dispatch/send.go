package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"bronzewind.example/core/backend"
	"bronzewind.example/core/code"
	"bronzewind.example/core/httpresponse"
)

// send sends a started job to the backend server. The slot is freed when a
// short response has been read, when the body of a longer one is closed, or when
// there is no response; see newResponse. A once-only request runs to its end even
// when its caller disconnects, so that a repeat can be answered with the result
// of this execution.
func (d *Dispatcher) send(ctx context.Context, j *job) (*Response, error) {
	if j.request.record != nil {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, j.request.Deadline)
	ctx, span := d.set.tracer.Start(ctx, "backend", trace.WithAttributes(
		attribute.String("server", j.request.Server), attribute.Int("slot", int(j.slot))))
	var (
		once sync.Once
		f    *inFlightRequest // nil before the request may be sent
	)
	end := func(readFailed bool) {
		once.Do(func() {
			if f != nil {
				readFailed = readFailed && ctx.Err() == nil
				d.inFlight.remove(f, readFailed, readFailed && d.set.connectFails(d.address()))
			}
			span.End()
			cancel()
			d.finish(j)
		})
	}
	f, err := d.prepareToSend(ctx, j.request)
	if err != nil {
		end(false)
		return nil, err
	}
	resp, err := d.roundTrip(ctx, j)
	if err != nil {
		end(isReset(err))
		return nil, err
	}
	d.recordOverload(j, resp)
	response, err := newResponse(resp, end)
	return response, timeoutError(ctx, err)
}

// prepareToSend waits until r may be sent beside the requests in flight, see
// waitToSend, and then replicates the idempotency record of r, if there is one.
func (d *Dispatcher) prepareToSend(ctx context.Context, r *Request) (*inFlightRequest, error) {
	f, err := d.inFlight.waitToSend(ctx, r)
	if err != nil || r.record == nil {
		return f, err
	}
	if err := d.replicateRecord(ctx, r); err != nil {
		d.inFlight.remove(f, false, false)
		return nil, err
	}
	return f, nil
}

func (d *Dispatcher) address() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.server.Address
}

func isReset(err error) bool {
	var e *code.Error
	return errors.As(err, &e) && e.Code == code.BackendReset
}

// roundTrip returns a response that belongs to j and is self-delimited.
func (d *Dispatcher) roundTrip(ctx context.Context, j *job) (*http.Response, error) {
	var a attempt
	body := &singleUseReader{source: j.request.Body}
	req, err := d.newRequest(a.trace(ctx), j, body)
	if err != nil {
		return nil, code.NewError(code.MalformedRequest, err.Error())
	}
	resp, err := d.transport.RoundTrip(req)
	if err != nil {
		j.request.bodyRead = body.seal() || j.request.bodyRead
		return nil, classifyTransportError(ctx, err, a.sealIfUnwritten(), body.hasSourceFailed())
	}
	if e := d.checkResponse(req, resp); e != nil {
		j.request.bodyRead = body.seal() || j.request.bodyRead
		if e.Code != code.RefusedByBackend {
			a.closeConn()
		}
		resp.Body.Close()
		return nil, e
	}
	return resp, nil
}

// checkResponse returns an error for an invalid response, for a response to
// another request, for a response that is not self-delimited, and for a refusal
// if the service is configured to trust refusals.
func (d *Dispatcher) checkResponse(req *http.Request, resp *http.Response) *code.Error {
	if err := httpresponse.Check(resp); err != nil {
		return code.NewError(code.AnswerCrossed, err.Error())
	}
	sent := req.Header.Get(backend.SequenceHeader)
	for _, got := range resp.Header.Values(backend.SequenceHeader) {
		if got != sent {
			return code.NewError(code.AnswerCrossed, "the response belongs to request "+strconv.Quote(got)+", expected "+strconv.Quote(sent))
		}
	}
	if reason := resp.Header.Get(backend.RefusedHeader); reason != "" && d.trustsRefusals() {
		return code.NewError(code.RefusedByBackend, reason)
	}
	if !httpresponse.SelfDelimited(resp) {
		return code.NewError(code.AnswerCutOff, "the response has neither a length nor chunked encoding")
	}
	return nil
}

func (d *Dispatcher) trustsRefusals() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.service.Config.TrustsRefusals
}

// newRequest returns the HTTP request of j with a body that net/http cannot
// send a second time, see singleUseReader. After a broken connection, net/http
// would otherwise resend any GET and any request with an Idempotency-Key by
// itself.
func (d *Dispatcher) newRequest(ctx context.Context, j *job, body *singleUseReader) (*http.Request, error) {
	r := j.request
	d.mu.Lock()
	server, epoch := d.server, d.grantEpoch
	d.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+server.Address+r.RequestURI, body)
	if err != nil {
		return nil, fmt.Errorf("request to %s: %w", server.Name, err)
	}
	req.ContentLength = r.Length
	req.Header = r.Header.Clone()
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	left := r.Deadline.Sub(d.set.clock.Now()).Milliseconds()
	req.Header.Set(backend.DeadlineHeader, strconv.FormatInt(left, 10))
	req.Header.Set(backend.EpochHeader, strconv.FormatUint(epoch, 10))
	req.Header.Set(backend.SlotHeader, strconv.FormatUint(uint64(j.slot), 10))
	req.Header.Set(backend.HashHeader, strconv.FormatUint(uint64(r.Hash), 16))
	if r.IdempotencyKey != "" {
		req.Header.Set(backend.IdempotencyHeader, r.IdempotencyKey)
	}
	req.Header.Set(backend.SequenceHeader, fmt.Sprintf("%s.%d.%d", server.Name, epoch, j.sequence))
	return req, nil
}

// classifyTransportError maps an error of the transport to a result code. Only
// a request of which no byte was written provably did not run.
func classifyTransportError(ctx context.Context, err error, unwritten, bodyFailed bool) error {
	deadlinePassed := errors.Is(ctx.Err(), context.DeadlineExceeded)
	switch {
	case unwritten && deadlinePassed:
		return code.NewError(code.DeadlineBeforeStart, "no connection to the backend server before the deadline")
	case unwritten && ctx.Err() != nil:
		return code.NewError(code.CancelledInQueue, "the caller cancelled the request or disconnected")
	case unwritten:
		return code.NewError(code.BackendUnreachable, err.Error())
	case deadlinePassed:
		return code.NewError(code.BackendTimeout, "no response before the deadline")
	case bodyFailed:
		return code.NewError(code.UploadCutOff, err.Error())
	case ctx.Err() != nil:
		return code.NewError(code.CancelledRunning, "the caller cancelled the request or disconnected")
	case errors.Is(err, httpresponse.ErrInvalid):
		return code.NewError(code.AnswerCrossed, err.Error())
	default:
		return code.NewError(code.BackendReset, err.Error())
	}
}

// timeoutError returns a timeout error if err was caused by the deadline, and
// err otherwise.
func timeoutError(ctx context.Context, err error) error {
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return code.NewError(code.BackendTimeout, "the response was not complete before the deadline")
	}
	return err
}

// singleUseReader is a request body that net/http cannot read a second time:
// net/http cannot rewind a body of a type unknown to it. The source may be used
// again by the next attempt, after seal.
type singleUseReader struct {
	source       io.Reader // nil when there is no body
	readStarted  atomic.Bool
	sealed       atomic.Bool
	sourceFailed atomic.Bool
	mu           sync.Mutex // held during a read
}

// Read implements io.Reader.
func (s *singleUseReader) Read(p []byte) (int, error) {
	if s.source == nil {
		return 0, io.EOF
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readStarted.Store(true)
	if s.sealed.Load() {
		return 0, io.ErrClosedPipe
	}
	n, err := s.source.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		s.sourceFailed.Store(true)
	}
	return n, err
}

// seal prevents further reads, since net/http may still read after it has
// returned an error, and reports whether a read was started. It waits for a
// running read only if the source is in memory.
func (s *singleUseReader) seal() bool {
	s.sealed.Store(true)
	if _, ok := s.source.(io.Seeker); ok {
		s.mu.Lock()
		defer s.mu.Unlock()
	}
	return s.readStarted.Load()
}

// hasSourceFailed reports whether a read of the source has failed.
func (s *singleUseReader) hasSourceFailed() bool { return s.sourceFailed.Load() }

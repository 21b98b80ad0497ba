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
)

// send runs a started job on the backend server. The slot is freed when the
// answer's body is closed, or when there is no answer. Once-only work runs to
// its end when its caller goes away, so that a repeat learns what became of it.
func (d *Dispatcher) send(ctx context.Context, j *job) (*Answer, error) {
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
	end := func(broke bool) {
		once.Do(func() {
			if f != nil {
				broke = broke && ctx.Err() == nil
				d.inFlight.remove(f, broke, broke && d.set.refusesConnections(d.address()))
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
	d.checkOverload(j, resp)
	answer, err := newResponse(resp, end)
	return answer, timeoutError(ctx, err)
}

// prepareToSend returns once r may be sent: its mark is placed, and it doesn't run
// beside a request that may crash the backend server.
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

// roundTrip returns an answer that belongs to j and whose end can be told.
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
		return nil, classifyTransportError(ctx, err, a.sealIfUnwritten(), body.failed())
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

// checkResponse returns an error for an answer of another request, for one whose end
// can't be told, and for a refusal that is trusted.
func (d *Dispatcher) checkResponse(req *http.Request, resp *http.Response) *code.Error {
	sent := req.Header.Get(backend.SequenceHeader)
	for _, got := range resp.Header.Values(backend.SequenceHeader) {
		if got != sent {
			return code.NewError(code.AnswerCrossed, "the answer belongs to request "+strconv.Quote(got))
		}
	}
	if reason := resp.Header.Get(backend.RefusedHeader); reason != "" && d.trustsRefusals() {
		return code.NewError(code.RefusedByBackend, reason)
	}
	if !selfDelimited(resp) {
		return code.NewError(code.AnswerCutOff, "the answer has neither a length nor chunks")
	}
	return nil
}

func (d *Dispatcher) trustsRefusals() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.service.Config.TrustsRefusals
}

// newRequest returns the request of j with a body that net/http can't send a
// second time: it would do so by itself after a connection broke, for any GET
// and for any request with an Idempotency-Key.
func (d *Dispatcher) newRequest(ctx context.Context, j *job, body *singleUseReader) (*http.Request, error) {
	r := j.request
	d.mu.Lock()
	server, epoch := d.server, d.epoch
	d.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+server.Address+r.Target, body)
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

// classifyTransportError classes an error of the transport. Only a request of which no byte
// was written provably did not run.
func classifyTransportError(ctx context.Context, err error, unwritten, bodyFailed bool) error {
	late := errors.Is(ctx.Err(), context.DeadlineExceeded)
	switch {
	case unwritten && late:
		return code.NewError(code.DeadlineBeforeStart, "no connection in time")
	case unwritten && ctx.Err() != nil:
		return code.NewError(code.CancelledInQueue, "the caller went away")
	case unwritten:
		return code.NewError(code.BackendUnreachable, err.Error())
	case late:
		return code.NewError(code.BackendTimeout, "no answer in time")
	case bodyFailed:
		return code.NewError(code.UploadCutOff, err.Error())
	case ctx.Err() != nil:
		return code.NewError(code.CancelledRunning, "the caller went away")
	default:
		return code.NewError(code.BackendReset, err.Error())
	}
}

// timeoutError names the deadline as the cause of an answer that was cut off by it.
func timeoutError(ctx context.Context, err error) error {
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return code.NewError(code.BackendTimeout, "the answer was not whole in time")
	}
	return err
}

// singleUseReader is a body that net/http can't read a second time.
type singleUseReader struct {
	source io.Reader // nil when there is no body
	began  atomic.Bool
	sealed atomic.Bool
	broken atomic.Bool
	mu     sync.Mutex // held by a read
}

// Read implements io.Reader.
func (o *singleUseReader) Read(p []byte) (int, error) {
	if o.source == nil {
		return 0, io.EOF
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.began.Store(true)
	if o.sealed.Load() {
		return 0, io.ErrClosedPipe
	}
	n, err := o.source.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		o.broken.Store(true)
	}
	return n, err
}

// seal lets no further read begin, since net/http may still read after it gave
// an error, and reports whether one was begun. It waits only for reads from
// memory.
func (o *singleUseReader) seal() bool {
	o.sealed.Store(true)
	if _, ok := o.source.(io.Seeker); ok {
		o.mu.Lock()
		defer o.mu.Unlock()
	}
	return o.began.Load()
}

// failed reports whether the source of the body broke.
func (o *singleUseReader) failed() bool { return o.broken.Load() }

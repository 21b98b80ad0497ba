package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
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
// answer's body is closed, or when there is no answer.
func (d *Dispatcher) send(ctx context.Context, j *job) (*Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, j.request.Deadline)
	ctx, span := d.set.tracer.Start(ctx, "dispatch", trace.WithAttributes(
		attribute.String("server", d.server.Name), attribute.Int("slot", int(j.slot))))
	var once sync.Once
	end := func() {
		once.Do(func() {
			span.End()
			cancel()
			d.finish(j)
		})
	}
	resp, err := d.roundTrip(ctx, j)
	if err != nil {
		end()
		return nil, err
	}
	d.judge(j, resp)
	return &Answer{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		Body: &answerBody{ReadCloser: resp.Body, end: end},
	}, nil
}

func (d *Dispatcher) roundTrip(ctx context.Context, j *job) (*http.Response, error) {
	var wrote atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { wrote.Store(true) },
	})
	req, err := d.newRequest(traced, j)
	if err != nil {
		return nil, code.NewError(code.MalformedRequest, err.Error())
	}
	resp, err := d.transport.RoundTrip(req)
	if err != nil {
		return nil, failure(ctx, err, wrote.Load())
	}
	if resp.Header.Get(backend.RefusedHeader) != "" && d.service.Config.TrustsRefusals {
		resp.Body.Close()
		return nil, code.NewError(code.RefusedByBackend, resp.Header.Get(backend.RefusedHeader))
	}
	if got := resp.Header.Get(backend.SequenceHeader); got != "" && got != req.Header.Get(backend.SequenceHeader) {
		resp.Body.Close()
		return nil, code.NewError(code.AnswerCutOff, "the answer belongs to another request")
	}
	return resp, nil
}

func (d *Dispatcher) newRequest(ctx context.Context, j *job) (*http.Request, error) {
	r := j.request
	var body io.Reader
	if r.Body != nil {
		body = &onceReader{r: r.Body}
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+d.server.Address+r.Target, body)
	if err != nil {
		return nil, fmt.Errorf("request to %s: %w", d.server.Name, err)
	}
	// net/http sends a request with an Idempotency-Key again by itself unless
	// its body can't be read twice.
	if body == nil {
		req.Body = io.NopCloser(&onceReader{})
	}
	req.ContentLength = r.Length
	req.Header = r.Header.Clone()
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	left := r.Deadline.Sub(d.set.clock.Now()).Milliseconds()
	req.Header.Set(backend.DeadlineHeader, strconv.FormatInt(left, 10))
	req.Header.Set(backend.EpochHeader, strconv.FormatUint(d.epoch, 10))
	req.Header.Set(backend.SlotHeader, strconv.FormatUint(uint64(j.slot), 10))
	req.Header.Set(backend.HashHeader, strconv.FormatUint(uint64(r.Hash), 16))
	req.Header.Set(backend.SequenceHeader, strconv.FormatUint(d.epoch, 10)+"."+strconv.FormatUint(j.arrived, 10))
	return req, nil
}

// failure classes an error of the transport: only a request that never got a
// connection provably did not run.
func failure(ctx context.Context, err error, wrote bool) error {
	switch {
	case !wrote && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return code.NewError(code.DeadlineBeforeStart, "no connection in time")
	case !wrote:
		return code.NewError(code.BackendUnreachable, err.Error())
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return code.NewError(code.BackendTimeout, "no answer in time")
	case ctx.Err() != nil:
		return code.NewError(code.CancelledRunning, "the caller went away")
	default:
		return code.NewError(code.BackendReset, err.Error())
	}
}

// onceReader is a body that net/http can't read a second time.
type onceReader struct{ r io.Reader }

// Read implements io.Reader.
func (o *onceReader) Read(p []byte) (int, error) {
	if o.r == nil {
		return 0, io.EOF
	}
	return o.r.Read(p)
}

// answerBody ends the job when it is closed.
type answerBody struct {
	io.ReadCloser
	end func()
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	b.end()
	return err
}

package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"bronzewind.example/core/backend"
	"bronzewind.example/core/code"
	"bronzewind.example/core/config"
	"bronzewind.example/core/control"
	"bronzewind.example/core/keyspace"
	"bronzewind.example/core/route"
)

type (
	// Dispatcher queues and sends the requests of one backend server. Queueing
	// starts no goroutine: the goroutine that called Do waits for the start of its
	// request, for its deadline, and for its next attempt.
	Dispatcher struct {
		set          *Dispatchers
		transport    http.RoundTripper
		inFlight     *inFlightTracker
		mayStartFunc func(*job) bool // the method value mayStart, evaluated once

		mu           sync.Mutex // guards all below
		service      *route.Service
		server       *route.Server
		closed       bool
		grantedUntil time.Time // the grant is guaranteed to be valid before this time
		grantEpoch   uint64    // of the last grant; sent to the backend server
		ownership    ownership
		loadMeter    loadMeter
		queue        *queue
		limiter      limiter
		slowStart    slowStart
		running      map[*job]struct{}
	}
)

func newDispatcher(s *Dispatchers, service *route.Service, server *route.Server, callers []config.Caller) *Dispatcher {
	t := s.transport
	if t == nil {
		t = newTransport(service.Config.Connections)
	}
	d := &Dispatcher{
		set: s, transport: t, inFlight: newInFlightTracker(s.suspects), service: service, server: server,
		queue:     newQueue(service.Config, callers),
		limiter:   newLimiter(service.Config.ServerSlots),
		loadMeter: newLoadMeter(s.clock.Now()),
		running:   map[*job]struct{}{},
	}
	d.mayStartFunc = d.mayStart
	return d
}

// setRoute applies a new routing table and refuses queued requests whose key the
// backend server no longer owns.
func (d *Dispatcher) setRoute(service *route.Service, server *route.Server, callers []config.Caller) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if service.Config != d.service.Config {
		d.queue.configure(service.Config, callers)
		d.limiter.setMax(service.Config.ServerSlots)
	}
	d.service, d.server = service, server
	if !server.Up {
		d.inFlight.serverDown()
	}
	d.refuseQueued("the backend server no longer owns the key", func(j *job) bool { return !d.owns(j.request.Hash) })
	d.startNext(d.set.clock.Now())
}

// owns reports whether the backend server owns the key with hash h. d.mu must
// be held.
func (d *Dispatcher) owns(h keyspace.Hash) bool {
	owner, _, ok := d.service.Lookup(h)
	return ok && owner.Name == d.server.Name
}

// authorize applies a grant. A new incarnation gets a new limiter, and a slow
// start if it is cold: if the routing table does not report it up yet.
func (d *Dispatcher) authorize(a control.Authorize) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.set.clock.Now()
	d.grantedUntil, d.grantEpoch = a.Until, a.Epoch
	d.inFlight.setIncarnation(a.Incarnation)
	d.ownership.authorize(a, d.service.Config.Slots)
	d.reportDrained()
	cold := !d.server.Up || d.server.Run != a.Incarnation
	if a.Incarnation != d.slowStart.incarnation {
		d.limiter = newLimiter(d.service.Config.ServerSlots)
	}
	d.slowStart = d.slowStart.forIncarnation(a.Incarnation, cold, d.service.Config.ColdStart.Std(), now)
	d.queue.unpark(now, d.mayStartFunc)
	d.startNext(now)
}

func (d *Dispatcher) pauseSlots(h control.PauseSlots) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ownership.pause(h)
	d.reportDrained()
}

// reportDrained notifies control which of the paused slots and keys have no
// request in flight. d.mu must be held.
func (d *Dispatcher) reportDrained() {
	slots, keys, changed := d.ownership.drainedIfChanged(d.running)
	if !changed {
		return
	}
	event := control.SlotsDrained{Service: d.server.Service, Server: d.server.Name, PauseID: d.ownership.pauseID, Ranges: slots, Keys: keys}
	go d.set.onDrained(event)
}

func (d *Dispatcher) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	if t, ok := d.transport.(*http.Transport); ok {
		defer t.CloseIdleConnections()
	}
	d.refuseQueued("this instance no longer dispatches to the backend server", func(*job) bool { return true })
}

// refuseQueued refuses the queued jobs that match. d.mu must be held.
func (d *Dispatcher) refuseQueued(reason string, match func(*job) bool) {
	var out []*job
	d.queue.each(func(j *job) {
		if match(j) {
			out = append(out, j)
		}
	})
	for _, j := range out {
		d.queue.remove(j)
		j.start <- code.NewError(code.StaleRoute, reason)
	}
}

func (d *Dispatcher) do(ctx context.Context, r *Request) (*Response, error) {
	if r.Kind.OnceOnly {
		return d.doOnceOnly(ctx, r)
	}
	return d.enqueueAndSend(ctx, r)
}

// enqueueAndSend queues r and sends it once a slot is free. After an attempt that
// provably did not run, r is queued again if the wait before the next attempt ends
// before startBy and before ctx is done, the body can be sent again, the backend
// server still owns the key, and d is not closed. If the time runs out before the
// next attempt is sent, the error is that of the previous attempt, which says why
// the time ran out.
func (d *Dispatcher) enqueueAndSend(ctx context.Context, r *Request) (*Response, error) {
	j, err := d.enqueue(r)
	if err != nil {
		return nil, err
	}
	var previous error // of the attempt before the current one; nil at the first
	for {
		if err := d.waitForStart(ctx, j); err != nil {
			return nil, errorBeforeTimeRanOut(previous, err)
		}
		response, err := d.send(ctx, j)
		if err == nil {
			return response, nil
		}
		wait, retry := d.recordFailedAttempt(ctx, j, err)
		if !retry || !d.waitBeforeRetry(ctx, wait) {
			return nil, errorBeforeTimeRanOut(previous, err)
		}
		previous = err
		d.set.metrics.retried.Add(1)
		if err := d.requeue(j); err != nil {
			return nil, errorBeforeTimeRanOut(previous, err)
		}
	}
}

// errorBeforeTimeRanOut returns previous, the error of an earlier attempt, if
// there is one and err says only that no time was left; otherwise it returns err.
func errorBeforeTimeRanOut(previous, err error) error {
	var e *code.Error
	if previous != nil && errors.As(err, &e) && (e.Code == code.DeadlineBeforeStart || e.Code == code.TargetUnreachable) {
		return previous
	}
	return err
}

// waitForStart waits until j starts, or returns the reason why it cannot
// start.
func (d *Dispatcher) waitForStart(ctx context.Context, j *job) error {
	if j.start == nil {
		return nil
	}
	timer := d.set.clock.NewTimer(j.startBy.Sub(d.set.clock.Now()))
	defer timer.Stop()
	select {
	case err := <-j.start:
		return err
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return d.cancelQueued(j, code.NewError(code.DeadlineBeforeStart, "the request could not start before its deadline: no free slot, no valid grant for its key, or its key is paused"))
		}
		return d.cancelQueued(j, code.NewError(code.CancelledInQueue, "the caller cancelled the request or disconnected"))
	case <-timer.C:
		d.refuseExpired()
		return d.cancelQueued(j, code.NewError(code.TargetUnreachable, "the request could not start early enough to finish before its deadline: no free slot, no valid grant for its key, or its key is paused"))
	}
}

// cancelQueued removes j from the queue and returns reason, unless j was
// started or refused before; it returns nil when j has started.
func (d *Dispatcher) cancelQueued(j *job, reason *code.Error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if j.heap == nil {
		return <-j.start
	}
	d.queue.remove(j)
	return reason
}

// refuseExpired refuses all queued jobs that can no longer meet their
// deadline.
func (d *Dispatcher) refuseExpired() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, j := range d.queue.expire(d.set.clock.Now()) {
		j.start <- code.NewError(code.TargetUnreachable, "the request could not start early enough to finish before its deadline: no free slot, no valid grant for its key, or its key is paused")
	}
}

func (d *Dispatcher) enqueue(r *Request) (*job, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	slot := r.Hash.Slot(d.service.Config.Slots)
	if d.closed || !d.owns(r.Hash) {
		return nil, code.NewError(code.StaleRoute, "the backend server does not own the key, or this instance no longer dispatches to it")
	}
	now := d.set.clock.Now()
	j := d.queue.newJob(r, slot, now)
	displaced, err := d.queue.push(j, now)
	if err != nil {
		return nil, err
	}
	if displaced != nil {
		displaced.start <- code.NewError(code.QueueFull, "displaced from the full queue by a request of higher priority")
	}
	d.startOrWait(j, now)
	return j, nil
}

// startOrWait starts all jobs that may start. If j is not one of them, it gets
// a channel to wait on. d.mu must be held.
func (d *Dispatcher) startOrWait(j *job, now time.Time) {
	j.start = nil
	d.startNext(now)
	if j.heap != nil {
		j.start = make(chan error, 1)
	}
}

// requeue queues j again at its previous position after an attempt that did
// not run. It refuses j if startBy has passed, since the wait before the next
// attempt may have ended late.
func (d *Dispatcher) requeue(j *job) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || !d.owns(j.request.Hash) {
		return code.NewError(code.StaleRoute, "the backend server no longer owns the key, or this instance no longer dispatches to it")
	}
	now := d.set.clock.Now()
	if !now.Before(j.startBy) {
		return code.NewError(code.TargetUnreachable, "the wait before the next attempt ended too late for the request to finish before its deadline")
	}
	d.queue.insert(j, now)
	d.startOrWait(j, now)
	return nil
}

// startNext starts queued jobs while slots are free and the grant is valid.
// d.mu must be held.
func (d *Dispatcher) startNext(now time.Time) {
	if !now.Before(d.grantedUntil) {
		return
	}
	d.queue.openSlots = min(d.limiter.slots(now), d.slowStart.slots(d.service.Config.ServerSlots, now))
	for j := d.queue.pop(now, d.mayStartFunc); j != nil; j = d.queue.pop(now, d.mayStartFunc) {
		d.running[j] = struct{}{}
		d.set.metrics.started(j, now)
		if j.start != nil {
			j.start <- nil
		}
	}
}

func (d *Dispatcher) mayStart(j *job) bool { return d.ownership.mayStart(j.slot, j.request.Hash) }

// finish frees the slot of j and starts the jobs that may use it.
func (d *Dispatcher) finish(j *job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.set.clock.Now()
	full := d.queue.running >= d.queue.openSlots
	d.queue.end(j, now)
	if j.servedNormally {
		d.limiter.recordResponse(j.kind.serviceTime.slowdown(), full, j.kind.serviceTime.mean, now)
		d.set.metrics.finished(j, now)
	}
	delete(d.running, j)
	d.loadMeter.add(now, j.slot, j.request.Hash, d.service.Hot(j.request.Hash), j.started)
	d.reportDrained()
	d.startNext(now)
}

// recordOverload lowers the limit if the response shows that the backend server
// is overloaded. Any other response marks j as served normally and counts as a
// sample of the service time.
func (d *Dispatcher) recordOverload(j *job, resp *http.Response) {
	overloaded := resp.Header.Get(backend.RefusedHeader) != "" ||
		resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	if j.servedNormally = !overloaded; j.servedNormally {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limiter.lower(refusalFactor, j.kind.serviceTime.mean, d.set.clock.Now())
}

// recordFailedAttempt reports an attempt that did not run to the limiter. It
// returns the wait before the next attempt, and whether there may be one: a
// request whose attempt failed in any other way must not be sent again. After a
// refusal there must be time for another one as slow. Otherwise the deadline would
// cut the next attempt off, and a request that did not run would become one that
// may have run.
func (d *Dispatcher) recordFailedAttempt(ctx context.Context, j *job, err error) (time.Duration, bool) {
	var e *code.Error
	if !errors.As(err, &e) || ctx.Err() != nil {
		return 0, false
	}
	unsent := e.Code == code.BackendUnreachable
	if !unsent && e.Code != code.RefusedByBackend {
		return 0, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.set.clock.Now()
	if !unsent {
		j.limitStartBy(now.Sub(j.started))
	}
	wait := d.limiter.recordNotExecuted(j.kind.serviceTime.mean, now)
	return wait, now.Add(wait).Before(j.startBy) && rewindBody(j.request)
}

// waitBeforeRetry waits before the next attempt, then starts queued jobs, since
// the end of the limiter's pause by itself starts none. It returns false if ctx
// is done.
func (d *Dispatcher) waitBeforeRetry(ctx context.Context, wait time.Duration) bool {
	timer := d.set.clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.startNext(d.set.clock.Now())
	return ctx.Err() == nil
}

// rewindBody prepares the body of r for another attempt. It returns false for
// a streamed body of which a part was read.
func rewindBody(r *Request) bool {
	s, ok := r.Body.(io.Seeker)
	if !ok {
		return !r.bodyRead
	}
	_, err := s.Seek(0, io.SeekStart)
	return err == nil
}

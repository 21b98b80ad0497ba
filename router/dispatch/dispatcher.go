package dispatch

import (
	"context"
	"net/http"
	"sync"
	"time"

	"bronzewind.example/core/code"
	"bronzewind.example/core/control"
	"bronzewind.example/core/keyspace"
	"bronzewind.example/core/route"
)

type (
	// Dispatcher queues and sends the work of one backend server.
	Dispatcher struct {
		set       *Set
		transport http.RoundTripper

		mu       sync.Mutex // guards all below
		service  *route.Service
		server   *route.Server
		closed   bool
		until    time.Time // the grant surely holds before it
		epoch    uint64
		owned    ownership
		waiting  queue
		running  map[*job]struct{} // never more than the service's server slots
		load     loadMeter
		sequence uint64
	}

	// job is one queued request.
	job struct {
		request  *Request
		slot     keyspace.Slot
		priority float64 // worth per second of slot time
		arrived  uint64
		started  time.Time
		start    chan error // receives nil to start, or why it can't; capacity 1
		index    int        // in the queue; -1 when not queued
	}
)

func newDispatcher(s *Set, v *route.Service, server *route.Server) *Dispatcher {
	t := s.transport
	if t == nil {
		t = newTransport(v.Config.Connections)
	}
	return &Dispatcher{set: s, transport: t, service: v, server: server, running: map[*job]struct{}{}, load: newLoadMeter(s.clock.Now())}
}

// setRoute takes the new snapshot and turns away work of slots that moved.
func (d *Dispatcher) setRoute(v *route.Service, server *route.Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.service, d.server = v, server
	for _, j := range d.waiting.all() {
		if owner, _, ok := v.Lookup(j.request.Hash); !ok || owner.Name != server.Name {
			d.waiting.remove(j)
			j.start <- code.NewError(code.StaleRoute, "the key moved to another backend server")
		}
	}
	d.startNext()
}

func (d *Dispatcher) authorize(a control.Authorize) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.until, d.epoch = a.Until, a.Epoch
	d.owned.authorize(a, d.service.Config.Slots)
	d.startNext()
}

func (d *Dispatcher) hold(h control.HoldSlots) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.owned.hold(h)
	d.reportDrained()
}

// reportDrained tells control once nothing that is held has work in flight;
// d.mu is held.
func (d *Dispatcher) reportDrained() {
	if !d.owned.holding() {
		return
	}
	for j := range d.running {
		if d.owned.held(j.slot, j.request.Hash) {
			return
		}
	}
	event := control.SlotsDrained{Service: d.server.Service, Server: d.server.Name, Hold: d.owned.number, Ranges: d.owned.heldSlots}
	go d.set.drained(event)
}

func (d *Dispatcher) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	if t, ok := d.transport.(*http.Transport); ok {
		defer t.CloseIdleConnections()
	}
	for _, j := range d.waiting.all() {
		d.waiting.remove(j)
		j.start <- code.NewError(code.StaleRoute, "another instance dispatches to the backend server now")
	}
}

// do queues r and sends it once a slot is free.
func (d *Dispatcher) do(ctx context.Context, r *Request) (*Answer, error) {
	j, err := d.enqueue(r)
	if err != nil {
		return nil, err
	}
	timer := d.set.clock.NewTimer(r.Deadline.Sub(d.set.clock.Now()))
	defer timer.Stop()
	select {
	case err := <-j.start:
		if err != nil {
			return nil, err
		}
	case <-ctx.Done():
		if d.abandon(j) {
			return nil, code.NewError(code.CancelledInQueue, "the caller went away")
		}
	case <-timer.C:
		if d.abandon(j) {
			return nil, code.NewError(code.DeadlineBeforeStart, "no slot came free in time")
		}
	}
	return d.send(ctx, j)
}

func (d *Dispatcher) enqueue(r *Request) (*job, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	slot := r.Hash.Slot(d.service.Config.Slots)
	if owner, _, ok := d.service.Lookup(r.Hash); d.closed || !ok || owner.Name != d.server.Name {
		return nil, code.NewError(code.StaleRoute, "the key is owned by another backend server")
	}
	if d.waiting.count(r.Kind.Name) >= r.Kind.QueueLimit {
		return nil, code.NewError(code.QueueFull, "too much work of kind "+r.Kind.Name+" is queued")
	}
	d.sequence++
	j := &job{
		request: r, slot: slot, arrived: d.sequence,
		priority: r.Kind.Worth / r.Kind.ServiceTime.Std().Seconds(),
		start:    make(chan error, 1),
	}
	d.waiting.push(j)
	d.startNext()
	return j, nil
}

// abandon takes j out of the queue; it returns false when j has started.
func (d *Dispatcher) abandon(j *job) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if j.index < 0 {
		select {
		case err := <-j.start:
			return err != nil
		default:
			return false
		}
	}
	d.waiting.remove(j)
	return true
}

// startNext starts queued work while slots are free and the grant holds;
// d.mu is held.
func (d *Dispatcher) startNext() {
	for len(d.running) < d.service.Config.ServerSlots && d.set.clock.Now().Before(d.until) {
		j := d.waiting.popWhere(func(j *job) bool { return d.owned.mayStart(j.slot, j.request.Hash) })
		if j == nil {
			return
		}
		d.running[j] = struct{}{}
		j.started = d.set.clock.Now()
		j.start <- nil
	}
}

// finish frees the slot of j.
func (d *Dispatcher) finish(j *job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.running, j)
	d.load.add(d.set.clock.Now(), j.slot, j.request.Hash, d.service.Hot(j.request.Hash), j.started)
	d.reportDrained()
	d.startNext()
}

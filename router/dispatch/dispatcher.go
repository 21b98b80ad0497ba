package dispatch

import (
	"context"
	"net/http"
	"sync"
	"time"

	"bronzewind.example/core/code"
	"bronzewind.example/core/control"
	"bronzewind.example/core/keyspace"
	"bronzewind.example/core/record"
	"bronzewind.example/core/route"
)

type (
	// Dispatcher queues and sends the work of one backend server.
	Dispatcher struct {
		set       *Set
		transport http.RoundTripper
		watch     *watch

		mu       sync.Mutex // guards all below
		service  *route.Service
		server   *route.Server
		closed   bool
		until    time.Time // the grant surely holds before it
		epoch    uint64
		granted  []bool // by slot
		held     []record.SlotRange
		waiting  queue
		running  int // never above the service's server slots
		inSlot   map[keyspace.Slot]int
		sequence uint64
	}

	// job is one queued request.
	job struct {
		request  *Request
		slot     keyspace.Slot
		priority float64 // worth per second of slot time
		arrived  uint64
		start    chan error // receives nil to start, or why it can't; capacity 1
		index    int        // in the queue; -1 when not queued
	}
)

func newDispatcher(s *Set, v *route.Service, server *route.Server) *Dispatcher {
	t := s.transport
	if t == nil {
		t = newTransport(v.Config.Connections)
	}
	return &Dispatcher{set: s, transport: t, watch: newWatch(s.suspects), service: v, server: server, inSlot: map[keyspace.Slot]int{}}
}

// setRoute takes the new snapshot and turns away work of slots that moved.
func (d *Dispatcher) setRoute(v *route.Service, server *route.Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.service, d.server = v, server
	if !server.Up {
		d.watch.lost()
	}
	for _, j := range d.waiting.all() {
		if owner, _, ok := v.Owner(j.slot); !ok || owner.Name != server.Name {
			d.waiting.remove(j)
			j.start <- code.NewError(code.StaleRoute, "the key moved to another backend server")
		}
	}
	d.startNext()
}

func (d *Dispatcher) authorize(a control.Authorize) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.until, d.epoch, d.held = a.Until, a.Epoch, a.Held
	d.watch.setIncarnation(a.Incarnation)
	d.granted = make([]bool, d.service.Config.Slots)
	for _, r := range a.Granted {
		for i := r.First; i <= r.Last; i++ {
			d.granted[i] = true
		}
	}
	d.startNext()
}

func (d *Dispatcher) hold(h control.HoldSlots) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held = h.Ranges
	d.reportDrained()
}

// reportDrained tells control once no held slot has work in flight; d.mu is held.
func (d *Dispatcher) reportDrained() {
	if len(d.held) == 0 {
		return
	}
	for slot := range d.inSlot {
		if contains(d.held, slot) {
			return
		}
	}
	event := control.SlotsDrained{Service: d.server.Service, Server: d.server.Name, Ranges: d.held}
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

// do runs r.
func (d *Dispatcher) do(ctx context.Context, r *Request) (*Answer, error) {
	if r.Kind.OnceOnly {
		return d.doOnce(ctx, r)
	}
	return d.enqueueAndSend(ctx, r)
}

// enqueueAndSend queues r and sends it once a slot is free.
func (d *Dispatcher) enqueueAndSend(ctx context.Context, r *Request) (*Answer, error) {
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
	if owner, _, ok := d.service.Owner(slot); d.closed || !ok || owner.Name != d.server.Name {
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
	for d.running < d.service.Config.ServerSlots && d.set.clock.Now().Before(d.until) {
		j := d.waiting.popWhere(func(j *job) bool { return d.mayStart(j.slot) })
		if j == nil {
			return
		}
		d.running++
		d.inSlot[j.slot]++
		j.start <- nil
	}
}

func (d *Dispatcher) mayStart(slot keyspace.Slot) bool {
	return int(slot) < len(d.granted) && d.granted[slot] && !contains(d.held, slot)
}

// finish frees the slot of j.
func (d *Dispatcher) finish(j *job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running--
	if d.inSlot[j.slot]--; d.inSlot[j.slot] == 0 {
		delete(d.inSlot, j.slot)
	}
	d.reportDrained()
	d.startNext()
}

func contains(rs []record.SlotRange, slot keyspace.Slot) bool {
	for _, r := range rs {
		if r.First <= slot && slot <= r.Last {
			return true
		}
	}
	return false
}

// Package daemon wires one instance.
//
//	log service --RecordsRead--> +---------+ --Append-------> log service
//	list        --ServersListed->|         | --SendGrant----> backend servers
//	backend     -GrantCompleted->| control | --SetTable-----> caller, dispatch
//	dispatch    --SlotsDrained-->|         | --Authorize----> dispatch
//	instances   --MessageRec.--->|         | --SendMessage--> instances
//	timer       --Ticked-------->+---------+ --PauseSlots---> dispatch
//
// One goroutine runs control. Traffic reads the snapshot that SetTable
// published and never waits for control.
package daemon

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"bronzewind.example/core/backend"
	"bronzewind.example/core/clock"
	"bronzewind.example/core/config"
	"bronzewind.example/core/control"
	"bronzewind.example/core/platform"
	"bronzewind.example/core/record"
	"bronzewind.example/core/route"
	"bronzewind.example/router/caller"
	"bronzewind.example/router/dispatch"
	"bronzewind.example/router/peer"
	"bronzewind.example/router/settings"
)

const (
	tickInterval = 20 * time.Millisecond
	listInterval = 500 * time.Millisecond
	eventBuffer  = 1024
	appendBuffer = 256
	drainLimit   = 30 * time.Second

	handOverLimit = 5 * time.Second  // for start marks
	leaveLimit    = 10 * time.Second // for handing roles over; then the witnesses notice the loss
	leftLimit     = 2 * time.Second  // for the record that ends the membership
)

type (
	// Daemon is one instance with all its roles.
	Daemon struct {
		settings *settings.Settings
		self     record.Writer
		log      *slog.Logger
		clock    clock.Clock
		platform *platform.Client
		identity *peer.Identity
		tracing  *tracing
		grants   *backend.Client

		core     *control.Core // used by the control goroutine alone
		events   chan control.Event
		appends  chan record.Record
		readFrom chan uint64 // holds the last offset asked for
		encoded  chan chan<- encodedState
		last     encodedState // used by the control goroutine alone
		entry    *caller.Server
		dispatch *dispatch.Dispatchers
		client   *peer.Client
		control  *peer.Control
		peers    peersVersion // used by the control goroutine alone
		leaving  atomic.Bool
		left     chan struct{} // closed when the membership has ended after a leave
		table    atomic.Pointer[route.Table]
		ready    atomic.Bool
		draining atomic.Bool
		status   atomic.Pointer[status]
	}

	// peersVersion tells which members the control transport knows.
	peersVersion struct {
		self    record.Writer
		changed uint64 // State.MembersChanged
	}

	// goroutine is a part of the daemon that runs until its context ends.
	goroutine struct {
		name string
		run  func(ctx context.Context) error
	}
)

// New returns an instance that is not running yet.
func New(s *settings.Settings, log *slog.Logger) (*Daemon, error) {
	identity, err := peer.NewIdentity()
	if err != nil {
		return nil, err
	}
	key, err := peer.NewControlKey()
	if err != nil {
		return nil, fmt.Errorf("control key: %w", err)
	}
	tracing, err := newTracing(s.Trace, s.Instance)
	if err != nil {
		return nil, err
	}
	self := record.Writer{Instance: s.Instance, Incarnation: uint64(time.Now().UnixNano())}
	d := &Daemon{
		settings: s, self: self, clock: clock.System{},
		log:      log.With("instance", s.Instance),
		platform: platform.NewClient(s.Platform),
		identity: identity, tracing: tracing,
		core: control.NewCore(self, record.InstanceJoined{
			Region: s.Region, FailureDomain: s.FailureDomain, Control: s.Control,
			Forward: s.Forward, Admin: s.Admin, Fingerprint: identity.Fingerprint(),
			ControlKey: key.PublicKey().Bytes(),
		}),
		events:   make(chan control.Event, eventBuffer),
		appends:  make(chan record.Record, appendBuffer),
		readFrom: make(chan uint64, 1),
		encoded:  make(chan chan<- encodedState),
		left:     make(chan struct{}),
		client:   peer.NewClient(identity),
		grants:   backend.NewClient(),
	}
	d.control = peer.NewControl(key, d.received, d.log)
	d.dispatch = dispatch.NewDispatchers(self,
		dispatch.WithTracer(tracing.tracer),
		dispatch.WithPeerCaller(d.client),
		dispatch.WithQuarantine(func(q record.Quarantined) { go func() { d.events <- control.QuarantineRequested{Quarantine: q} }() }),
		dispatch.WithDrained(func(e control.SlotsDrained) { d.events <- e }))
	publish("dispatch", d.dispatch.Metrics())
	publish("control", d.control.Counters())
	publish("forward", d.client.Metrics())
	d.entry = caller.NewServer(self, d.dispatch, d.client, d.log, caller.WithTracer(tracing.tracer))
	return d, nil
}

// publish shows the counters of a subsystem under name; of several instances in
// one process the first is shown.
func publish(name string, v expvar.Var) {
	if expvar.Get(name) == nil {
		expvar.Publish(name, v)
	}
}

// Run serves until ctx ends, then lets running requests finish.
func (d *Daemon) Run(ctx context.Context) error {
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	parts := []goroutine{
		{"control", d.runControl},
		{"log reader", d.followLog},
		{"log writer", d.writeLog},
		{"list reader", d.followList},
		{"load reader", d.followLoad},
		{"peer reader", d.askPeers},
		{"admin", d.serveAdmin},
		{"forward", d.serveForward},
		{"control transport", func(ctx context.Context) error { return d.control.Serve(ctx, d.settings.Control) }},
	}
	ended := make(chan error, len(parts)+1)
	for _, p := range parts {
		go func() { ended <- wrap(p.name, p.run(run)) }()
	}
	entryCtx, stopEntry := context.WithCancel(run)
	defer stopEntry()
	entry := make(chan error, 1)
	go func() { entry <- wrap("callers", d.serveCallers(entryCtx)) }()
	d.log.Info("started", "listen", d.settings.Listen, "incarnation", d.self.Incarnation)

	var errs []error
	left := len(parts)
	select {
	case <-ctx.Done():
		d.draining.Store(true)
		d.entry.AskToMove()
		d.handOver(run)
	case err := <-ended:
		errs = append(errs, err)
		left--
	case err := <-entry:
		entry <- err
	}
	stopEntry()
	errs = append(errs, <-entry)
	if ctx.Err() != nil {
		d.handOverMarks(run)
		d.endMembership(run)
	}
	stop()
	for ; left > 0; left-- {
		errs = append(errs, <-ended)
	}
	d.dispatch.Close()
	d.client.Close()
	d.tracing.close()
	d.log.Info("stopped")
	return errors.Join(errs...)
}

// handOverMarks gives the start marks of once-only work to other instances.
func (d *Daemon) handOverMarks(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverLimit)
	defer cancel()
	if err := d.dispatch.HandOverRecords(ctx); err != nil {
		d.log.Warn("repeats of once-only work may be answered unknown", "error", err)
	}
}

func wrap(part string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s: %w", part, err)
}

// runControl is the one goroutine that owns the control state.
func (d *Daemon) runControl(ctx context.Context) error {
	var grants sync.WaitGroup
	defer grants.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var e control.Event
		select {
		case <-ctx.Done():
			return nil
		case to := <-d.encoded:
			to <- d.encode()
			continue
		case e = <-d.events:
		case <-ticker.C:
			e = control.Ticked{}
		}
		d.step(ctx, e, &grants)
	}
}

// step carries out what follows from one event; messages to the same peer go
// in one datagram.
func (d *Daemon) step(ctx context.Context, e control.Event, grants *sync.WaitGroup) {
	var messages outbox
	for _, effect := range d.core.Step(e, d.clock.Now()) {
		if m, ok := effect.(control.SendMessage); ok {
			messages.add(m)
			continue
		}
		d.carryOut(ctx, effect, grants)
	}
	d.setPeers()
	for _, m := range messages {
		d.control.Send(m.to, m.messages)
	}
	d.ready.Store(d.core.Ready() && !d.leaving.Load())
	d.setStatus()
}

func (d *Daemon) carryOut(ctx context.Context, e control.Effect, grants *sync.WaitGroup) {
	switch e := e.(type) {
	case control.Append:
		select {
		case d.appends <- e.Record:
		default:
			d.log.Warn("append queue full", "record", e.Record.ID)
		}
	case control.ReadLog:
		d.readLogFrom(e.From)
	case control.SendGrant:
		grants.Go(func() { d.sendGrant(ctx, e) })
	case control.SetTable:
		d.table.Store(e.Table)
		d.dispatch.SetTable(e.Table)
		d.client.SetMembers(e.Table.Members)
		d.entry.SetTable(e.Table)
	case control.Authorize:
		d.dispatch.Authorize(e)
	case control.PauseSlots:
		d.dispatch.PauseSlots(e)
	case control.SendMessage: // sent by step
	case control.MembershipEnded:
		d.endRun()
	case control.Log:
		d.log.Info(e.Message, "detail", e.Detail)
	}
}

func (d *Daemon) serveForward(ctx context.Context) error {
	server := peer.NewServer(d.identity, d.dispatch, d.trusted, d.kind, d.log, peer.WithSnapshot(d.snapshot))
	done := make(chan error, 1)
	server.Serve(ctx, d.settings.Forward, done)
	return <-done
}

// trusted reports whether a member has the certificate.
func (d *Daemon) trusted(fingerprint []byte) bool {
	st := d.status.Load()
	return st != nil && st.fingerprints[string(fingerprint)]
}

func (d *Daemon) kind(service, kind string) (*config.Kind, bool) {
	t := d.table.Load()
	if t == nil {
		return nil, false
	}
	s, ok := t.Configuration.Service(service)
	if !ok {
		return nil, false
	}
	for i := range s.Kinds {
		if s.Kinds[i].Name == kind {
			return &s.Kinds[i], true
		}
	}
	return nil, false
}

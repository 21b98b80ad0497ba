// Package granting runs the granter of one instance: it carries out what
// core/ownership decides, and brings it what happened.
//
//	store    --EpochSeen, BookRead, Confirmed--> +------+ --Claim, Write, Resign--> store
//	list     --ServersListed-------------------->|      |
//	group    --SetAssigned---------------------->| Loop | --Grant, Release---> backend servers
//	traffic  --DemandMeasured------------------->|      |
//	timer    --Ticked--------------------------->+------+
//
// One goroutine owns the granter; each call outside has a goroutine of its own.
package granting

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"bronzewind.example/core/clock"
	"bronzewind.example/core/oplog"
	"bronzewind.example/core/ownership"
)

const (
	tickInterval = 50 * time.Millisecond
	eventBuffer  = 256
	claimRetry   = 700 * time.Millisecond
	writeRetry   = 100 * time.Millisecond
	resignLimit  = 1500 * time.Millisecond

	// epochRandomBits tell apart the epochs of instances that claim together.
	epochRandomBits = 24
)

type (
	// Store keeps books and claims.
	Store interface {
		// Claim makes epoch the highest. An error says nothing of whether it did;
		// what was claimed is read back.
		Claim(ctx context.Context, epoch, prior uint64) error
		// Write appends a book under epoch as the write with the given sequence,
		// from 1. The same write may be tried again. ErrFenced means that it was
		// not and never will be done.
		Write(ctx context.Context, epoch, sequence uint64, b ownership.Book) error
		// Resign tells that the granter of epoch has stopped.
		Resign(ctx context.Context, epoch uint64) error
	}

	// Orders reach the backend servers.
	Orders interface {
		Grant(ctx context.Context, g ownership.SendGrant) ownership.Result
		Release(ctx context.Context, r ownership.SendRelease) (ownership.Result, string)
	}

	// Loop is the granter of one instance with its connections outside.
	Loop struct {
		store   Store
		orders  Orders
		clock   clock.Clock // counts suspensions
		log     *oplog.Log
		granted func(ownership.Granted)
		granter *ownership.Granter // used by Run alone
		events  chan ownership.Event
		trusted atomic.Int64 // Unix nanoseconds of the clock until which orders may go out
		want    atomic.Bool  // the instance is to grant
		calls   sync.WaitGroup

		epoch    atomic.Uint64 // claimed last
		highest  uint64        // seen; used by Run alone
		claimed  time.Time     // last try to claim; used by Run alone
		writes   chan write
		sequence uint64 // of the last write of epoch; used by Run alone
	}

	write struct {
		epoch, sequence uint64
		book            ownership.Book
	}
)

// ErrFenced means that another granter has a higher epoch.
var ErrFenced = errors.New("another granter has a higher epoch")

// NewLoop returns a loop that does not grant until SetAssigned. It calls granted
// for each move that has ended, ahead of the book that says so.
func NewLoop(t ownership.Timing, store Store, orders Orders, granted func(ownership.Granted), c clock.Clock, log *oplog.Log) *Loop {
	return &Loop{
		store: store, orders: orders, granted: granted, clock: c, log: log, granter: ownership.NewGranter(t),
		events: make(chan ownership.Event, eventBuffer), writes: make(chan write, eventBuffer),
	}
}

// Post hands an event to the granter; it returns false when ctx ended first.
func (l *Loop) Post(ctx context.Context, e ownership.Event) bool {
	select {
	case <-ctx.Done():
		return false
	case l.events <- e:
		return true
	}
}

// SetAssigned says whether the instance is to grant.
func (l *Loop) SetAssigned(assigned bool) { l.want.Store(assigned) }

// EndFormer tells that the granter of epoch has stopped, if it was a former
// process of this instance: the process that runs now never granted under it.
func (l *Loop) EndFormer(ctx context.Context, epoch uint64) {
	if l.Claimed(epoch) {
		return
	}
	l.calls.Go(func() { l.tellResigned(ctx, epoch) })
}

// Claimed reports whether this process has claimed epoch last.
func (l *Loop) Claimed(epoch uint64) bool { return l.epoch.Load() == epoch }

// Grants reports whether the instance holds an epoch that it may act under.
func (l *Loop) Grants() bool { return l.mayOrder() }

// Run steps the granter until ctx ends, and reports its end on done.
func (l *Loop) Run(ctx context.Context, done chan<- error) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	written := make(chan error, 1)
	go l.write(ctx, written)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case e := <-l.events:
			l.take(ctx, e)
		case <-ticker.C:
			l.tick(ctx)
		}
	}
	l.resign(context.WithoutCancel(ctx))
	l.calls.Wait()
	done <- <-written
}

// take steps the granter with e.
func (l *Loop) take(ctx context.Context, e ownership.Event) {
	if seen, ok := e.(ownership.EpochSeen); ok {
		seen.Own = seen.Epoch == l.epoch.Load() && l.want.Load()
		e = seen
		if seen.Epoch > l.highest {
			l.highest = seen.Epoch
			l.log.Event("granting-role", "epoch", seen.Epoch, "prior", seen.Prior, "own", seen.Own)
		}
	}
	l.step(ctx, e)
}

// tick claims the role, gives it up, or lets time pass.
func (l *Loop) tick(ctx context.Context) {
	now := l.clock.Now()
	holds := l.granter.Epoch() > 0
	switch want := l.want.Load(); {
	case want && !holds && now.Sub(l.claimed) >= claimRetry:
		l.claimed = now
		l.claim(ctx)
	case !want && holds:
		l.resign(ctx)
	case holds:
		l.step(ctx, ownership.Ticked{})
	}
}

func (l *Loop) claim(ctx context.Context) {
	epoch := (l.highest>>epochRandomBits+1)<<epochRandomBits | rand.Uint64N(1<<epochRandomBits)
	l.epoch.Store(epoch)
	l.sequence = 0
	prior := l.highest
	l.calls.Go(func() {
		if err := l.store.Claim(ctx, epoch, prior); err != nil {
			l.log.Event("claim-failed", "epoch", epoch, "reason", err.Error())
		}
	})
}

// resign stops granting, and tells so once nothing is on its way any more.
func (l *Loop) resign(ctx context.Context) {
	epoch := l.granter.Epoch()
	if epoch == 0 {
		return
	}
	l.step(ctx, ownership.Stopped{})
	l.trusted.Store(0)
	l.log.Event("granting-ended", "epoch", epoch)
	l.calls.Go(func() { l.tellResigned(context.WithoutCancel(ctx), epoch) })
}

func (l *Loop) tellResigned(ctx context.Context, epoch uint64) {
	ctx, cancel := context.WithTimeout(ctx, resignLimit)
	defer cancel()
	if err := l.store.Resign(ctx, epoch); err != nil {
		l.log.Event("resignation-failed", "epoch", epoch, "reason", err.Error())
	}
}

func (l *Loop) step(ctx context.Context, e ownership.Event) {
	effects := l.granter.Step(e, l.clock.Now())
	if until := l.granter.TrustedUntil(); until.IsZero() {
		l.trusted.Store(0)
	} else {
		l.trusted.Store(until.UnixNano())
	}
	for _, effect := range effects {
		l.carryOut(ctx, effect)
	}
}

func (l *Loop) carryOut(ctx context.Context, e ownership.Effect) {
	switch e := e.(type) {
	case ownership.WriteBook:
		l.sequence++
		l.writes <- write{epoch: l.epoch.Load(), sequence: l.sequence, book: e.Book}
	case ownership.SendGrant:
		l.calls.Go(func() { l.grant(ctx, e) })
	case ownership.SendRelease:
		l.calls.Go(func() { l.release(ctx, e) })
	case ownership.Granted:
		l.granted(e)
	case ownership.Decided:
		l.log.Event("ownership-"+e.What, "service", e.Service, "from", e.Range.From, "to", e.Range.To,
			"server", e.Life.ID, "born", e.Life.Born, "fence", e.Fence, "wait-ms", e.Wait.Milliseconds(), "epoch", l.epoch.Load())
	}
}

// mayOrder is asked right before an order goes out, since the process may have
// stood still after the decision.
func (l *Loop) mayOrder() bool { return l.clock.Now().UnixNano() < l.trusted.Load() }

func (l *Loop) grant(ctx context.Context, g ownership.SendGrant) {
	result := ownership.Unsent
	sent := l.clock.Now()
	if l.mayOrder() {
		result = l.orders.Grant(ctx, g)
	}
	if result != ownership.Done {
		l.log.Limited("grant-failed", "service", g.Service, "server", g.Server.ID, "from", g.Range.From, "to", g.Range.To,
			"fence", g.Fence, "result", result.String())
	}
	l.Post(ctx, ownership.GrantAnswered{Grant: g, Sent: sent, Result: result})
}

func (l *Loop) release(ctx context.Context, r ownership.SendRelease) {
	result, handover := ownership.Unsent, ""
	if l.mayOrder() {
		result, handover = l.orders.Release(ctx, r)
	}
	l.log.Limited("release-answered", "service", r.Service, "server", r.Server.ID, "from", r.Range.From, "to", r.Range.To,
		"fence", r.Fence, "result", result.String(), "handover", handover != "")
	l.Post(ctx, ownership.ReleaseAnswered{Release: r, Result: result, Handover: handover})
}

// write carries out the writes in order. One without an answer is tried again,
// which the store knows by its sequence, until it is done or fenced.
func (l *Loop) write(ctx context.Context, done chan<- error) {
	defer func() { done <- nil }()
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-l.writes:
			l.writeOne(ctx, w)
		}
	}
}

func (l *Loop) writeOne(ctx context.Context, w write) {
	for ctx.Err() == nil {
		sent := l.clock.Now()
		err := l.store.Write(ctx, w.epoch, w.sequence, w.book)
		switch {
		case err == nil:
			l.Post(ctx, ownership.Confirmed{Sent: sent})
			l.Post(ctx, ownership.BookWritten{Service: w.book.Service, Version: w.book.Version})
			return
		case errors.Is(err, ErrFenced):
			l.log.Event("write-fenced", "epoch", w.epoch, "service", w.book.Service, "version", w.book.Version)
			l.Post(ctx, ownership.BookWritten{Service: w.book.Service, Version: w.book.Version, Failed: true})
			return
		default:
			l.log.Limited("write-failed", "epoch", w.epoch, "service", w.book.Service, "version", w.book.Version, "reason", err.Error())
		}
		timer := time.NewTimer(writeRetry)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

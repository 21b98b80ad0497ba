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
	writeRetry   = 200 * time.Millisecond
	resignLimit  = 500 * time.Millisecond

	// epochRandomBits tell apart the epochs of instances that claim together.
	epochRandomBits = 24
)

type (
	// Store keeps books and claims.
	Store interface {
		// Claim makes epoch the highest. An error says nothing of whether it did;
		// what was claimed is read back. Quiet is for how long granters before prior
		// may go on sending.
		Claim(ctx context.Context, epoch, prior uint64, quiet time.Duration) error
		// Write appends a book under epoch as the write with the given sequence,
		// from 1. The same write may be tried again. ErrFenced and ErrRefused mean
		// that this try was not and never will be done.
		Write(ctx context.Context, epoch, sequence uint64, b ownership.Book) error
		// Resign tells that a granter has stopped.
		Resign(ctx context.Context, r ownership.Resigned) error
	}

	// Orders reach the backend servers.
	Orders interface {
		// Grant sends a grant that arrives before ctx ends or never.
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

		epoch   atomic.Uint64 // claimed last
		highest uint64        // seen; used by Run alone
		ended   uint64        // epoch under which the granter stopped and has not told so; used by Run alone
		claimed time.Time     // last try to claim; used by Run alone
		writes  chan write
	}

	write struct {
		epoch uint64
		book  ownership.Book
	}
)

var (
	// ErrFenced means that another granter has a higher epoch.
	ErrFenced = errors.New("another granter has a higher epoch")
	// ErrRefused means that the store has not done a call and never will.
	ErrRefused = errors.New("the store refused the call")
)

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
	l.calls.Go(func() { l.tellResigned(ctx, ownership.Resigned{Epoch: epoch}) })
}

// Claimed reports whether this process has claimed epoch last.
func (l *Loop) Claimed(epoch uint64) bool { return l.epoch.Load() == epoch }

// Holds reports whether the instance has the role, whether or not it may act
// under it at present.
func (l *Loop) Holds() bool { return l.trusted.Load() != 0 }

// Epoch returns the epoch that this process claimed last.
func (l *Loop) Epoch() uint64 { return l.epoch.Load() }

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

// take steps the granter with e. A granter that is deposed tells that it has
// stopped.
func (l *Loop) take(ctx context.Context, e ownership.Event) {
	held := l.granter.Epoch()
	if seen, ok := e.(ownership.EpochSeen); ok {
		seen.Own, seen.ClaimSentAt = l.Claimed(seen.Epoch) && l.want.Load(), l.claimed
		e = seen
		if seen.Epoch > l.highest {
			l.highest = seen.Epoch
			l.log.Event("granting-role", "epoch", seen.Epoch, "prior", seen.Prior, "own", seen.Own)
		}
	}
	l.step(ctx, e)
	if held > 0 && l.granter.Epoch() != held {
		l.log.Event("granting-ended", "epoch", held, "reason", "another epoch is higher")
		l.want.Store(false)
		l.ended = held
	}
}

// resignEnded tells that the granter of the epoch that ended has stopped, once
// nothing that it sent is on its way.
func (l *Loop) resignEnded(ctx context.Context) {
	if l.ended == 0 {
		return
	}
	late, settled := l.granter.SinceLastUnanswered(l.clock.Now())
	if !settled {
		return
	}
	r := ownership.Resigned{Epoch: l.ended, Unanswered: late}
	l.ended = 0
	l.calls.Go(func() { l.tellResigned(ctx, r) })
}

// tick claims the role or lets time pass. A granter that is to grant no longer
// goes on until another one has claimed the role, so that nothing lapses.
func (l *Loop) tick(ctx context.Context) {
	now := l.clock.Now()
	l.resignEnded(ctx)
	if l.granter.Epoch() > 0 {
		l.step(ctx, ownership.Ticked{})
		return
	}
	if l.want.Load() && now.Sub(l.claimed) >= claimRetry {
		l.claimed = now
		l.claim(ctx)
	}
}

func (l *Loop) claim(ctx context.Context) {
	epoch := (l.highest>>epochRandomBits+1)<<epochRandomBits | rand.Uint64N(1<<epochRandomBits)
	l.epoch.Store(epoch)
	prior, quiet := l.highest, l.granter.PriorSendWindow(l.clock.Now())
	l.calls.Go(func() {
		if err := l.store.Claim(ctx, epoch, prior, quiet); err != nil {
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
	l.log.Event("granting-ended", "epoch", epoch, "reason", "the instance stops")
	r := ownership.Resigned{Epoch: epoch}
	if late, settled := l.granter.SinceLastUnanswered(l.clock.Now()); settled {
		r.Unanswered = late
	}
	l.tellResigned(context.WithoutCancel(ctx), r)
}

func (l *Loop) tellResigned(ctx context.Context, r ownership.Resigned) {
	ctx, cancel := context.WithTimeout(ctx, resignLimit)
	defer cancel()
	if err := l.store.Resign(ctx, r); err != nil {
		l.log.Event("resignation-failed", "epoch", r.Epoch, "reason", err.Error())
	}
}

func (l *Loop) step(ctx context.Context, e ownership.Event) {
	effects := l.granter.Step(e, l.clock.Now())
	if until := l.granter.EpochValidUntil(); until.IsZero() {
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
	case ownership.WritePartitionMap:
		e.Map.Written = time.Now().UnixMilli()
		l.writes <- write{epoch: l.epoch.Load(), book: e.Map}
	case ownership.SendGrant:
		l.calls.Go(func() { l.grant(ctx, e) })
	case ownership.SendRelease:
		l.calls.Go(func() { l.release(ctx, e) })
	case ownership.Granted:
		l.granted(e)
	case ownership.LogOwnershipChange:
		l.log.Event("ownership-"+e.Change, "service", e.Service, "from", e.Range.From, "to", e.Range.To,
			"server", e.Owner.ID, "born", e.Owner.Born, "fence", e.Fence, "wait-ms", e.Wait.Milliseconds(), "epoch", l.epoch.Load())
	}
}

// mayOrder is asked right before an order goes out, since the process may have
// stood still after the decision. For the same reason a grant goes out only while
// it can arrive in time.
func (l *Loop) mayOrder() bool { return l.clock.Now().UnixNano() < l.trusted.Load() }

func (l *Loop) grant(ctx context.Context, g ownership.SendGrant) {
	result := ownership.Unsent
	sent := l.clock.Now()
	if left := g.Deadline.Sub(sent); left > 0 && l.mayOrder() {
		limited, cancel := context.WithTimeout(ctx, left)
		result = l.orders.Grant(limited, g)
		cancel()
	}
	if result != ownership.Done {
		l.log.Limited("grant-failed", "service", g.Service, "server", g.Server.ID, "from", g.Range.From, "to", g.Range.To,
			"fence", g.Fence, "result", result.String())
	}
	l.Post(ctx, ownership.GrantCompleted{Grant: g, SentAt: sent, Result: result})
}

func (l *Loop) release(ctx context.Context, r ownership.SendRelease) {
	result, handover := ownership.Unsent, ""
	if l.mayOrder() {
		result, handover = l.orders.Release(ctx, r)
	}
	l.log.Limited("release-answered", "service", r.Service, "server", r.Server.ID, "from", r.Range.From, "to", r.Range.To,
		"fence", r.Fence, "result", result.String(), "handover", handover != "")
	l.Post(ctx, ownership.ReleaseCompleted{Release: r, Result: result, Handover: handover})
}

// write carries out the writes in order. Under each epoch they are numbered from
// 1 on.
func (l *Loop) write(ctx context.Context, done chan<- error) {
	defer func() { done <- nil }()
	var epoch, sequence uint64
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-l.writes:
			if w.epoch != epoch {
				epoch, sequence = w.epoch, 0
			}
			if l.writeOne(ctx, w, sequence+1) {
				sequence++
			}
		}
	}
}

// writeOne reports whether w was written. A write without an answer is tried
// again, which the store knows by its sequence, until it is done or fenced. One
// that the store refuses has surely not been done and is given up.
func (l *Loop) writeOne(ctx context.Context, w write, sequence uint64) bool {
	unanswered := false
	sent := l.clock.Now() // a later try may get the first one's answer
	for ctx.Err() == nil {
		err := l.store.Write(ctx, w.epoch, sequence, w.book)
		if err == nil {
			l.Post(ctx, ownership.Confirmed{Sent: sent})
			l.Post(ctx, ownership.PartitionMapWritten{Service: w.book.Service, Version: w.book.Version})
			return true
		}
		l.log.Limited("write-failed", "epoch", w.epoch, "service", w.book.Service, "version", w.book.Version, "reason", err.Error())
		refused := errors.Is(err, ErrRefused) && !unanswered
		if refused || errors.Is(err, ErrFenced) {
			l.Post(ctx, ownership.PartitionMapWritten{Service: w.book.Service, Version: w.book.Version, Failed: true})
			return false
		}
		unanswered = unanswered || !errors.Is(err, ErrRefused)
		timer := time.NewTimer(writeRetry)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
	return false
}

// Package granting runs the granter of one instance. It passes events to the
// granter of core/ownership and carries out the effects that the granter returns.
//
//	store            --claims, maps, confirmations---> +------+ --Claim, Write, Resign--> store
//	server list      --ServersListed------------------>|      |
//	role assignment  --SetAssigned-------------------->| Loop | --Grant, Release---> backend servers
//	measured demand  --DemandMeasured----------------->|      |
//	timer            --Ticked------------------------->+------+
//
// One goroutine owns the granter. Each grant, release, claim and resignation runs in
// a goroutine of its own, except for the resignation at the end of Run. One more
// goroutine does all writes in order.
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
	tickInterval       = 50 * time.Millisecond
	queueLength        = 256 // of events, and of writes
	claimRetryInterval = 700 * time.Millisecond
	resignTimeout      = 500 * time.Millisecond

	// epochRandomBits is the number of random low bits in an epoch. They keep apart the
	// epochs of instances that claim at the same time.
	epochRandomBits = 24
)

type (
	// Store keeps partition maps and claims.
	Store interface {
		// Claim makes epoch the highest one. After an error the claim may or may not
		// have succeeded. The caller of Loop.Post passes on each claim that it reads
		// from the store, as an EpochClaimed. priorSendWindow is how long granters of
		// epochs below prior may still send.
		Claim(ctx context.Context, epoch, prior uint64, priorSendWindow time.Duration) error
		// Write appends a partition map under epoch as the write with the given
		// sequence number, from 1. The same write may be repeated. ErrFenced and
		// ErrRefused mean that this attempt was not carried out and never will be, or that
		// the store has come back from an older copy since epoch was claimed.
		Write(ctx context.Context, epoch, sequence uint64, m ownership.PartitionMap) error
		// Resign records that a granter has stopped.
		Resign(ctx context.Context, r ownership.Resigned) error
	}

	// GrantClient sends grants and releases to backend servers.
	GrantClient interface {
		// Grant sends a grant that arrives before ctx ends or never. It also returns a time,
		// by the clock of the Loop, just before the grant was written to its connection; zero
		// if it was not.
		Grant(ctx context.Context, g ownership.SendGrant) (ownership.Result, time.Time)
		// Release asks for a range back. It returns the handover text for the next
		// owner, if the server sent one.
		Release(ctx context.Context, r ownership.SendRelease) (ownership.Result, string)
	}

	// Loop runs the granter of one instance and carries out its effects.
	Loop struct {
		store         Store
		client        GrantClient
		clock         clock.Clock // also counts the time during which the machine is suspended
		log           *oplog.Log
		notifyGranted func(ownership.Granted)
		granter       *ownership.Granter // used by Run alone
		events        chan ownership.Event
		// epochValidUntil is the time, by clock, until which grants and releases may be
		// sent, in nanoseconds as of Time.UnixNano. clock may count from the start of the
		// machine instead of 1970. epochValidUntil is 0 if no epoch is held.
		epochValidUntil atomic.Int64
		assigned        atomic.Bool // set by SetAssigned, cleared when the granter loses its epoch
		calls           sync.WaitGroup

		claimedEpoch atomic.Uint64 // claimed last by this process
		ownEpochs    sync.Map      // all epochs claimed by this process, as keys
		heldEpoch    atomic.Uint64 // held by the granter; 0 if none
		storeEra     atomic.Uint64 // set by SetStoreEra
		claimedEra   atomic.Uint64 // newest era of the store in which a claim is known
		highestEpoch uint64        // claimed by any granter; used by Run alone
		lostEpoch    uint64        // epoch lost to a higher one and not resigned yet; 0 if none; used by Run alone
		claimSentAt  time.Time     // when the claim of claimedEpoch was first sent; used by Run alone
		lastClaimAt  time.Time     // when a claim was last sent; used by Run alone
		writes       chan mapWrite
	}
)

var (
	// ErrFenced means that another granter has a higher epoch.
	ErrFenced = errors.New("another granter has a higher epoch")
	// ErrRefused means that the store has not carried out a call and never will.
	ErrRefused = errors.New("the store refused the call")
)

// NewLoop returns a loop that does not grant until SetAssigned(true). It calls
// notifyGranted when an owner has accepted the grant of a moving partition, before the
// partition map that records this is written.
func NewLoop(t ownership.Timing, store Store, client GrantClient, notifyGranted func(ownership.Granted), c clock.Clock, log *oplog.Log) *Loop {
	return &Loop{
		store: store, client: client, notifyGranted: notifyGranted, clock: c, log: log, granter: ownership.NewGranter(t),
		events: make(chan ownership.Event, queueLength), writes: make(chan mapWrite, queueLength),
	}
}

// Post queues an event for the granter. It returns false if ctx ended first.
func (l *Loop) Post(ctx context.Context, e ownership.Event) bool {
	select {
	case <-ctx.Done():
		return false
	case l.events <- e:
		return true
	}
}

// SetAssigned sets whether this instance should be the granter.
func (l *Loop) SetAssigned(assigned bool) { l.assigned.Store(assigned) }

// SetStoreEra sets how often the store has come back from an older copy. It must be called
// before anything that was read from the store in that era is posted. A lower value than
// the present one is ignored.
func (l *Loop) SetStoreEra(era uint64) {
	for {
		old := l.storeEra.Load()
		if era <= old || l.storeEra.CompareAndSwap(old, era) {
			return
		}
	}
}

// ResignFormerProcess records in the store that the granter of epoch, which this instance
// claimed, has stopped. Unless this process claimed epoch, a former process of the
// instance did, which no longer runs. ResignFormerProcess does nothing if epoch is the one
// that this process claimed last, or if this process claimed it and holds any epoch: its
// grants may go back to earlier epochs.
func (l *Loop) ResignFormerProcess(ctx context.Context, epoch uint64) {
	_, own := l.ownEpochs.Load(epoch)
	if l.IsClaimedEpoch(epoch) || own && l.heldEpoch.Load() != 0 {
		return
	}
	l.calls.Go(func() { l.writeResignation(ctx, ownership.Resigned{Epoch: epoch}) })
}

// IsClaimedEpoch reports whether epoch is the one that this process claimed last.
func (l *Loop) IsClaimedEpoch(epoch uint64) bool { return l.claimedEpoch.Load() == epoch }

// ClaimedInEra reports whether a claim of the given era of the store, or of a later one,
// is known.
func (l *Loop) ClaimedInEra(era uint64) bool { return l.claimedEra.Load() >= era }

// HoldsEpoch reports whether the instance holds an epoch, even if its confirmation has
// expired and the instance may not send at present.
func (l *Loop) HoldsEpoch() bool { return l.epochValidUntil.Load() != 0 }

// HeldEpoch returns the epoch that the granter holds, or 0 if it holds none.
func (l *Loop) HeldEpoch() uint64 { return l.heldEpoch.Load() }

// MaySend reports whether the instance holds an epoch under which it may send.
func (l *Loop) MaySend() bool { return l.maySend() }

// Run passes events and ticks to the granter until ctx ends. It then resigns, waits
// for the calls in flight and sends nil on done. done carries errors only so that other
// parts of the instance, which may fail, can send on it too.
func (l *Loop) Run(ctx context.Context, done chan<- error) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	written := make(chan error, 1)
	go l.runWrites(ctx, written)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case e := <-l.events:
			l.handle(ctx, e)
		case <-ticker.C:
			l.tick(ctx)
		}
	}
	l.resignAtStop(context.WithoutCancel(ctx))
	l.calls.Wait()
	done <- <-written
}

// handle passes e to the granter. If the granter loses its epoch to a higher one, its
// resignation is recorded in the store later, by resignLostEpoch.
func (l *Loop) handle(ctx context.Context, e ownership.Event) {
	heldEpoch := l.granter.Epoch()
	if era := l.storeEra.Load(); era > l.granter.Era() {
		l.highestEpoch = max(l.highestEpoch, ownership.FirstEpoch(era))
		l.step(ctx, ownership.StoreRestored{Era: era})
	}
	reason := "the store came back from an older copy and has not confirmed the epoch in time"
	if event, ok := e.(ownership.EpochClaimed); ok {
		// The granter does not start the epoch of a claim that is read back while this
		// instance is not assigned, after it has sent a later claim, or after the store came
		// back from a copy.
		mayOwn := l.assigned.Load() || l.granter.EpochOutdated()
		event.Own = mayOwn && l.IsClaimedEpoch(event.Epoch) && ownership.EraOf(event.Epoch) == l.granter.Era()
		event.ClaimSentAt = l.claimSentAt
		reason = "another granter claimed a higher epoch"
		e = event
		if event.Epoch > l.highestEpoch {
			l.highestEpoch = event.Epoch
			l.claimedEra.Store(ownership.EraOf(event.Epoch))
			l.log.Event("granting-role", "epoch", event.Epoch, "prior", event.Prior, "own", event.Own)
			if !event.Own && l.IsClaimedEpoch(event.Epoch) {
				// It never starts, so that no other granter has to wait for it.
				l.calls.Go(func() { l.writeResignation(ctx, ownership.Resigned{Epoch: event.Epoch}) })
			}
		}
	}
	l.step(ctx, e)
	if heldEpoch > 0 && l.granter.Epoch() == 0 {
		l.log.Event("granting-ended", "epoch", heldEpoch, "reason", reason)
		l.assigned.Store(false) // until SetAssigned is called again, this instance does not claim the role back
		l.lostEpoch = heldEpoch
	}
}

// resignLostEpoch records in the store that the granter of the lost epoch has stopped,
// once no grant is in flight according to SinceLastUnanswered.
func (l *Loop) resignLostEpoch(ctx context.Context) {
	if l.lostEpoch == 0 {
		return
	}
	sinceUnanswered, allCompleted := l.granter.SinceLastUnanswered(l.clock.Now())
	if !allCompleted {
		return
	}
	r := ownership.Resigned{Epoch: l.lostEpoch, SinceLastUnanswered: sinceUnanswered}
	l.lostEpoch = 0
	l.calls.Go(func() { l.writeResignation(ctx, r) })
}

// tick passes a tick to the granter if it holds an epoch, and otherwise claims one if
// the instance is assigned. A granter that is no longer assigned goes on until another
// one has claimed a higher epoch, so that no grant expires for lack of renewal. For the
// same reason a granter whose epoch is of an earlier era of the store claims another one.
func (l *Loop) tick(ctx context.Context) {
	now := l.clock.Now()
	l.resignLostEpoch(ctx)
	l.handle(ctx, ownership.Ticked{})
	mayClaim := l.granter.EpochOutdated() || l.granter.Epoch() == 0 && l.assigned.Load()
	if mayClaim && now.Sub(l.lastClaimAt) >= claimRetryInterval {
		l.lastClaimAt = now
		l.claimEpoch(ctx)
	}
}

// claimEpoch claims a new epoch. A granter that holds one of an earlier era of the store
// repeats its claim instead, so that it is not deposed by a late claim of its own.
func (l *Loop) claimEpoch(ctx context.Context) {
	epoch := l.claimedEpoch.Load()
	if !l.granter.EpochOutdated() || ownership.EraOf(epoch) != l.granter.Era() {
		epoch = (l.highestEpoch>>epochRandomBits+1)<<epochRandomBits | rand.Uint64N(1<<epochRandomBits)
		l.claimedEpoch.Store(epoch)
		l.ownEpochs.Store(epoch, struct{}{})
		l.claimSentAt = l.clock.Now()
	}
	prior, window := l.highestEpoch, l.granter.PriorSendWindow(l.clock.Now())
	l.calls.Go(func() {
		if err := l.store.Claim(ctx, epoch, prior, window); err != nil {
			l.log.Event("claim-failed", "epoch", epoch, "reason", err.Error())
		}
	})
}

// resignAtStop gives up the epoch and records the resignation in the store. It does not
// wait for calls in flight, which were cancelled when the context of Run ended. The next
// granter waits in any case until the grants of this one have expired.
func (l *Loop) resignAtStop(ctx context.Context) {
	epoch := l.granter.Epoch()
	if epoch == 0 {
		return
	}
	l.step(ctx, ownership.Stopped{})
	l.epochValidUntil.Store(0)
	l.log.Event("granting-ended", "epoch", epoch, "reason", "the instance is stopping")
	r := ownership.Resigned{Epoch: epoch}
	if sinceUnanswered, allCompleted := l.granter.SinceLastUnanswered(l.clock.Now()); allCompleted {
		r.SinceLastUnanswered = sinceUnanswered
	}
	l.writeResignation(context.WithoutCancel(ctx), r)
}

func (l *Loop) writeResignation(ctx context.Context, r ownership.Resigned) {
	ctx, cancel := context.WithTimeout(ctx, resignTimeout)
	defer cancel()
	if err := l.store.Resign(ctx, r); err != nil {
		l.log.Event("resignation-failed", "epoch", r.Epoch, "reason", err.Error())
	}
}

func (l *Loop) step(ctx context.Context, e ownership.Event) {
	effects := l.granter.Step(e, l.clock.Now())
	l.heldEpoch.Store(l.granter.Epoch())
	if until := l.granter.EpochValidUntil(); until.IsZero() {
		l.epochValidUntil.Store(0)
	} else {
		l.epochValidUntil.Store(until.UnixNano())
	}
	for _, effect := range effects {
		l.carryOut(ctx, effect)
	}
}

// carryOut carries out e. A map is written under the epoch claimed last: the granter
// holds that epoch, since it writes nothing while it holds one of an earlier era.
func (l *Loop) carryOut(ctx context.Context, e ownership.Effect) {
	switch e := e.(type) {
	case ownership.WritePartitionMap:
		e.Map.WrittenMillis = time.Now().UnixMilli()
		l.writes <- mapWrite{epoch: l.claimedEpoch.Load(), partitionMap: e.Map}
	case ownership.SendGrant:
		l.calls.Go(func() { l.sendGrant(ctx, e) })
	case ownership.SendRelease:
		l.calls.Go(func() { l.sendRelease(ctx, e) })
	case ownership.Granted:
		l.notifyGranted(e)
	case ownership.LogOwnershipChange:
		l.log.Event("ownership-"+e.Change, "service", e.Service, "from", e.Range.From, "to", e.Range.To,
			"server", e.Owner.ID, "born", e.Owner.StartedMillis, "fence", e.Fence, "wait-ms", e.Wait.Milliseconds(), "epoch", l.claimedEpoch.Load())
	}
}

// maySend reports whether grants and releases may be sent. It is checked right before
// each send, since the process may have been paused after the decision. For the same
// reason a grant is sent only before its deadline.
func (l *Loop) maySend() bool { return l.clock.Now().UnixNano() < l.epochValidUntil.Load() }

func (l *Loop) sendGrant(ctx context.Context, g ownership.SendGrant) {
	result, writtenAt := ownership.Unsent, time.Time{}
	attemptedAt := l.clock.Now()
	if left := g.Deadline.Sub(attemptedAt); left > 0 && l.maySend() {
		sendCtx, cancel := context.WithTimeout(ctx, left)
		result, writtenAt = l.client.Grant(sendCtx, g)
		cancel()
	}
	if result != ownership.Done {
		l.log.Limited("grant-failed", "service", g.Service, "server", g.Server.ID, "from", g.Range.From, "to", g.Range.To,
			"fence", g.Fence, "result", result.String())
	}
	l.Post(ctx, ownership.GrantCompleted{Grant: g, SentAt: attemptedAt, WrittenAt: writtenAt, Result: result})
}

func (l *Loop) sendRelease(ctx context.Context, r ownership.SendRelease) {
	result, handover := ownership.Unsent, ""
	if l.maySend() {
		result, handover = l.client.Release(ctx, r)
	}
	l.log.Limited("release-answered", "service", r.Service, "server", r.Server.ID, "from", r.Range.From, "to", r.Range.To,
		"fence", r.Fence, "result", result.String(), "handover", handover != "")
	l.Post(ctx, ownership.ReleaseCompleted{Release: r, Result: result, Handover: handover})
}

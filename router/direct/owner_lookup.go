package direct

import (
	"context"
	"time"

	"bronzewind.example/core/code"
	"bronzewind.example/core/ownership"
)

// ownerWaitTimeout is how long a request waits for a change of the snapshots if
// its key has no listed owner. It is added to the grant wait that the partition
// map states.
const ownerWaitTimeout = 400 * time.Millisecond

// ownerLookup is the result of looking up a key in the snapshots.
type ownerLookup struct {
	backend   *backend      // server to send the request to; nil if there is none at present
	fence     uint64        // of the grant to backend; 0 if backend is nil
	replaced  bool          // the owner's address belongs to another server; the key is granted anew once the store lists the change
	grantWait time.Duration // time until the grant to the new owner of a moving key is guaranteed possible; 0 if the key is not moving or the wait is over

	// disallowed means that the request may not be sent to the owner, because of its regions
	// or because the owner's failure domain has been evacuated for too long.
	disallowed bool
}

// lookupOwner looks up the server that a request for key is sent to. The owner of a moving
// key, too, has to be one that p allows.
func (s *Server) lookupOwner(service string, key uint32, p placement, now time.Time) ownerLookup {
	o, ok := (*s.ownership.Load())[service]
	if !ok {
		return ownerLookup{}
	}
	partition, ok := o.partitionMap.Lookup(key)
	if !ok {
		return ownerLookup{}
	}
	known, ok := s.servers.Load().incarnations[partition.Owner]
	if ok && !p.allowsOwner(known.backend.info.Load(), known.evacuatedFor(now)) {
		return ownerLookup{disallowed: true}
	}
	if partition.Moving && !o.grantedMoves[partition.MoveKey()] {
		return ownerLookup{grantWait: o.remainingGrantWait(partition, now)}
	}
	if !ok || !known.leavingSince.IsZero() && now.Sub(known.leavingSince) >= leavingOwnerGrace {
		return ownerLookup{}
	}
	if known.backend.replaced(now) {
		return ownerLookup{replaced: true}
	}
	return ownerLookup{backend: known.backend, fence: partition.Fence}
}

// remainingGrantWait returns how much longer the grant of a moving partition
// may have to wait for the earlier holders. The wait counts from the write of
// the partition map, which may be long before this instance read it. If the
// writer's clock is ahead, it counts from readAt.
func (o *ownershipSnapshot) remainingGrantWait(partition ownership.Partition, now time.Time) time.Duration {
	total := time.Duration(partition.WaitMillis) * time.Millisecond
	remaining := total - now.Sub(o.readAt)
	if o.partitionMap.WrittenMillis > 0 {
		remaining = min(remaining, total-now.Sub(time.UnixMilli(o.partitionMap.WrittenMillis)))
	}
	return max(0, remaining)
}

// waitForOwner returns the owner of the key of r. If the key has no owner that
// can be sent the request, it waits up to the grant wait plus ownerWaitTimeout.
// It fails at once if the owner has been replaced, if the grant wait is as long as the
// request's remaining time, or if the request may not be sent to the owner.
func (s *Server) waitForOwner(ctx context.Context, r *request, state *requestState, key uint32) (*backend, *requestFailure) {
	waitUntil := time.Now().Add(ownerWaitTimeout)
	for {
		changed := s.changeSignal()
		s.boundByStop(r)
		now := time.Now()
		owner := s.lookupOwner(state.service, key, s.placementOf(state.route), now)
		if owner.backend != nil {
			state.owner = owner
			return owner.backend, nil
		}
		remaining := r.deadline.Sub(now)
		switch {
		case owner.replaced:
			return nil, newFailure(code.NoOwner, ownerWaitTimeout, remaining)
		case owner.disallowed:
			return nil, newFailure(code.NoAllowedServer, placementRetryAfter, remaining)
		}
		if owner.grantWait > 0 {
			waitUntil = now.Add(owner.grantWait + ownerWaitTimeout)
		}
		if owner.grantWait >= remaining || !now.Before(waitUntil) {
			return nil, newFailure(code.NoOwner, max(owner.grantWait, minRetryAfter), remaining)
		}
		if !waitForChange(ctx, changed, min(waitUntil.Sub(now), remaining)) {
			return nil, newFailure(code.CancelledInQueue, 0, remaining)
		}
	}
}

// waitForChange waits for a change of a snapshot, at most for timeout. It
// returns false only if the caller cancelled the request, and true after a
// change or the timeout.
func waitForChange(ctx context.Context, changed <-chan struct{}, timeout time.Duration) bool {
	timer := time.NewTimer(max(timeout, time.Millisecond))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
	return ctx.Err() == nil
}

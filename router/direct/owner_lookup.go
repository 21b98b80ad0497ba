package direct

import (
	"context"
	"time"

	"bronzewind.example/core/code"
	"bronzewind.example/core/ownership"
)

// ownerWaitTimeout is how long a request waits for the owner of a key that has
// none according to the snapshots. It is added to the grant wait that the
// partition map states.
const ownerWaitTimeout = 400 * time.Millisecond

// ownerLookup is the result of looking up a key in the snapshots.
type ownerLookup struct {
	backend   *backend      // nil if no server may be sent the request
	grantWait time.Duration // until the owner is guaranteed to be granted the key; 0 if that may happen at any time
}

// lookupOwner looks up the server that a request for key is sent to.
func (s *Server) lookupOwner(service string, key uint32, now time.Time) ownerLookup {
	o, ok := (*s.ownership.Load())[service]
	if !ok {
		return ownerLookup{}
	}
	partition, ok := o.partitionMap.Lookup(key)
	if !ok {
		return ownerLookup{}
	}
	if partition.Moving && !o.grantedMoves[partition.Move()] {
		return ownerLookup{grantWait: o.remainingGrantWait(partition, now)}
	}
	k, ok := s.servers.Load().incarnations[partition.Owner]
	if !ok || !k.leavingSince.IsZero() && now.Sub(k.leavingSince) >= leavingOwnerGrace {
		return ownerLookup{}
	}
	return ownerLookup{backend: k.backend}
}

// remainingGrantWait returns how much longer the grant of a moving partition may
// have to wait for the earlier holders. The wait counts from the write of the
// partition map, which may be long before this instance read it.
func (o *ownershipSnapshot) remainingGrantWait(partition ownership.Row, now time.Time) time.Duration {
	total := time.Duration(partition.Waits) * time.Millisecond
	remaining := total - now.Sub(o.readAt)
	if o.partitionMap.Written > 0 {
		remaining = min(remaining, total-now.Sub(time.UnixMilli(o.partitionMap.Written)))
	}
	return max(0, remaining)
}

// waitForOwner returns the owner of the key of r. While the key moves, the
// request waits, unless the move is known to take longer than the request's
// deadline.
func (s *Server) waitForOwner(ctx context.Context, r *request, service string, key uint32) (*backend, *requestFailure) {
	waitUntil := time.Now().Add(ownerWaitTimeout)
	for {
		changed := s.changeSignal()
		now := time.Now()
		owner := s.lookupOwner(service, key, now)
		if owner.backend != nil {
			return owner.backend, nil
		}
		remaining := r.deadline.Sub(now)
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

// waitForChange waits for a change of a snapshot, at most for timeout. It returns
// false if the caller cancelled the request.
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

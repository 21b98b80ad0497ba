package direct

import (
	"context"
	"time"

	"bronzewind.example/core/code"
	"bronzewind.example/core/ownership"
)

// ownerWaitTimeout is how long a request waits for word on a key that seems to have no
// owner, beyond what the ownership itself says.
const ownerWaitTimeout = 400 * time.Millisecond

// ownerLookup is what the snapshots say of a key.
type ownerLookup struct {
	backend   *backend      // nil while nobody may be sent the request
	grantWait time.Duration // until the owner will surely be granted the key; 0 when it may be at any moment
}

// lookupOwner looks up who may be sent a request for key.
func (s *Server) lookupOwner(service string, key uint32, now time.Time) ownerLookup {
	o, ok := (*s.ownership.Load())[service]
	if !ok {
		return ownerLookup{}
	}
	row, ok := o.partitionMap.Lookup(key)
	if !ok {
		return ownerLookup{}
	}
	if row.Moving && !o.grantedMoves[row.Move()] {
		return ownerLookup{grantWait: o.remainingGrantWait(row, now)}
	}
	m, ok := s.servers.Load().incarnations[row.Owner]
	if !ok || !m.leavingSince.IsZero() && now.Sub(m.leavingSince) >= leavingOwnerGrace {
		return ownerLookup{}
	}
	return ownerLookup{backend: m.backend}
}

// remainingGrantWait returns how much longer a moving row will surely wait for its earlier
// holders. The book may have been written long before it was read here.
func (o *ownershipSnapshot) remainingGrantWait(r ownership.Row, now time.Time) time.Duration {
	whole := time.Duration(r.Waits) * time.Millisecond
	left := whole - now.Sub(o.readAt)
	if o.partitionMap.Written > 0 {
		left = min(left, whole-now.Sub(time.UnixMilli(o.partitionMap.Written)))
	}
	return max(0, left)
}

// waitForOwner returns the owner of the key of r. While the key moves, the request
// waits, unless it is known that the move takes longer than the caller waits.
func (s *Server) waitForOwner(ctx context.Context, r *request, service string, key uint32) (*backend, *refusal) {
	until := time.Now().Add(ownerWaitTimeout)
	for {
		changed := s.changeSignal()
		now := time.Now()
		v := s.lookupOwner(service, key, now)
		if v.backend != nil {
			return v.backend, nil
		}
		left := r.deadline.Sub(now)
		if v.grantWait > 0 {
			until = now.Add(v.grantWait + ownerWaitTimeout)
		}
		if v.grantWait >= left || !now.Before(until) {
			return nil, newRefusal(code.NoOwner, max(v.grantWait, minRetryAfter), left)
		}
		if !waitForChange(ctx, changed, min(until.Sub(now), left)) {
			return nil, newRefusal(code.CancelledInQueue, 0, left)
		}
	}
}

// waitForChange waits for d or a change; it returns false when the caller left.
func waitForChange(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(max(d, time.Millisecond))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
	return ctx.Err() == nil
}

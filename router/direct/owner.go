package direct

import (
	"context"
	"time"

	"bronzewind.example/core/code"
	"bronzewind.example/core/ownership"
)

// ownerWait is how long a request waits for word on a key that seems to have no
// owner, beyond what the ownership itself says.
const ownerWait = 400 * time.Millisecond

// ownerView is what the snapshots say of a key.
type ownerView struct {
	backend *backend      // nil while nobody may be sent the request
	wait    time.Duration // until the owner will surely be granted the key; 0 when it may be at any moment
}

// owner looks up who may be sent a request for key.
func (s *Server) owner(service string, key uint32, now time.Time) ownerView {
	o, ok := (*s.owned.Load())[service]
	if !ok {
		return ownerView{}
	}
	row, ok := o.partitionMap.Lookup(key)
	if !ok {
		return ownerView{}
	}
	if row.Moving && !o.grantedMoves[row.Move()] {
		return ownerView{wait: o.waitFor(row, now)}
	}
	m, ok := s.fleet.Load().incarnations[row.Owner]
	if !ok || !m.leavingSince.IsZero() && now.Sub(m.leavingSince) >= leavingOwnerGrace {
		return ownerView{}
	}
	return ownerView{backend: m.backend}
}

// waitFor returns how much longer a moving row will surely wait for its earlier
// holders. The book may have been written long before it was read here.
func (o *ownershipSnapshot) waitFor(r ownership.Row, now time.Time) time.Duration {
	whole := time.Duration(r.Waits) * time.Millisecond
	left := whole - now.Sub(o.readAt)
	if o.partitionMap.Written > 0 {
		left = min(left, whole-now.Sub(time.UnixMilli(o.partitionMap.Written)))
	}
	return max(0, left)
}

// awaitOwner returns the owner of the key of r. While the key moves, the request
// waits, unless it is known that the move takes longer than the caller waits.
func (s *Server) awaitOwner(ctx context.Context, r *request, service string, key uint32) (*backend, *refusal) {
	until := time.Now().Add(ownerWait)
	for {
		changed := s.changeSignal()
		now := time.Now()
		v := s.owner(service, key, now)
		if v.backend != nil {
			return v.backend, nil
		}
		left := r.deadline.Sub(now)
		if v.wait > 0 {
			until = now.Add(v.wait + ownerWait)
		}
		if v.wait >= left || !now.Before(until) {
			return nil, refuse(code.NoOwner, max(v.wait, minRetryAfter), left)
		}
		if !sleep(ctx, changed, min(until.Sub(now), left)) {
			return nil, refuse(code.CancelledInQueue, 0, left)
		}
	}
}

// sleep waits for d or a change; it returns false when the caller left.
func sleep(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(max(d, time.Millisecond))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
	return ctx.Err() == nil
}

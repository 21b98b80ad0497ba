package control

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzewind.example/core/record"
	"bronzewind.example/core/state"
)

const (
	// claimStagger is the wait between the first and the next instance that
	// may claim a vacant coordinator's role.
	claimStagger = 100 * time.Millisecond
	// stallLimit is how long a backend server may be without a dispatcher
	// before the coordinator counts as cut off from the log.
	stallLimit = 2 * time.Second
)

// stallCheck says whether a service was stalled as of an offset of the fold.
type stallCheck struct {
	offset  uint64
	stalled bool
}

// decideClaim claims the coordinator's role of v when it is vacant or stalled.
// Members try one after the other, in an order that differs between services.
func (c *Core) decideClaim(v *state.Service, now time.Time) []Effect {
	wait, wanted := c.claimWait(v)
	if !wanted {
		delete(c.claimableSince, v.Name)
		return nil
	}
	since, ok := c.claimableSince[v.Name]
	if !ok {
		since = now
		c.claimableSince[v.Name] = now
	}
	if c.leavePhase != notLeaving || now.Sub(since) < wait+time.Duration(c.claimRank(v.Name))*claimStagger {
		return nil
	}
	return c.propose("coordinator/"+v.Name, record.CoordinatorClaimed{Service: v.Name, Term: v.Term + 1}, now)
}

// claimWait reports whether v wants another coordinator, and after what time.
func (c *Core) claimWait(v *state.Service) (time.Duration, bool) {
	m, ok := c.state.Members[v.Coordinator.Instance]
	switch {
	case !ok || m.Writer != v.Coordinator || m.Leaving:
		return 0, true
	case v.Coordinator != c.self && c.stalled(v):
		return stallLimit, true
	default:
		return 0, false
	}
}

// stalled reports whether a backend server of v waits for a dispatcher. The
// servers are looked at only when the fold has moved on.
func (c *Core) stalled(v *state.Service) bool {
	if last, ok := c.stallChecks[v.Name]; ok && last.offset == c.state.Next {
		return last.stalled
	}
	now := stallCheck{offset: c.state.Next, stalled: c.lacksDispatcher(v)}
	c.stallChecks[v.Name] = now
	return now.stalled
}

func (c *Core) lacksDispatcher(v *state.Service) bool {
	for _, s := range v.Servers {
		if !c.state.IsMember(s.Row.Dispatcher) {
			return true
		}
	}
	return false
}

// claimRank returns the place of the instance in the order of claims.
func (c *Core) claimRank(service string) int {
	names := c.state.MemberNames()
	order := func(name string) uint64 { return xxhash.Sum64String(service + "/" + name) }
	sort.Slice(names, func(i, j int) bool { return order(names[i]) < order(names[j]) })
	rank := 0
	for _, n := range names {
		if n == c.self.Instance {
			break
		}
		if !c.state.Members[n].Leaving {
			rank++
		}
	}
	return min(rank, maxStaggered)
}

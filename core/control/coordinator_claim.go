package control

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzewind.example/core/record"
	"bronzewind.example/core/state"
)

const (
	// claimStagger is the delay between two consecutive instances in the order
	// of claims for the coordinator role of a service.
	claimStagger = 100 * time.Millisecond
	// missingDispatcherLimit is how long a service may have backend servers
	// without a dispatcher before other members claim its coordinator role,
	// because its coordinator is considered cut off from the log.
	missingDispatcherLimit = 2 * time.Second
)

// dispatcherCheck records whether a service had a backend server without a
// dispatcher in the state whose next log offset was offset.
type dispatcherCheck struct {
	offset          uint64
	lacksDispatcher bool
}

// decideClaim claims the coordinator role of v when the coordinator is not a
// member, is leaving, or has left backend servers without a dispatcher for
// missingDispatcherLimit. Members claim one after the other, in an order that
// differs between services.
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

// claimWait reports whether v needs another coordinator, and how long to wait
// before claiming the role.
func (c *Core) claimWait(v *state.Service) (time.Duration, bool) {
	m, ok := c.state.Members[v.Coordinator.Instance]
	switch {
	case !ok || m.Writer != v.Coordinator || m.Leaving:
		return 0, true
	case v.Coordinator != c.self && c.lacksDispatcher(v):
		return missingDispatcherLimit, true
	default:
		return 0, false
	}
}

// lacksDispatcher reports whether a backend server of v has no dispatcher. The
// servers are checked again only after new records have been applied.
func (c *Core) lacksDispatcher(v *state.Service) bool {
	if last, ok := c.dispatcherChecks[v.Name]; ok && last.offset == c.state.Next {
		return last.lacksDispatcher
	}
	check := dispatcherCheck{offset: c.state.Next, lacksDispatcher: c.hasServerWithoutDispatcher(v)}
	c.dispatcherChecks[v.Name] = check
	return check.lacksDispatcher
}

func (c *Core) hasServerWithoutDispatcher(v *state.Service) bool {
	for _, s := range v.Servers {
		if !c.state.IsMember(s.Row.Dispatcher) {
			return true
		}
	}
	return false
}

// claimRank returns the instance's position in the order of claims among members
// that are not leaving, at most maxStaggerRank.
func (c *Core) claimRank(service string) int {
	names := c.state.MemberNames()
	orderHash := func(name string) uint64 { return xxhash.Sum64String(service + "/" + name) }
	sort.Slice(names, func(i, j int) bool { return orderHash(names[i]) < orderHash(names[j]) })
	rank := 0
	for _, n := range names {
		if n == c.self.Instance {
			break
		}
		if !c.state.Members[n].Leaving {
			rank++
		}
	}
	return min(rank, maxStaggerRank)
}

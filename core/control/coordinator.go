package control

import (
	"maps"
	"slices"
	"sort"
	"time"

	"bronzewind.example/core/record"
	"bronzewind.example/core/state"
)

const (
	// delistDelay is how long the platform's list must omit a backend server
	// before the server counts as delisted.
	delistDelay = 3 * time.Second
)

// serversListed stores the platform's list and notes which known backend
// servers it omits.
func (c *Core) serversListed(e ServersListed, now time.Time) {
	if !slices.Equal(c.listed, e.Rows) {
		c.listed = slices.Clone(e.Rows)
		c.listVersion++
	}
	listed := map[serverKey]bool{}
	for _, l := range e.Rows {
		listed[serverKey{service: l.Service, server: l.Name}] = true
	}
	for key := range c.missingSince {
		if listed[key] {
			delete(c.missingSince, key)
		}
	}
	for _, v := range c.state.Services {
		for name := range v.Servers {
			key := serverKey{service: v.Name, server: name}
			if _, ok := c.missingSince[key]; !ok && !listed[key] {
				c.missingSince[key] = now
			}
		}
	}
}

// delisted reports whether the platform's list has omitted a backend server for
// at least delistDelay.
func (c *Core) delisted(service, server string, now time.Time) bool {
	since, ok := c.missingSince[serverKey{service: service, server: server}]
	return ok && now.Sub(since) >= delistDelay
}

// decideServices performs the coordinator roles that the instance holds, and
// claims those that it should take over.
func (c *Core) decideServices(now time.Time) []Effect {
	var out []Effect
	for _, v := range c.state.ServicesInOrder() {
		if v.Coordinator == c.self {
			out = append(out, c.coordinateService(v, now)...)
			continue
		}
		delete(c.plans, v.Name)
		out = append(out, c.decideClaim(v, now)...)
	}
	return out
}

// coordinateService proposes the next change in v, one record at a time.
func (c *Core) coordinateService(v *state.Service, now time.Time) []Effect {
	if !c.planState(v.Name).startCheckIfDue(c.state.Next, now) {
		return nil
	}
	subject := "service/" + v.Name
	c.dropStaleProposal(subject, v.Version)
	if rows, removed := c.changedServers(v, now), c.removableServers(v, now); len(rows)+len(removed) > 0 {
		return c.propose(subject, record.ServersPlaced{Service: v.Name, Term: v.Term, Base: v.Version, Servers: rows, Removed: removed}, now)
	}
	c.planState(v.Name).serversCheckedOffset, c.planState(v.Name).serversCheckedListVersion = c.state.Next, c.listVersion
	if v.Removed {
		return nil
	}
	if change := c.plan(v, now); !change.empty() {
		return c.propose(subject, record.SlotsAssigned{Service: v.Name, Term: v.Term, Base: v.Version, Ranges: change.ranges, Keys: change.keys}, now)
	}
	return nil
}

// dropStaleProposal drops a pending record whose base is no longer the version
// of the service. Such a record can no longer be accepted.
func (c *Core) dropStaleProposal(subject string, version uint64) {
	p, ok := c.pending[subject]
	if !ok {
		return
	}
	switch b := p.record.Body.(type) {
	case record.ServersPlaced:
		ok = b.Base == version
	case record.SlotsAssigned:
		ok = b.Base == version
	}
	if !ok {
		delete(c.pending, subject)
	}
}

// changedServers returns a row for each backend server that is new, changed,
// delisted, or needs another dispatcher or next dispatcher.
func (c *Core) changedServers(v *state.Service, now time.Time) []record.ServerRow {
	if st := c.planState(v.Name); st.serversCheckedOffset == c.state.Next && st.serversCheckedListVersion == c.listVersion && len(c.missingSince) == 0 {
		return nil
	}
	wanted := map[string]record.ServerRow{}
	for name, s := range v.Servers {
		row := s.Row
		row.Leaving = row.Leaving || c.delisted(v.Name, name, now)
		wanted[name] = row
	}
	for _, l := range c.listed {
		if l.Service == v.Name && !v.Removed {
			wanted[l.Name] = record.ServerRow{
				Name: l.Name, Address: l.Address, Region: l.Region, FailureDomain: l.FailureDomain,
				Dispatcher: v.Servers[l.Name].Row.Dispatcher, Leaving: l.Leaving, Capacity: l.Capacity,
			}
		}
	}
	var rows []record.ServerRow
	counts := c.dispatchedCounts()
	for _, name := range slices.Sorted(maps.Keys(wanted)) {
		row := wanted[name]
		c.assignDispatcher(&row, v.Servers[name].Row, counts)
		if row != v.Servers[name].Row {
			rows = append(rows, row)
		}
	}
	return rows
}

// assignDispatcher gives row a dispatcher that is a member, and a next
// dispatcher if the present one is about to leave.
func (c *Core) assignDispatcher(row *record.ServerRow, old record.ServerRow, counts map[string]int) {
	row.Next = record.Writer{}
	m, ok := c.state.Members[row.Dispatcher.Instance]
	switch {
	case !ok || m.Writer != row.Dispatcher:
		row.Dispatcher = c.pickDispatcher(row.Region, row.FailureDomain, counts)
		counts[row.Dispatcher.Instance]++
	case m.Leaving && c.isStayingMember(old.Next):
		row.Next = old.Next
	case m.Leaving:
		if next := c.pickDispatcher(row.Region, row.FailureDomain, counts); c.isStayingMember(next) {
			row.Next = next
			counts[next.Instance]++
		}
	}
}

// isStayingMember reports whether w is a member that is not about to leave.
func (c *Core) isStayingMember(w record.Writer) bool {
	return c.state.IsMember(w) && !c.state.Members[w.Instance].Leaving
}

// removableServers returns the backend servers that are delisted, are marked as
// leaving in the state, and own nothing.
func (c *Core) removableServers(v *state.Service, now time.Time) []string {
	if len(c.missingSince) == 0 {
		return nil
	}
	var out []string
	for _, name := range v.ServerNames() {
		if c.delisted(v.Name, name, now) && v.Servers[name].Row.Leaving && !v.OwnsAny(name) {
			out = append(out, name)
		}
	}
	return out
}

// dispatchedCounts returns how many backend servers each member dispatches to.
func (c *Core) dispatchedCounts() map[string]int {
	counts := map[string]int{}
	for _, v := range c.state.Services {
		for _, s := range v.Servers {
			if c.state.IsMember(s.Row.Dispatcher) {
				counts[s.Row.Dispatcher.Instance]++
			}
		}
	}
	return counts
}

// pickDispatcher returns the member that is to dispatch to a backend server. It
// prefers members in the same failure domain, then in the same region, then
// those with the fewest backend servers. Leaving members are considered only if
// there are no others.
func (c *Core) pickDispatcher(region, domain string, counts map[string]int) record.Writer {
	names := slices.DeleteFunc(c.state.MemberNames(), func(n string) bool { return c.state.Members[n].Leaving })
	if len(names) == 0 {
		names = c.state.MemberNames()
	}
	distance := func(name string) int {
		j := c.state.Members[name].Joined
		switch {
		case j.FailureDomain == domain:
			return 0
		case j.Region == region:
			return 1
		default:
			return 2
		}
	}
	sort.SliceStable(names, func(i, j int) bool {
		di, dj := distance(names[i]), distance(names[j])
		if di != dj {
			return di < dj
		}
		return counts[names[i]] < counts[names[j]]
	})
	return c.state.Members[names[0]].Writer
}

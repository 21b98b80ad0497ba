package control

import (
	"slices"
	"sort"
	"time"

	"bronzewind.example/core/config"
	"bronzewind.example/core/keyspace"
	"bronzewind.example/core/record"
	"bronzewind.example/core/state"
)

// decideService claims the coordinator's role when it is vacant, and carries
// it out when the instance holds it.
func (c *Core) decideService(conf *config.Service, now time.Time) []Effect {
	v := c.state.Services[conf.Name]
	if out := c.decideClaim(v, now); len(out) > 0 || v.Coordinator != c.self {
		return out
	}
	if !c.state.IsMember(v.Coordinator) {
		return nil
	}
	if rows := c.misplaced(v); len(rows) > 0 {
		return c.propose("service/"+v.Name, record.ServersPlaced{Service: v.Name, Term: v.Term, Base: v.Version, Servers: rows}, now)
	}
	if ranges := freeSlots(v); len(ranges) > 0 {
		return c.propose("service/"+v.Name, record.SlotsAssigned{Service: v.Name, Term: v.Term, Base: v.Version, Ranges: ranges}, now)
	}
	return nil
}

// misplaced returns a row for each backend server that is new, changed, or
// without a dispatcher.
func (c *Core) misplaced(v *state.Service) []record.ServerRow {
	var rows []record.ServerRow
	load := c.dispatcherLoad()
	for _, l := range c.listed {
		if l.Service != v.Name {
			continue
		}
		old := v.Servers[l.Name].Row
		row := record.ServerRow{
			Name: l.Name, Address: l.Address, Region: l.Region, FailureDomain: l.FailureDomain,
			Dispatcher: old.Dispatcher, Leaving: l.Leaving,
		}
		if !c.state.IsMember(row.Dispatcher) {
			row.Dispatcher = c.pickDispatcher(l.Region, l.FailureDomain, load)
			load[row.Dispatcher.Instance]++
		} else if c.state.Members[row.Dispatcher.Instance].Leaving {
			row.Next = c.nextDispatcher(old, load)
		}
		if row != old {
			rows = append(rows, row)
		}
	}
	return rows
}

// nextDispatcher returns the member that is to take the role over from a
// leaving one.
func (c *Core) nextDispatcher(row record.ServerRow, load map[string]int) record.Writer {
	if m, ok := c.state.Members[row.Next.Instance]; ok && m.Writer == row.Next && !m.Leaving {
		return row.Next
	}
	next := c.pickDispatcher(row.Region, row.FailureDomain, load)
	if c.state.Members[next.Instance].Leaving {
		return record.Writer{}
	}
	load[next.Instance]++
	return next
}

// dispatcherLoad counts the backend servers that each member dispatches to.
func (c *Core) dispatcherLoad() map[string]int {
	load := map[string]int{}
	for _, v := range c.state.Services {
		for _, s := range v.Servers {
			if c.state.IsMember(s.Row.Dispatcher) {
				load[s.Row.Dispatcher.Instance]++
			}
		}
	}
	return load
}

// pickDispatcher chooses the member nearest to the backend server, and the
// least loaded of those.
func (c *Core) pickDispatcher(region, domain string, load map[string]int) record.Writer {
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
		return load[names[i]] < load[names[j]]
	})
	return c.state.Members[names[0]].Writer
}

// freeSlots spreads the slots without an owner over the servers that are up,
// the one with the fewest slots first.
func freeSlots(v *state.Service) []record.SlotRange {
	count := map[string]int{}
	for _, row := range v.Slots {
		count[row.Owner]++
	}
	var up []string
	for _, n := range v.ServerNames() {
		if s := v.Servers[n]; s.Up && !s.Row.Leaving {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		return nil
	}
	var out []record.SlotRange
	for i, row := range v.Slots {
		if row.Owner != "" {
			continue
		}
		least := up[0]
		for _, n := range up[1:] {
			if count[n] < count[least] {
				least = n
			}
		}
		count[least]++
		slot := keyspace.Slot(i)
		if n := len(out); n > 0 && out[n-1].Server == least && out[n-1].Last+1 == slot {
			out[n-1].Last = slot
			continue
		}
		out = append(out, record.SlotRange{First: slot, Last: slot, Server: least})
	}
	return out
}

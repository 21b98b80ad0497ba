package control

import (
	"time"

	"bronzewind.example/core/keyspace"
	"bronzewind.example/core/record"
	"bronzewind.example/core/state"
)

// The phases of a graceful leave.
const (
	notLeaving     leavePhase = iota
	handingOver               // roles are being handed over to other instances
	trafficStopped            // the instance serves no requests and none is in flight
)

// leavePhase is the progress of a graceful leave.
type leavePhase uint8

// RolesHandedOver reports whether the leave has been announced in the log and the
// instance holds no role. It also returns true if no other member can take roles
// over, the membership has ended, or there is no configuration.
func (c *Core) RolesHandedOver() bool {
	if c.ended || c.state.Configuration == nil || !c.othersStay() {
		return true
	}
	if m, ok := c.state.Members[c.self.Instance]; ok && m.Writer == c.self && !m.Leaving {
		return false
	}
	for _, v := range c.state.Services {
		if v.Coordinator == c.self {
			return false
		}
		for _, s := range v.Servers {
			if s.Row.Dispatcher == c.self {
				return false
			}
		}
	}
	return true
}

// othersStay reports whether another member can take roles over.
func (c *Core) othersStay() bool {
	for _, m := range c.state.Members {
		if m.Writer != c.self && !m.Leaving {
			return true
		}
	}
	return false
}

// decideLeave announces a graceful leave, and ends the membership once roles
// are handed over and traffic has stopped.
func (c *Core) decideLeave(now time.Time) []Effect {
	switch {
	case c.leavePhase == notLeaving:
		return nil
	case c.leavePhase == trafficStopped && c.RolesHandedOver():
		c.lease.relinquished = true
		return c.propose("leave", record.InstanceLeft{}, now)
	case !c.state.Members[c.self.Instance].Leaving:
		return c.propose("leaving", record.InstanceLeaving{}, now)
	default:
		return nil
	}
}

func roleReleaseSubject(v *state.Service, server state.Server) string {
	return "role/" + v.Name + "/" + server.Row.Name
}

// handOverRole pauses all requests to a backend server whose dispatcher is to
// change, and releases the dispatcher role once none is in flight.
func (c *Core) handOverRole(v *state.Service, server state.Server, g *grantState, now time.Time) []Effect {
	if !g.handingOver {
		g.handingOver = true
		all := []record.SlotRange{{First: 0, Last: keyspace.Slot(len(v.Slots) - 1), Server: server.Row.Name}}
		return c.pause(v, server, &g.handover, slotKeySet{slots: all, keys: g.owned.keys}, now)
	}
	if !g.handover.allDrained {
		return nil
	}
	return c.propose(roleReleaseSubject(v, server),
		record.DispatcherReleased{Service: v.Name, Server: server.Row.Name, Epoch: g.epoch}, now)
}

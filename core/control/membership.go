package control

import (
	"time"

	"bronzewind.example/core/record"
)

type (
	// Message is a control message that instances send to each other directly,
	// not through the log. The set of messages is sealed.
	//
	//sumtype:decl
	Message interface{ message() }

	// Heartbeat requests that a witness promise its sender a lease: not to vote
	// it lost for the duration of the lease.
	Heartbeat struct {
		Round uint64        `cbor:"1,keyasint"` // grows with each heartbeat of an incarnation
		Lease time.Duration `cbor:"2,keyasint"` // requested duration
	}

	// HeartbeatResponse promises the lease that the heartbeat of Round requested.
	HeartbeatResponse struct {
		Round uint64 `cbor:"1,keyasint"`
	}

	// LostVote reports that its sender, a witness of Member, received no
	// heartbeat of Member for a lease duration and no longer responds to
	// heartbeats of Member at this lease version.
	LostVote struct {
		Member  record.Writer `cbor:"1,keyasint"`
		Version uint64        `cbor:"2,keyasint"`
	}
)

func (Heartbeat) message()         {}
func (HeartbeatResponse) message() {}
func (LostVote) message()          {}

// decideMembership joins the fleet if the instance is not a member. The
// membership of an earlier incarnation of the instance must end first.
func (c *Core) decideMembership(now time.Time) []Effect {
	if _, ok := c.state.Members[c.self.Instance]; ok {
		return c.decideEarlierIncarnation(now)
	}
	out := c.propose("join", c.joined, now)
	// The join record is also the first renewal of the lease.
	if id := c.pending["join"].record.ID; c.state.Configuration != nil && len(c.lease.unreadRenewals) == 0 {
		c.lease.unreadRenewals[id] = c.leaseEndFrom(c.pending["join"].firstAppend)
	}
	return out
}

func (c *Core) messageReceived(e MessageReceived, now time.Time) []Effect {
	c.witness.lastMessageAt = now
	switch m := e.Message.(type) {
	case Heartbeat:
		return c.answerHeartbeat(e.From, m, now)
	case HeartbeatResponse:
		c.heartbeatAnswered(e.From, m)
	case LostVote:
		c.voteReceived(e.From, m)
	case LoadReported:
		c.storeLoad(m, now)
	case LogPosition:
		c.positionReceived(e.From, m, now)
	}
	return nil
}

package control

import (
	"time"
)

type (
	// Message is what instances tell each other besides the log. The set of
	// messages is sealed.
	//
	//sumtype:decl
	Message interface{ message() }

	// Heartbeat tells that its sender runs.
	Heartbeat struct {
		Sequence uint64 `cbor:"1,keyasint"`
	}
)

func (Heartbeat) message() {}

// decideMembership joins the fleet when the instance is no member.
func (c *Core) decideMembership(now time.Time) []Effect {
	if c.state.IsMember(c.self) {
		return nil
	}
	return c.propose("join", c.joined, now)
}

// received takes in a control message.
func (c *Core) received(e MessageReceived, _ time.Time) []Effect {
	switch e.Message.(type) {
	case Heartbeat:
	}
	return nil
}

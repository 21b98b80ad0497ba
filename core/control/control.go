// Package control decides what one instance does: a deterministic step from an
// event and the time to effects. It does no I/O, reads no clock, and draws no
// random numbers; one goroutine runs it.
package control

import (
	"fmt"
	"time"

	"bronzewind.example/core/backend"
	"bronzewind.example/core/platform"
	"bronzewind.example/core/record"
	"bronzewind.example/core/route"
	"bronzewind.example/core/state"
)

// appendRetry is the wait before a record that was not read back is appended
// again under the same ID.
const appendRetry = 2 * time.Second

type (
	// Event is what happened. The set of events is sealed.
	//
	//sumtype:decl
	Event interface{ event() }

	// Effect is what the instance is to do. The set of effects is sealed.
	//
	//sumtype:decl
	Effect interface{ effect() }

	// RecordsRead brings entries of the log; Entries[i] has offset First+i.
	RecordsRead struct {
		First    uint64
		Entries  [][]byte
		CaughtUp bool // the log has no more at present
	}

	// ServersListed brings the platform's list of backend servers.
	ServersListed struct{ Rows []platform.Listed }

	// GrantAnswered brings the answer to a SendGrant; Err is "" when it came.
	GrantAnswered struct {
		Service, Server string
		Epoch           uint64
		Sent            time.Time
		Grant           backend.Grant
		Answer          backend.GrantAnswer
		Err             string
	}

	// SlotsDrained says that no request of the held slots runs any more.
	SlotsDrained struct {
		Service, Server string
		Ranges          []record.SlotRange
	}

	// CrashFound asks for a request that crashed backend servers to be
	// quarantined.
	CrashFound struct{ Quarantine record.Quarantined }

	// MessageReceived brings a control message of another instance.
	MessageReceived struct {
		From    record.Writer
		Message Message
	}

	// Ticked lets time pass.
	Ticked struct{}

	// Append asks for a record in the log; reading it back ends the wait.
	Append struct{ Record record.Record }

	// SendGrant asks for a grant to be sent to a backend server.
	SendGrant struct {
		Address string
		Grant   backend.Grant
	}

	// SetTable replaces the snapshot that traffic reads.
	SetTable struct{ Table *route.Table }

	// Authorize lets the local dispatcher send work of the granted slots until
	// the given time, but for the held ones.
	Authorize struct {
		Service, Server string
		Epoch           uint64
		Incarnation     uint64 // run of the backend server
		Until           time.Time
		Granted         []record.SlotRange
		Held            []record.SlotRange
	}

	// HoldSlots stops new work of slots that move away; SlotsDrained answers.
	HoldSlots struct {
		Service, Server string
		Ranges          []record.SlotRange
		Limit           time.Duration // then work in flight is cancelled
	}

	// SendMessage asks for a control message to another instance; it may be
	// lost, late or doubled.
	SendMessage struct {
		To      record.Writer
		Message Message
	}

	// Log asks for a log line.
	Log struct {
		Message string
		Detail  string
	}

	// Core is the control state of one instance.
	Core struct {
		self     record.Writer
		joined   record.InstanceJoined
		state    *state.State
		caughtUp bool
		listed   []platform.Listed
		pending  map[string]pending // by subject; at most one record each
		grants   map[serverKey]*grantState
		sequence uint64
	}

	serverKey struct{ service, server string }

	// pending is a record whose fate is not known yet.
	pending struct {
		record record.Record
		sent   time.Time
	}
)

func (RecordsRead) event()     {}
func (ServersListed) event()   {}
func (GrantAnswered) event()   {}
func (SlotsDrained) event()    {}
func (CrashFound) event()      {}
func (MessageReceived) event() {}
func (Ticked) event()          {}

func (Append) effect()      {}
func (SendGrant) effect()   {}
func (SetTable) effect()    {}
func (Authorize) effect()   {}
func (HoldSlots) effect()   {}
func (SendMessage) effect() {}
func (Log) effect()         {}

// NewCore returns the control state of the instance self before any event.
func NewCore(self record.Writer, joined record.InstanceJoined) *Core {
	return &Core{
		self:    self,
		joined:  joined,
		state:   state.New(),
		pending: map[string]pending{},
		grants:  map[serverKey]*grantState{},
	}
}

// Step takes one event and returns what is to be done, in order.
func (c *Core) Step(e Event, now time.Time) []Effect {
	var out []Effect
	switch e := e.(type) {
	case RecordsRead:
		out = c.read(e)
	case ServersListed:
		c.listed = e.Rows
	case GrantAnswered:
		out = c.grantAnswered(e, now)
	case SlotsDrained:
		out = c.drained(e, now)
	case CrashFound:
		out = c.propose(fmt.Sprintf("quarantine/%s/%d", e.Quarantine.Service, e.Quarantine.Fingerprint), e.Quarantine, now)
	case MessageReceived:
		out = c.received(e, now)
	case Ticked:
	}
	return append(out, c.decide(now)...)
}

// State returns the fold for queries; it is not to be changed.
func (c *Core) State() *state.State { return c.state }

// Ready reports whether the instance may serve traffic.
func (c *Core) Ready() bool {
	return c.caughtUp && c.state.Configuration != nil && c.state.IsMember(c.self)
}

// decide returns what follows from the state as it is now.
func (c *Core) decide(now time.Time) []Effect {
	if !c.caughtUp {
		return nil
	}
	out := c.decideMembership(now)
	if c.state.Configuration == nil || !c.state.IsMember(c.self) {
		return out
	}
	for i := range c.state.Configuration.Services {
		out = append(out, c.decideService(&c.state.Configuration.Services[i], now)...)
	}
	return append(out, c.decideGrants(now)...)
}

// read folds entries and publishes the new snapshot.
func (c *Core) read(e RecordsRead) []Effect {
	var out []Effect
	for i, data := range e.Entries {
		out = append(out, c.fold(e.First+uint64(i), data)...)
	}
	c.caughtUp = c.caughtUp || e.CaughtUp
	if len(e.Entries) == 0 {
		return out
	}
	if t := route.NewTable(c.state); t != nil {
		out = append(out, SetTable{Table: t})
	}
	return out
}

func (c *Core) fold(offset uint64, data []byte) []Effect {
	if offset < c.state.Next {
		return nil
	}
	r, err := record.Decode(data)
	if err != nil {
		c.state.Skip(offset)
		return []Effect{Log{Message: "record skipped", Detail: err.Error()}}
	}
	verdict := c.state.Apply(offset, r)
	for subject, p := range c.pending {
		if p.record.ID == r.ID {
			delete(c.pending, subject)
		}
	}
	if verdict == state.Accepted {
		return nil
	}
	return []Effect{Log{Message: "record not accepted", Detail: r.ID + " " + verdict.String()}}
}

// propose appends body about subject, unless an earlier record about it is
// still on its way; that one is sent again under its own ID after a time.
func (c *Core) propose(subject string, body record.Body, now time.Time) []Effect {
	if p, ok := c.pending[subject]; ok {
		if now.Sub(p.sent) < appendRetry {
			return nil
		}
		c.pending[subject] = pending{record: p.record, sent: now}
		return []Effect{Append{Record: p.record}}
	}
	c.sequence++
	r := record.Record{ID: fmt.Sprintf("%s/%d", c.self, c.sequence), Writer: c.self, Body: body}
	c.pending[subject] = pending{record: r, sent: now}
	return []Effect{Append{Record: r}}
}

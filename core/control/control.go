// Package control decides what one instance does: a deterministic step from an
// event and the time to effects. It does no I/O, reads no clock, and draws no
// random numbers; one goroutine runs it.
package control

import (
	"fmt"
	"time"

	"bronzewind.example/core/backend"
	"bronzewind.example/core/keyspace"
	"bronzewind.example/core/platform"
	"bronzewind.example/core/record"
	"bronzewind.example/core/route"
	"bronzewind.example/core/state"
)

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
		CaughtUp bool   // the log has no more at present
		Oldest   uint64 // offset of the oldest record still kept
	}

	// LogTruncated tells that the log no longer keeps the offset asked for.
	LogTruncated struct{ Oldest uint64 }

	// SnapshotReceived brings the encoded state of another instance.
	SnapshotReceived struct{ Data []byte }

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

	// SlotsDrained says that no request of these held slots and keys runs any
	// more; of the others held some still do.
	SlotsDrained struct {
		Service, Server string
		Hold            uint64 // of the HoldSlots
		Ranges          []record.SlotRange
		Keys            []keyspace.Hash
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

	// LeaveRequested starts a graceful leave: the roles are handed over.
	LeaveRequested struct{}

	// TrafficStopped says, after LeaveRequested, that the instance serves no
	// request any more, so that its membership can end.
	TrafficStopped struct{}

	// ReadLog asks for the log to be read from an offset on.
	ReadLog struct{ From uint64 }

	// Append asks for a record in the log; reading it back ends the wait.
	Append struct{ Record record.Record }

	// SendGrant asks for a grant to be sent to a backend server.
	SendGrant struct {
		Address string
		Grant   backend.Grant
		Checks  bool // the server checks grants; one that doesn't is only asked whether it answers
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
		Keys            []keyspace.Hash // hot keys that are granted by themselves
		Except          []keyspace.Hash // hot keys that are not granted with their slots
		HeldKeys        []keyspace.Hash
	}

	// HoldSlots stops new work of slots and hot keys that move away;
	// SlotsDrained answers.
	HoldSlots struct {
		Service, Server string
		Hold            uint64 // grows with each hold of an instance
		Ranges          []record.SlotRange
		Keys            []keyspace.Hash
	}

	// SendMessage asks for a control message to another instance; it may be
	// lost, late or doubled.
	SendMessage struct {
		To      record.Writer
		Message Message
	}

	// RunEnded says that the membership of this run has ended; the core does
	// nothing any more. A new run needs a core and an incarnation of its own.
	RunEnded struct{}

	// Log asks for a log line.
	Log struct {
		Message string
		Detail  string
	}

	// Core is the control state of one instance.
	Core struct {
		self             record.Writer
		joined           record.InstanceJoined
		log              *state.Follower
		state            *state.State // of log
		caughtUp         bool
		listed           []platform.Listed
		listVersion      uint64                   // number of changes of listed
		missingSince     map[serverKey]time.Time  // since when the list names them no longer
		pending          map[string]pendingRecord // by subject; at most one record each
		grants           map[serverKey]*grantState
		stallChecks      map[string]stallCheck // by service
		own              ownServersCache
		recovery         logRecovery
		loads            map[serverKey]measuredLoad
		plans            map[string]*planState // by service, while the instance coordinates it
		claimableSince   map[string]time.Time  // by service, since when it has no coordinator
		lastLogRead      time.Time             // of the last answer of the log
		oldestOffset     uint64                // offset of the oldest record that the log still keeps
		checkpoint       checkpointState
		lastRecordNumber uint64
		lastPauseID      uint64

		firstStep        time.Time     // of the first step
		lastStep         time.Time     // the last step
		longestLease     time.Duration // of all configurations folded
		admitted         bool          // the run has been a member
		ended            bool          // the run's membership ended
		lease            leaseState
		witness          witnessState
		witnessesChecked time.Time // when witnesses were last looked over
		leavePhase       leavePhase
	}

	serverKey struct{ service, server string }

	// ownServersCache are the backend servers that the instance dispatches to, as
	// of an offset of the fold.
	ownServersCache struct {
		valid  bool
		offset uint64
		keys   []serverKey // in order
	}

	// pendingRecord is a record whose fate is not known yet.
	pendingRecord struct {
		record      record.Record
		attempts    int
		firstAppend time.Time // first append
		nextAppend  time.Time // when it is appended again
	}
)

func (RecordsRead) event()      {}
func (LogTruncated) event()     {}
func (SnapshotReceived) event() {}
func (ServersListed) event()    {}
func (GrantAnswered) event()    {}
func (SlotsDrained) event()     {}
func (MessageReceived) event()  {}
func (Ticked) event()           {}
func (CrashFound) event()       {}
func (LeaveRequested) event()   {}
func (TrafficStopped) event()   {}

func (ReadLog) effect()     {}
func (Append) effect()      {}
func (SendGrant) effect()   {}
func (SetTable) effect()    {}
func (Authorize) effect()   {}
func (HoldSlots) effect()   {}
func (SendMessage) effect() {}
func (RunEnded) effect()    {}
func (Log) effect()         {}

// NewCore returns the control state of the instance self before any event.
func NewCore(self record.Writer, joined record.InstanceJoined) *Core {
	log := state.NewFollower()
	return &Core{
		self:           self,
		joined:         joined,
		log:            log,
		state:          log.State,
		pending:        map[string]pendingRecord{},
		grants:         map[serverKey]*grantState{},
		stallChecks:    map[string]stallCheck{},
		missingSince:   map[serverKey]time.Time{},
		loads:          map[serverKey]measuredLoad{},
		plans:          map[string]*planState{},
		claimableSince: map[string]time.Time{},

		lease:   newLeaseState(),
		witness: newWitnessState(),
	}
}

// NextRun returns the core of a new run of the instance, which joins again
// after RunEnded. It keeps what was folded and listed.
func (c *Core) NextRun(incarnation uint64) *Core {
	next := NewCore(record.Writer{Instance: c.self.Instance, Incarnation: incarnation}, c.joined)
	next.log, next.state, next.caughtUp, next.oldestOffset = c.log, c.state, c.caughtUp, c.oldestOffset
	next.listed, next.loads = c.listed, c.loads
	next.lastLogRead, next.longestLease = c.lastLogRead, c.longestLease
	return next
}

// Step takes one event and returns what is to be done, in order.
func (c *Core) Step(e Event, now time.Time) []Effect {
	if c.ended {
		return nil
	}
	c.noteStep(now)
	var out []Effect
	switch e := e.(type) {
	case RecordsRead:
		out = c.recordsRead(e, now)
	case LogTruncated:
		out = c.logTruncated(e)
	case SnapshotReceived:
		out = c.snapshotReceived(e, now)
	case ServersListed:
		c.serversListed(e, now)
	case GrantAnswered:
		out = c.grantAnswered(e, now)
	case SlotsDrained:
		out = c.slotsDrained(e, now)
	case LoadMeasured:
		out = c.loadMeasured(e, now)
	case CrashFound:
		out = c.propose(fmt.Sprintf("quarantine/%s/%d", e.Quarantine.Service, e.Quarantine.Fingerprint), e.Quarantine, now)
	case MessageReceived:
		out = c.messageReceived(e, now)
	case LeaveRequested:
		c.leavePhase = handingOver
	case TrafficStopped:
		c.leavePhase = trafficStopped
	case Ticked:
	}
	if c.admitted && !c.state.IsMember(c.self) {
		c.ended = true
		return append(out, RunEnded{})
	}
	return append(out, c.decide(now)...)
}

// noteStep takes note of the time and of a gap since the last step, in which the
// instance may have been paused.
func (c *Core) noteStep(now time.Time) {
	if c.firstStep.IsZero() {
		c.firstStep, c.lastStep = now, now
	}
	if now.Sub(c.lastStep) > c.longestLease/2 {
		c.extendWatchedLeases(now)
	}
	c.lastStep = now
}

// Self returns the run that the core decides for.
func (c *Core) Self() record.Writer { return c.self }

// State returns the fold for queries; it is not to be changed.
func (c *Core) State() *state.State { return c.state }

// Ready reports whether the instance may serve traffic.
func (c *Core) Ready() bool {
	return c.caughtUp && c.state.Unknown == 0 && c.state.Configuration != nil && c.state.IsMember(c.self)
}

// decide returns what follows from the state as it is now.
func (c *Core) decide(now time.Time) []Effect {
	if !c.caughtUp || c.state.Unknown > 0 {
		return nil
	}
	out := c.decideMembership(now)
	if c.state.Configuration == nil || !c.state.IsMember(c.self) {
		return out
	}
	out = append(out, c.decideLease(now)...)
	out = append(out, c.decideLosses(now)...)
	out = append(out, c.decideLogRecovery(now)...)
	if c.log.Whole() {
		out = append(out, c.decideWitnesses(now)...)
		out = append(out, c.decideLeave(now)...)
		out = append(out, c.decideServices(now)...)
		out = append(out, c.decideCheckpoint(now)...)
	}
	if !c.holdsLease(now) {
		return out
	}
	return append(out, c.decideGrants(now)...)
}

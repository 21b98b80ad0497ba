// Package control decides what one instance does: a deterministic step function
// from an event and the current time to effects. It does no I/O, reads no clock
// and draws no random numbers. It is not safe for concurrent use; one goroutine
// calls it.
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
	// Event is an input of Core.Step. The set of events is sealed.
	//
	//sumtype:decl
	Event interface{ event() }

	// Effect is an action that Core.Step asks the instance to carry out. The
	// set of effects is sealed.
	//
	//sumtype:decl
	Effect interface{ effect() }

	// RecordsRead delivers entries of the log; Entries[i] has offset First+i.
	RecordsRead struct {
		First    uint64
		Entries  [][]byte
		CaughtUp bool   // the log has no further entries at present
		Oldest   uint64 // offset of the oldest record that the log still keeps
	}

	// LogTruncated reports that the log no longer keeps the requested offset.
	LogTruncated struct{ Oldest uint64 }

	// SnapshotReceived delivers the encoded state of another instance.
	SnapshotReceived struct{ Data []byte }

	// ServersListed delivers the platform's list of backend servers.
	ServersListed struct{ Rows []platform.Listed }

	// GrantCompleted delivers the response to a SendGrant. Err is empty if a
	// response arrived.
	GrantCompleted struct {
		Service, Server string
		Epoch           uint64
		Sent            time.Time
		Grant           backend.Grant
		Response        backend.GrantAnswer
		Err             string
	}

	// SlotsDrained reports slots and keys of a PauseSlots that no longer have
	// requests in flight. Reports for one PauseSlots accumulate; slots and keys
	// that are not reported yet may have requests in flight.
	SlotsDrained struct {
		Service, Server string
		PauseID         uint64 // number of the PauseSlots
		Ranges          []record.SlotRange
		Keys            []keyspace.Hash
	}

	// QuarantineRequested requests the quarantine of a request that crashed backend
	// servers.
	QuarantineRequested struct{ Quarantine record.Quarantined }

	// MessageReceived delivers a control message from another instance.
	MessageReceived struct {
		From    record.Writer
		Message Message
	}

	// Ticked reports that time has passed.
	Ticked struct{}

	// LeaveRequested starts a graceful leave: the instance hands its roles
	// over.
	LeaveRequested struct{}

	// TrafficStopped reports, after LeaveRequested, that the instance serves no
	// requests and has none in flight, so that its membership can end.
	TrafficStopped struct{}

	// ReadLog requests the entries of the log from offset From on.
	ReadLog struct{ From uint64 }

	// Append requests that a record be appended to the log. The record stays
	// pending until it is read back or dropped as obsolete.
	Append struct{ Record record.Record }

	// SendGrant requests that a grant be sent to a backend server.
	SendGrant struct {
		Address      string
		Grant        backend.Grant
		ChecksGrants bool // the server checks grants; if false, Grant has no slots or keys and only tests whether the server responds
	}

	// SetTable replaces the routing table that serves requests.
	SetTable struct{ Table *route.Table }

	// Authorize allows the local dispatcher to send requests for the granted
	// slots and keys, except the paused ones, until the given time.
	Authorize struct {
		Service, Server string
		Epoch           uint64
		Incarnation     uint64 // of the backend server
		Until           time.Time
		Granted         []record.SlotRange
		PausedSlots     []record.SlotRange
		Keys            []keyspace.Hash // hot keys that are granted individually
		Except          []keyspace.Hash // hot keys of the granted slots that are not granted
		PausedKeys      []keyspace.Hash
	}

	// PauseSlots pauses new requests for slots and hot keys that are being moved
	// away. SlotsDrained reports when the requests in flight have ended.
	PauseSlots struct {
		Service, Server string
		PauseID         uint64 // number of the pause; grows with each pause of an instance
		Ranges          []record.SlotRange
		Keys            []keyspace.Hash
	}

	// SendMessage requests that a control message be sent to another instance.
	// The message may be lost, delayed or duplicated.
	SendMessage struct {
		To      record.Writer
		Message Message
	}

	// MembershipEnded reports that the membership of this incarnation has ended. The
	// core does nothing afterwards; to join again, the instance needs a new
	// core with a new incarnation.
	MembershipEnded struct{}

	// Log requests a log line.
	Log struct {
		Message string
		Detail  string
	}

	// Core is the control state of one instance.
	Core struct {
		self              record.Writer
		joined            record.InstanceJoined
		log               *state.Follower
		state             *state.State // log.State
		caughtUp          bool
		listed            []platform.Listed
		listVersion       uint64                   // number of changes of listed
		missingSince      map[serverKey]time.Time  // known servers that the platform's list omits, and since when
		pending           map[string]pendingRecord // by subject, which identifies what a record is about; at most one record of each subject is pending
		grants            map[serverKey]*grantState
		dispatcherChecks  map[string]dispatcherCheck // by service
		dispatched        dispatchedServersCache
		recovery          logRecovery
		loads             map[serverKey]measuredLoad
		plans             map[string]*planState // by service, while the instance coordinates it
		claimableSince    map[string]time.Time  // by service, since when it has needed a new coordinator
		lastRecordsReadAt time.Time             // when RecordsRead was last received
		oldestOffset      uint64                // of the oldest record that the log still keeps
		checkpoint        checkpointState
		lastRecordNumber  uint64
		lastPauseID       uint64

		firstStep          time.Time
		lastStep           time.Time
		longestLease       time.Duration // of all configurations applied
		admitted           bool          // this incarnation has been a member
		ended              bool          // the membership of this incarnation has ended
		lease              leaseState
		witness            witnessState
		witnessesCheckedAt time.Time // when all members' witnesses were last checked
		leavePhase         leavePhase
	}

	serverKey struct{ service, server string }

	// dispatchedServersCache holds the backend servers that the instance
	// dispatches to, as of the state whose next log offset was offset.
	dispatchedServersCache struct {
		valid  bool
		offset uint64
		keys   []serverKey // in order
	}

	// pendingRecord is a record that was appended and has not been read back
	// yet.
	pendingRecord struct {
		record      record.Record
		retries     int
		firstAppend time.Time
		nextAppend  time.Time // when the record is appended again if it has not been read back
	}
)

func (RecordsRead) event()         {}
func (LogTruncated) event()        {}
func (SnapshotReceived) event()    {}
func (ServersListed) event()       {}
func (GrantCompleted) event()      {}
func (SlotsDrained) event()        {}
func (MessageReceived) event()     {}
func (Ticked) event()              {}
func (QuarantineRequested) event() {}
func (LeaveRequested) event()      {}
func (TrafficStopped) event()      {}

func (ReadLog) effect()         {}
func (Append) effect()          {}
func (SendGrant) effect()       {}
func (SetTable) effect()        {}
func (Authorize) effect()       {}
func (PauseSlots) effect()      {}
func (SendMessage) effect()     {}
func (MembershipEnded) effect() {}
func (Log) effect()             {}

// NewCore returns the control state of the instance incarnation self before any
// event.
func NewCore(self record.Writer, joined record.InstanceJoined) *Core {
	log := state.NewFollower()
	return &Core{
		self:             self,
		joined:           joined,
		log:              log,
		state:            log.State,
		pending:          map[string]pendingRecord{},
		grants:           map[serverKey]*grantState{},
		dispatcherChecks: map[string]dispatcherCheck{},
		missingSince:     map[serverKey]time.Time{},
		loads:            map[serverKey]measuredLoad{},
		plans:            map[string]*planState{},
		claimableSince:   map[string]time.Time{},

		lease:   newLeaseState(),
		witness: newWitnessState(),
	}
}

// NextIncarnation returns the core of a new incarnation of the instance, which joins
// again after MembershipEnded. It keeps the applied state, the platform's list and the
// measured loads.
func (c *Core) NextIncarnation(incarnation uint64) *Core {
	next := NewCore(record.Writer{Instance: c.self.Instance, Incarnation: incarnation}, c.joined)
	next.log, next.state, next.caughtUp, next.oldestOffset = c.log, c.state, c.caughtUp, c.oldestOffset
	next.listed, next.loads = c.listed, c.loads
	next.lastRecordsReadAt, next.longestLease = c.lastRecordsReadAt, c.longestLease
	return next
}

// Step handles one event and returns the resulting effects in the order in
// which they must be carried out.
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
	case GrantCompleted:
		out = c.grantCompleted(e, now)
	case SlotsDrained:
		out = c.slotsDrained(e, now)
	case LoadMeasured:
		out = c.loadMeasured(e, now)
	case QuarantineRequested:
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
		return append(out, MembershipEnded{})
	}
	return append(out, c.decide(now)...)
}

// noteStep records the time of the step. If more than half of the longest lease
// duration has passed since the previous step, the process may have been
// suspended and have missed heartbeats, so it extends the leases that it
// watches.
func (c *Core) noteStep(now time.Time) {
	if c.firstStep.IsZero() {
		c.firstStep, c.lastStep = now, now
	}
	if now.Sub(c.lastStep) > c.longestLease/2 {
		c.extendWatchedLeases(now)
	}
	c.lastStep = now
}

// Self returns the instance incarnation that the core decides for.
func (c *Core) Self() record.Writer { return c.self }

// State returns the applied state for queries; it must not be modified.
func (c *Core) State() *state.State { return c.state }

// Ready reports whether the instance may serve traffic.
func (c *Core) Ready() bool {
	return c.caughtUp && c.state.Unknown == 0 && c.state.Configuration != nil && c.state.IsMember(c.self)
}

// decide returns the effects that follow from the present state.
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

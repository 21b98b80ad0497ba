package ownership

import "time"

type (
	// Event is an input of a Granter. The set of events is sealed.
	//
	//sumtype:decl
	Event interface{ event() }

	// Effect is an action that a Granter asks its caller to carry out. The set of
	// effects is sealed.
	//
	//sumtype:decl
	Effect interface{ effect() }

	// PartitionMapRead carries a partition map that was read from the store. Any granter may
	// have written it.
	PartitionMapRead struct{ Map PartitionMap }

	// EpochClaimed reports that a granter has claimed Epoch. Prior is the highest epoch
	// known to the claiming granter; it is 0 if there was none, or if the event does
	// not carry it. Before an event with Prior, the caller has passed all partition
	// maps written before the claim; before one without Prior it need not have.
	EpochClaimed struct {
		Epoch, Prior uint64
		// PriorSendWindow is an upper bound, by the claiming granter, on how long after its
		// claim granters of epochs below Prior may send.
		PriorSendWindow time.Duration
		// Own means that this granter claimed Epoch, has claimed no other epoch since and
		// is still assigned the granter role. Otherwise this granter does not grant under
		// Epoch.
		Own bool
		// Loaded means that the claim was read as the newest one, without those before it.
		Loaded      bool
		ClaimSentAt time.Time // when this granter sent the claim; meaningful only if Own
	}

	// Resigned reports that the granter of Epoch has stopped. Its grants in flight have
	// ended or were cancelled, unless its instance started another epoch before the
	// resignation; a release may still be in flight. A grant that it sent may still be
	// in force, or be carried out late, until Granter.maxGrantLifetime after the
	// resignation.
	Resigned struct {
		Epoch uint64
		// SinceLastUnanswered is how long ago that granter sent its last unanswered grant: 0 if
		// not known, and the largest Duration if it sent none. It is stored and
		// broadcast with the resignation for diagnosis only: no code acts on it, and it
		// shortens no wait.
		SinceLastUnanswered time.Duration
	}

	// Stopped makes this granter give up its epoch.
	Stopped struct{}

	// EpochConfirmed reports that no epoch was above this granter's at the time when the
	// request to the store was sent. Era is the store's era in its response; an epoch of
	// another era is not confirmed.
	EpochConfirmed struct {
		SentAt time.Time
		Era    uint64
	}

	// StoreRestored reports that the store has come back from an older copy. Era counts how
	// often it has.
	StoreRestored struct{ Era uint64 }

	// ServersListed carries all backend servers of a service whose keys have
	// exclusive owners.
	ServersListed struct {
		Service string
		Servers []Server
	}

	// DemandMeasured carries the demand for the keys of a service and the speed of
	// its servers.
	DemandMeasured struct {
		Service         string
		Demand          Demand
		MeanServiceTime time.Duration      // mean time that a request takes in a slot; 0 if not known
		Slowness        map[string]float64 // by server ID: service time there relative to the mean of all servers; above 0
		RateLimits      map[string]float64 // by server ID: requests a second that a server with a stated limit takes; above 0
	}

	// PartitionMapWritten reports the outcome of the WritePartitionMap of a map with this
	// epoch and version. Failed means that
	// the last attempt was refused or fenced and will not be carried out. If it was
	// fenced, an earlier attempt without a response may have been carried out.
	PartitionMapWritten struct {
		Service string
		Epoch   uint64
		Version uint64
		Failed  bool
	}

	// GrantCompleted reports the outcome of a SendGrant.
	GrantCompleted struct {
		Grant  SendGrant
		SentAt time.Time // time just before the attempt to send; set also if Result is Unsent
		// WrittenAt is a time just before the grant was written to its connection; zero if it
		// was not.
		WrittenAt time.Time
		Result    Result
	}

	// ReleaseCompleted reports the outcome of a SendRelease. Handover is the opaque
	// text that the server returned for the next owner, if any.
	ReleaseCompleted struct {
		Release  SendRelease
		Result   Result
		Handover string
	}

	// Ticked is sent at regular intervals. The granter plans and renews only at ticks.
	Ticked struct{}

	// WritePartitionMap asks for a partition map to be written under its Epoch, which
	// this granter holds.
	WritePartitionMap struct{ Map PartitionMap }

	// SendGrant asks for a range to be granted to Server, or for its grant to be
	// renewed.
	SendGrant struct {
		Service  string
		Server   Server
		Range    Range
		Fence    uint64
		TTL      time.Duration // time to live of the grant, from its arrival
		Handover string        // handover text of the earlier holder whose release was confirmed last; "" if there is none
		Deadline time.Time     // the grant must arrive by then or never
		// ConnectedBy, unless zero, restricts the grant to connections that were opened by
		// then (see fenceUse.connectedBy).
		ConnectedBy time.Time
	}

	// SendRelease asks Server to release a range.
	SendRelease struct {
		Service string
		Server  Server
		Range   Range
		Fence   uint64  // under which Server was granted the range
		Move    MoveKey // move for which the range is released; its fence is the new owner's
	}

	// Granted asks the caller to notify the instances that the owner of a moving
	// partition has accepted its grant. The partition map that records this is
	// written later.
	Granted struct {
		Service string
		Range   Range
		Fence   uint64
	}

	// LogOwnershipChange asks for a log line about a partition whose ownership has
	// changed.
	LogOwnershipChange struct {
		Service string
		Change  string // "assigned", "moving" or "granted"; part of the log event's name
		Range   Range
		Owner   Incarnation
		Fence   uint64
		Wait    time.Duration // Partition.WaitMillis of a partition that starts to move; otherwise 0
	}

	// Result is the outcome of a grant or a release, as observed by the granter that
	// sent it.
	Result int
)

const (
	// Done means that the server carried out the call.
	Done Result = iota
	// Refused means that the server rejected the call, normally because it has seen a
	// higher fence.
	Refused
	// Unsent means that the call provably never reached the server.
	Unsent
	// Unanswered means that the server may have received the call.
	Unanswered
	// Misdirected means that the call was not carried out because another server is at
	// the address, so the incarnation that was meant has ended.
	Misdirected
	// NoConnection means that nothing was sent because no connection was left that the
	// grant may use (see SendGrant.ConnectedBy).
	NoConnection
)

func (PartitionMapRead) event()    {}
func (EpochClaimed) event()        {}
func (Resigned) event()            {}
func (Stopped) event()             {}
func (EpochConfirmed) event()      {}
func (StoreRestored) event()       {}
func (ServersListed) event()       {}
func (DemandMeasured) event()      {}
func (PartitionMapWritten) event() {}
func (GrantCompleted) event()      {}
func (ReleaseCompleted) event()    {}
func (Ticked) event()              {}

func (WritePartitionMap) effect()  {}
func (SendGrant) effect()          {}
func (SendRelease) effect()        {}
func (Granted) effect()            {}
func (LogOwnershipChange) effect() {}

// String returns the name of the result used in logs.
func (r Result) String() string {
	switch r {
	case Done:
		return "done"
	case Refused:
		return "refused"
	case Unsent:
		return "unsent"
	case Misdirected:
		return "misdirected"
	case NoConnection:
		return "no-connection"
	default:
		return "unanswered"
	}
}

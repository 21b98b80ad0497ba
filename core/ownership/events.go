package ownership

import "time"

type (
	// Event is what happened. The set of events is sealed.
	//
	//sumtype:decl
	Event interface{ event() }

	// Effect is what is to be done. The set of effects is sealed.
	//
	//sumtype:decl
	Effect interface{ effect() }

	// BookRead brings a book that some granter wrote.
	BookRead struct{ Book Book }

	// EpochSeen says that a granter has claimed an epoch, and which one was the
	// highest before; 0 when there was none or it isn't known. All books written
	// before were read.
	EpochSeen struct {
		Epoch, Prior uint64
		// Quiet is for how long after the claim granters of epochs below Prior may
		// have gone on sending, as the claimant knew.
		Quiet time.Duration
		Own   bool      // this granter claimed it
		Sent  time.Time // when it sent the claim; only of an own one
	}

	// Resigned says that the granter of an epoch has stopped: nothing that it
	// sent is on its way. What it sent may still be in force, or carried out
	// late, for as long as a grant holds.
	Resigned struct {
		Epoch uint64
		// Unanswered is how long ago it sent the last grant that was not answered.
		// It is told for the logs, and shortens no wait.
		Unanswered time.Duration
	}

	// Stopped says that this granter grants no more.
	Stopped struct{}

	// Confirmed says that no epoch was above this granter's at the time Sent.
	Confirmed struct{ Sent time.Time }

	// ServersListed brings all backend servers of a service that has exclusive
	// owners.
	ServersListed struct {
		Service string
		Servers []Server
	}

	// DemandMeasured brings the demand for the keys of a service, and what its
	// servers can do.
	DemandMeasured struct {
		Service  string
		Demand   Demand
		Work     time.Duration      // in a slot that a request takes on average; 0 when not known
		Slowness map[string]float64 // by ID: time that work takes there against the average; above 0
	}

	// BookWritten tells how a WriteBook ended. One that failed was surely not
	// written and never will be.
	BookWritten struct {
		Service string
		Version uint64
		Failed  bool
	}

	// GrantAnswered tells how a SendGrant ended.
	GrantAnswered struct {
		Grant  SendGrant
		Sent   time.Time
		Result Result
	}

	// ReleaseAnswered tells how a SendRelease ended.
	ReleaseAnswered struct {
		Release  SendRelease
		Result   Result
		Handover string
	}

	// Ticked lets time pass.
	Ticked struct{}

	// WriteBook asks for a book to be written under its epoch.
	WriteBook struct{ Book Book }

	// SendGrant asks for a range to be granted, or for its grant to be renewed.
	SendGrant struct {
		Service  string
		Server   Server
		Range    Range
		Fence    uint64
		Hold     time.Duration
		Handover string    // of the last holder; "" when there is none
		Until    time.Time // it arrives by then or never
	}

	// SendRelease asks for a range to be taken back.
	SendRelease struct {
		Service string
		Server  Server
		Range   Range
		Fence   uint64
		Move    MoveKey // that the release is for
	}

	// Granted says that the owner of a row has taken its grant, ahead of the book
	// that will say so.
	Granted struct {
		Service string
		Range   Range
		Fence   uint64
	}

	// Decided asks for a log line on a change of what the granter believes.
	Decided struct {
		Service string
		What    string
		Range   Range
		Life    Life
		Fence   uint64
		Wait    time.Duration
	}

	// Result is what is known of a grant or a release that was sent.
	Result int
)

const (
	// Done means that the server did as asked.
	Done Result = iota
	// Refused means that the server has seen a higher fence.
	Refused
	// Unsent means that nothing reached the server.
	Unsent
	// Unanswered means that the server may have taken the call.
	Unanswered
)

func (BookRead) event()        {}
func (EpochSeen) event()       {}
func (Resigned) event()        {}
func (Stopped) event()         {}
func (Confirmed) event()       {}
func (ServersListed) event()   {}
func (DemandMeasured) event()  {}
func (BookWritten) event()     {}
func (GrantAnswered) event()   {}
func (ReleaseAnswered) event() {}
func (Ticked) event()          {}

func (WriteBook) effect()   {}
func (SendGrant) effect()   {}
func (SendRelease) effect() {}
func (Granted) effect()     {}
func (Decided) effect()     {}

// String names a result as logs do.
func (r Result) String() string {
	switch r {
	case Done:
		return "done"
	case Refused:
		return "refused"
	case Unsent:
		return "unsent"
	default:
		return "unanswered"
	}
}

package record

type (
	// LeaseRenewed renews the writer's lease, which counts from the making of
	// the record. Losses that build on earlier renewals are void after it.
	LeaseRenewed struct{}

	// WitnessRow names the witnesses of one member; void unless Base is the
	// member's lease version.
	WitnessRow struct {
		Member    Writer   `cbor:"1,keyasint"`
		Base      uint64   `cbor:"2,keyasint"`
		Witnesses []Writer `cbor:"3,keyasint"`           // none makes the member renew through the log
		Refused   []Writer `cbor:"4,keyasint,omitempty"` // earlier witnesses that voted the member lost
	}

	// WitnessesNamed replaces witnesses that are members no longer, or that
	// refused. Void rows are passed over.
	WitnessesNamed struct {
		Rows []WitnessRow `cbor:"1,keyasint"`
	}

	// InstanceLeaving says that the writer is about to leave: its roles are to
	// be handed over and it gets no new ones.
	InstanceLeaving struct{}

	// DispatcherReleased ends the writer's role as dispatcher of a backend
	// server in favour of the row's Next; the writer sends no more work to it.
	DispatcherReleased struct {
		Service string `cbor:"1,keyasint"`
		Server  string `cbor:"2,keyasint"`
		Epoch   uint64 `cbor:"3,keyasint"`
	}
)

const (
	kindLeaseRenewed uint = iota + 40
	kindWitnessesNamed
	kindInstanceLeaving
	kindDispatcherReleased
)

func (LeaseRenewed) kind() uint       { return kindLeaseRenewed }
func (WitnessesNamed) kind() uint     { return kindWitnessesNamed }
func (InstanceLeaving) kind() uint    { return kindInstanceLeaving }
func (DispatcherReleased) kind() uint { return kindDispatcherReleased }

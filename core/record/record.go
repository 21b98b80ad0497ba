// Package record is the format of the records that the system keeps in the
// platform's append-only log.
package record

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"bronzewind.example/core/keyspace"
)

type (
	// Writer is one run of an instance: a restart is a new writer.
	Writer struct {
		Instance    string `cbor:"1,keyasint"`
		Incarnation uint64 `cbor:"2,keyasint"` // differs between runs of an instance
	}

	// Record is one entry of the log.
	Record struct {
		ID     string // unique for each intended change; a repeat has the same ID
		Writer Writer
		Since  uint64 // offset up to which the writer had read when it made the record
		Body   Body
	}

	// Body is what a record says. The set of bodies is sealed.
	//
	//sumtype:decl
	Body interface{ kind() uint }

	// ConfigurationPublished replaces the configuration; void unless Base is
	// the version in force.
	ConfigurationPublished struct {
		Base     uint64 `cbor:"1,keyasint"`
		Document []byte `cbor:"2,keyasint"` // YAML of version Base+1
		Author   string `cbor:"3,keyasint"`
	}

	// InstanceJoined makes the writer a member of the fleet.
	InstanceJoined struct {
		Region        string `cbor:"1,keyasint"`
		FailureDomain string `cbor:"2,keyasint"`
		Control       string `cbor:"3,keyasint"` // UDP address of control traffic
		Forward       string `cbor:"4,keyasint"` // QUIC address of forwarded requests
		Admin         string `cbor:"5,keyasint"` // HTTP address of probes and metrics
		Fingerprint   []byte `cbor:"6,keyasint"` // SHA-256 of the instance's certificate
		ControlKey    []byte `cbor:"7,keyasint"` // X25519 public key of control traffic
	}

	// InstanceLeft ends the writer's membership at its own wish; it holds
	// nothing any more.
	InstanceLeft struct{}

	// InstanceLost ends the membership of another instance whose lease lapsed
	// for good; void unless Base is the member's lease version.
	InstanceLost struct {
		Member Writer `cbor:"1,keyasint"`
		Base   uint64 `cbor:"2,keyasint"`
	}

	// CoordinatorClaimed makes the writer coordinator; void unless Term
	// follows the service's current term.
	CoordinatorClaimed struct {
		Service string `cbor:"1,keyasint"`
		Term    uint64 `cbor:"2,keyasint"`
	}

	// ServerRow places one backend server under a dispatcher.
	ServerRow struct {
		Name          string `cbor:"1,keyasint"`
		Address       string `cbor:"2,keyasint"`
		Region        string `cbor:"3,keyasint"`
		FailureDomain string `cbor:"4,keyasint"`
		Dispatcher    Writer `cbor:"5,keyasint"`
		Leaving       bool   `cbor:"6,keyasint"`
		Next          Writer `cbor:"8,keyasint"`           // takes over once Dispatcher releases the role
		Capacity      int    `cbor:"7,keyasint,omitempty"` // requests run at once; 0 means the service's server-slots
	}

	// ServerReported says whether a backend server answers its dispatcher, who
	// alone may write it. Up false frees all its slots: the writer vouches that
	// every grant has lapsed.
	ServerReported struct {
		Service     string `cbor:"1,keyasint"`
		Server      string `cbor:"2,keyasint"`
		Epoch       uint64 `cbor:"3,keyasint"` // of the writer's dispatcher role
		Up          bool   `cbor:"4,keyasint"`
		Incarnation uint64 `cbor:"5,keyasint"`           // run of the backend server
		Leaving     bool   `cbor:"6,keyasint,omitempty"` // it says that it is to be emptied
	}

	// ServersPlaced adds or changes backend servers and their dispatchers, and
	// removes those that own nothing; void unless Term is current and Base is
	// the service's version.
	ServersPlaced struct {
		Service string      `cbor:"1,keyasint"`
		Term    uint64      `cbor:"2,keyasint"`
		Base    uint64      `cbor:"3,keyasint"`
		Servers []ServerRow `cbor:"4,keyasint"`
		Removed []string    `cbor:"5,keyasint,omitempty"`
	}

	// KeyRow is one hot key, which has a row of its own.
	KeyRow struct {
		Hash   keyspace.Hash `cbor:"1,keyasint"`
		Server string        `cbor:"2,keyasint"`
	}

	// Quarantined stops a request that crashed backend servers.
	Quarantined struct {
		Service     string `cbor:"1,keyasint"`
		Fingerprint uint64 `cbor:"2,keyasint"` // of method, target and small body
		UntilMillis int64  `cbor:"3,keyasint"` // Unix time; then the request may run again
	}

	// QuarantineReleased ends a quarantine early, at an operator's wish.
	QuarantineReleased struct {
		Service     string `cbor:"1,keyasint"`
		Fingerprint uint64 `cbor:"2,keyasint"`
	}

	// SlotRange is slots First to Last, both included.
	SlotRange struct {
		First  keyspace.Slot `cbor:"1,keyasint"`
		Last   keyspace.Slot `cbor:"2,keyasint"`
		Server string        `cbor:"3,keyasint"`
	}

	// SlotsAssigned gives free slots to backend servers, and names the next
	// owner of owned ones, which then move; void unless Term is current and
	// Base is the service's version. A key without a row gets one, owned by
	// the owner of its slot; a row of no server ends, and the key is owned with
	// its slot again.
	SlotsAssigned struct {
		Service string      `cbor:"1,keyasint"`
		Term    uint64      `cbor:"2,keyasint"`
		Base    uint64      `cbor:"3,keyasint"`
		Ranges  []SlotRange `cbor:"4,keyasint"`
		Keys    []KeyRow    `cbor:"5,keyasint,omitempty"`
	}

	// SlotsReleased says that the old grants of slots and keys have lapsed or
	// were revoked; only the dispatcher of their owner may write it. It ends no
	// ownership or move that began after version Through.
	SlotsReleased struct {
		Service string      `cbor:"1,keyasint"`
		Epoch   uint64      `cbor:"2,keyasint"` // of the writer's dispatcher role
		Ranges  []SlotRange `cbor:"3,keyasint"` // Server is the owner that released
		Through uint64      `cbor:"4,keyasint"` // version of the service that the writer had folded
		Keys    []KeyRow    `cbor:"5,keyasint,omitempty"`
	}

	// CheckpointPart is one part of the whole state as it was before the record
	// at Offset. The parts of a checkpoint are written in order by one writer.
	CheckpointPart struct {
		Offset uint64 `cbor:"1,keyasint"`
		Part   int    `cbor:"2,keyasint"` // from 0
		Parts  int    `cbor:"3,keyasint"`
		Data   []byte `cbor:"4,keyasint"`
	}
)

const (
	kindConfigurationPublished uint = iota + 1
	kindInstanceJoined
	kindInstanceLeft
	kindInstanceLost
	kindCoordinatorClaimed
	kindServersPlaced
	kindSlotsAssigned
	kindSlotsReleased
	kindServerReported

	kindCheckpointPart uint = 20

	kindQuarantined        uint = 30
	kindQuarantineReleased uint = 31
)

const (
	// sumBytes is the length of the checksum that ends each record.
	sumBytes = 8

	// firstIgnorableKind begins the kinds that change no state.
	firstIgnorableKind = 1 << 16
)

func (ConfigurationPublished) kind() uint { return kindConfigurationPublished }
func (InstanceJoined) kind() uint         { return kindInstanceJoined }
func (InstanceLeft) kind() uint           { return kindInstanceLeft }
func (InstanceLost) kind() uint           { return kindInstanceLost }
func (CoordinatorClaimed) kind() uint     { return kindCoordinatorClaimed }
func (ServersPlaced) kind() uint          { return kindServersPlaced }
func (SlotsAssigned) kind() uint          { return kindSlotsAssigned }
func (SlotsReleased) kind() uint          { return kindSlotsReleased }
func (ServerReported) kind() uint         { return kindServerReported }
func (CheckpointPart) kind() uint         { return kindCheckpointPart }

func (Quarantined) kind() uint        { return kindQuarantined }
func (QuarantineReleased) kind() uint { return kindQuarantineReleased }

// String returns instance and incarnation.
func (w Writer) String() string { return fmt.Sprintf("%s#%d", w.Instance, w.Incarnation) }

// Timely reports whether a record at offset was made at most window offsets
// before.
func (r Record) Timely(offset, window uint64) bool {
	return r.Since <= offset && offset-r.Since <= window
}

type envelope struct {
	ID     string          `cbor:"1,keyasint"`
	Writer Writer          `cbor:"2,keyasint"`
	Kind   uint            `cbor:"3,keyasint"`
	Body   cbor.RawMessage `cbor:"4,keyasint"`
	Since  uint64          `cbor:"5,keyasint"`
}

// Encode returns the bytes of r as they stand in the log.
func Encode(r Record) ([]byte, error) { return EncodeKind(r, r.Body.kind()) }

// EncodeKind encodes r under another kind, as a newer program may write it.
func EncodeKind(r Record, kind uint) ([]byte, error) {
	body, err := cbor.Marshal(r.Body)
	if err != nil {
		return nil, fmt.Errorf("record %s: %w", r.ID, err)
	}
	data, err := cbor.Marshal(envelope{ID: r.ID, Writer: r.Writer, Kind: kind, Body: body, Since: r.Since})
	if err != nil {
		return nil, fmt.Errorf("record %s: %w", r.ID, err)
	}
	return binary.BigEndian.AppendUint64(data, xxhash.Sum64(data)), nil
}

type (
	// UnknownKindError is a well-formed record of a kind that this program does
	// not know, written by a newer one.
	UnknownKindError struct {
		ID   string
		Kind uint
	}

	// DamagedError is a record that is not as its writer made it.
	DamagedError struct {
		ID    string // "" when it can't be read
		Fault string
	}
)

// Error names the record and its kind.
func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("record %s has unknown kind %d", e.ID, e.Kind)
}

// Ignorable reports whether the kind changes no state, so that a program that
// does not know it can pass over it.
func (e *UnknownKindError) Ignorable() bool { return e.Kind >= firstIgnorableKind }

// Error names the record and the fault.
func (e *DamagedError) Error() string {
	return fmt.Sprintf("record %q is damaged: %s", e.ID, e.Fault)
}

// Decode reads the bytes of a record. A damaged record gives a *DamagedError,
// one of an unknown kind an *UnknownKindError.
func Decode(data []byte) (Record, error) {
	if len(data) < sumBytes {
		return Record{}, &DamagedError{Fault: "too short"}
	}
	data, sum := data[:len(data)-sumBytes], data[len(data)-sumBytes:]
	if binary.BigEndian.Uint64(sum) != xxhash.Sum64(data) {
		return Record{}, &DamagedError{Fault: "wrong checksum"}
	}
	var e envelope
	if err := cbor.Unmarshal(data, &e); err != nil {
		return Record{}, &DamagedError{Fault: err.Error()}
	}
	r := Record{ID: e.ID, Writer: e.Writer, Since: e.Since}
	var err error
	switch e.Kind {
	case kindConfigurationPublished:
		r.Body, err = decodeBody[ConfigurationPublished](e.Body)
	case kindInstanceJoined:
		r.Body, err = decodeBody[InstanceJoined](e.Body)
	case kindInstanceLeft:
		r.Body, err = decodeBody[InstanceLeft](e.Body)
	case kindInstanceLost:
		r.Body, err = decodeBody[InstanceLost](e.Body)
	case kindCoordinatorClaimed:
		r.Body, err = decodeBody[CoordinatorClaimed](e.Body)
	case kindServersPlaced:
		r.Body, err = decodeBody[ServersPlaced](e.Body)
	case kindSlotsAssigned:
		r.Body, err = decodeBody[SlotsAssigned](e.Body)
	case kindSlotsReleased:
		r.Body, err = decodeBody[SlotsReleased](e.Body)
	case kindServerReported:
		r.Body, err = decodeBody[ServerReported](e.Body)
	case kindCheckpointPart:
		r.Body, err = decodeBody[CheckpointPart](e.Body)
	case kindQuarantined:
		r.Body, err = decodeBody[Quarantined](e.Body)
	case kindQuarantineReleased:
		r.Body, err = decodeBody[QuarantineReleased](e.Body)
	case kindLeaseRenewed:
		r.Body, err = decodeBody[LeaseRenewed](e.Body)
	case kindWitnessesNamed:
		r.Body, err = decodeBody[WitnessesNamed](e.Body)
	case kindInstanceLeaving:
		r.Body, err = decodeBody[InstanceLeaving](e.Body)
	case kindDispatcherReleased:
		r.Body, err = decodeBody[DispatcherReleased](e.Body)
	default:
		return Record{}, &UnknownKindError{ID: e.ID, Kind: e.Kind}
	}
	if err != nil {
		return Record{}, &DamagedError{ID: e.ID, Fault: err.Error()}
	}
	return r, nil
}

func decodeBody[T Body](data []byte) (Body, error) {
	var b T
	err := cbor.Unmarshal(data, &b)
	return b, err
}

// Package backend is the protocol between a dispatcher and its backend server:
// grants of slots, and the headers of a request.
package backend

import (
	"slices"

	"bronzewind.example/core/keyspace"
	"bronzewind.example/core/record"
)

const (
	// GrantPath takes a Grant by PUT and answers a GrantAnswer.
	GrantPath = "/.bronzewind/grant"
	// LoadPath answers a LoadReport.
	LoadPath = "/.bronzewind/load"

	// EpochHeader carries the epoch of the dispatcher role on each request.
	EpochHeader = "Bronzewind-Epoch"
	// SlotHeader carries the slot of the request's key.
	SlotHeader = "Bronzewind-Slot"
	// HashHeader carries the hash of the request's key in hexadecimal.
	HashHeader = "Bronzewind-Key-Hash"
	// DeadlineHeader carries the milliseconds that the backend server has left.
	DeadlineHeader = "Bronzewind-Deadline-Ms"
	// SequenceHeader carries the dispatcher's own number of the request; the
	// answer must carry the same.
	SequenceHeader = "Bronzewind-Sequence"
	// RefusedHeader marks an answer as a refusal before any work was started.
	RefusedHeader = "Bronzewind-Refused"
	// IncarnationHeader names on an answer the run of the backend server.
	IncarnationHeader = "Bronzewind-Incarnation"
	// IdempotencyHeader carries the caller's key of once-only work.
	IdempotencyHeader = "Idempotency-Key"
)

type (
	// Grant gives a backend server sole ownership of slots until a time on its
	// own clock. A grant replaces all earlier ones of the same service.
	Grant struct {
		Service     string             `json:"service"`
		Server      string             `json:"server"`
		Epoch       uint64             `json:"epoch"`             // of the dispatcher role; a lower one is refused
		Sequence    uint64             `json:"sequence"`          // grows with each grant of an epoch; a lower one is refused
		Incarnation uint64             `json:"incarnation"`       // 0 asks for the clock alone
		UntilMicros int64              `json:"until-us"`          // on the backend server's clock
		SameAs      uint64             `json:"same-as,omitempty"` // sequence of the grant of this epoch whose lists stand; 0 when they follow
		Slots       []record.SlotRange `json:"slots,omitempty"`
		Keys        []keyspace.Hash    `json:"keys,omitempty"`   // hot keys granted besides the slots
		Except      []keyspace.Hash    `json:"except,omitempty"` // hot keys not granted though their slots are
	}

	// GrantAnswer tells the backend server's run and clock.
	GrantAnswer struct {
		Accepted    bool   `json:"accepted"`
		Reason      string `json:"reason,omitempty"`
		Unlisted    bool   `json:"unlisted,omitempty"` // refused, since the lists of SameAs are not the last ones taken
		Incarnation uint64 `json:"incarnation"`        // differs between runs; never 0
		ClockMicros int64  `json:"clock-us"`           // monotonic within a run
		Epoch       uint64 `json:"epoch"`              // highest seen
		Leaving     bool   `json:"leaving"`
	}

	// LoadReport is what a backend server says of its load; it may mislead.
	LoadReport struct {
		Running int     `json:"running"`
		Queued  int     `json:"queued"`
		Busy    float64 `json:"busy"` // share of slots, 0 to 1
	}
)

// Covers reports whether the grant gives the key with hash h, which is in slot.
func (g Grant) Covers(h keyspace.Hash, slot keyspace.Slot) bool {
	if slices.Contains(g.Keys, h) {
		return true
	}
	if slices.Contains(g.Except, h) {
		return false
	}
	return slices.ContainsFunc(g.Slots, func(r record.SlotRange) bool { return r.First <= slot && slot <= r.Last })
}

// Package keyspace maps keys to slots and slots to the place that serves them.
package keyspace

import "github.com/cespare/xxhash/v2"

type (
	// Hash is the 64-bit hash of a key.
	Hash uint64

	// Slot is a part of a service's key space.
	Slot uint32
)

// NewHash returns the hash of key.
func NewHash(key string) Hash { return Hash(xxhash.Sum64String(key)) }

// Slot returns the slot of h in a key space of slots parts; slots is a power of two.
func (h Hash) Slot(slots int) Slot { return Slot(uint64(h) & uint64(slots-1)) }

// Package keyspace maps keys to slots and slots to the place that serves them.
package keyspace

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

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

// MarshalText writes h in hexadecimal.
func (h Hash) MarshalText() ([]byte, error) { return strconv.AppendUint(nil, uint64(h), 16), nil }

// UnmarshalText reads what MarshalText wrote.
func (h *Hash) UnmarshalText(text []byte) error {
	v, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil {
		return fmt.Errorf("key hash: %w", err)
	}
	*h = Hash(v)
	return nil
}

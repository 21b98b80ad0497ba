package state

import "github.com/cespare/xxhash/v2"

// repeatWindow is the number of offsets after its making in which a record may
// still be accepted. A later one is void, so that IDs need be kept no longer.
const repeatWindow = 1 << 14

type (
	// Seen holds the IDs of the records accepted in the last repeatWindow
	// offsets. The zero value is empty and ready for use.
	Seen struct {
		Entries []SeenEntry // in order of offset
		known   map[uint64]struct{}
	}

	// SeenEntry is one accepted record.
	SeenEntry struct {
		_      struct{} `cbor:",toarray"`
		ID     uint64   // hash of the record's ID
		Offset uint64
	}
)

func (s *Seen) has(id string) bool {
	_, ok := s.known[xxhash.Sum64String(id)]
	return ok
}

func (s *Seen) add(id string, offset uint64) {
	if s.known == nil {
		s.known = map[uint64]struct{}{}
	}
	e := SeenEntry{ID: xxhash.Sum64String(id), Offset: offset}
	s.known[e.ID] = struct{}{}
	s.Entries = append(s.Entries, e)
}

// forget drops what can't be repeated at offset any more.
func (s *Seen) forget(offset uint64) {
	n := 0
	for n < len(s.Entries) && s.Entries[n].Offset+repeatWindow < offset {
		delete(s.known, s.Entries[n].ID)
		n++
	}
	s.Entries = s.Entries[n:]
}

// index rebuilds what is not encoded.
func (s *Seen) index() {
	s.known = make(map[uint64]struct{}, len(s.Entries))
	for _, e := range s.Entries {
		s.known[e.ID] = struct{}{}
	}
}

package state

import (
	"errors"
	"fmt"

	"bronzewind.example/core/record"
)

type (
	// Follower keeps a state up to date with the log, whose oldest records
	// lapse. It is not safe for concurrent use.
	Follower struct {
		State *State // never nil

		loader  *Loader // nil unless records before State.Next+1 have lapsed
		cursor  uint64  // offset that the loader is to read next
		damaged uint64  // offset+1 of a damaged record that is read again; 0 for none
	}

	// Folded is what became of one entry of the log.
	Folded struct {
		Offset  uint64
		Record  record.Record // zero when Err is not nil
		Verdict Verdict
		Err     error
	}
)

// NewFollower returns a follower of the log from its first record on.
func NewFollower() *Follower { return &Follower{State: New()} }

// Next returns the offset that is to be read next.
func (f *Follower) Next() uint64 {
	if f.loader != nil {
		return f.cursor
	}
	return f.State.Next
}

// Whole reports whether the state has all records before Next. It has not
// while a checkpoint is looked for.
func (f *Follower) Whole() bool { return f.loader == nil }

// Truncated tells that oldest is the oldest record of the log. When records
// that were never read have lapsed, the state is taken from a checkpoint.
func (f *Follower) Truncated(oldest uint64) {
	if oldest <= f.Next() {
		return
	}
	f.loader, f.cursor = &Loader{}, oldest
}

// Read takes entries from offset first on; end is the offset after the newest
// record of the log. Entries after a gap are left to be read again from Next.
func (f *Follower) Read(first, end uint64, entries [][]byte) []Folded {
	if first > f.Next() {
		return nil
	}
	if f.loader != nil {
		f.load(first, end, entries)
		return nil
	}
	var out []Folded
	for i, data := range entries {
		offset := first + uint64(i)
		if offset < f.State.Next {
			continue
		}
		done, ok := f.fold(offset, data)
		if !ok {
			return out
		}
		out = append(out, done)
	}
	return out
}

// load looks for the last whole checkpoint up to the end of the log.
func (f *Follower) load(first, end uint64, entries [][]byte) {
	for i, data := range entries {
		if offset := first + uint64(i); offset == f.cursor {
			f.loader.Add(offset, data)
			f.cursor++
		}
	}
	if f.cursor < end {
		return
	}
	if s, err := f.loader.State(); err == nil {
		f.Adopt(s)
	}
}

// Adopt replaces the state by a later one, and returns false when s is not.
func (f *Follower) Adopt(s *State) bool {
	if s.Next <= f.State.Next || s.Version() < f.State.Version() {
		return false
	}
	f.State, f.loader = s, nil
	return true
}

// fold folds one entry. A record that is damaged is read once more, since the
// damage may be that of one read; false asks for that.
func (f *Follower) fold(offset uint64, data []byte) (Folded, bool) {
	r, err := record.Decode(data)
	var unknown *record.UnknownKindError
	switch {
	case err == nil:
		return Folded{Offset: offset, Record: r, Verdict: f.State.Apply(offset, r)}, true
	case errors.As(err, &unknown) && unknown.Ignorable():
		f.State.Skip(offset)
	case errors.As(err, &unknown):
		f.State.SkipUnknown(offset)
	case f.damaged != offset+1:
		f.damaged = offset + 1
		return Folded{}, false
	default:
		f.State.Skip(offset)
	}
	return Folded{Offset: offset, Verdict: Invalid, Err: fmt.Errorf("offset %d: %w", offset, err)}, true
}

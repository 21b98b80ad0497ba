package state

import (
	"errors"

	"bronzewind.example/core/record"
)

// errNoCheckpoint means that the log holds no whole checkpoint.
var errNoCheckpoint = errors.New("the log holds no whole checkpoint")

// Loader finds the last whole checkpoint in a run of the log.
type Loader struct {
	oldest uint64 // offset of the run's first record
	begun  bool
	seen   Seen
	next   Checkpoint // progress of the checkpoint being read
	data   []byte     // its parts so far
	whole  []byte     // the last whole one
}

// checkpoint takes note of a part. Parts of one checkpoint come in order from
// one writer; a first part starts anew.
func (s *State) checkpoint(offset uint64, w record.Writer, b record.CheckpointPart) Verdict {
	if !s.IsMember(w) || b.Offset > offset {
		return s.refuse(Stale, "%s is no member, or offset %d is to come", w, b.Offset)
	}
	if !s.Checkpoint.take(offset, w, b) {
		return s.refuse(Invalid, "part %d does not follow part %d", b.Part, s.Checkpoint.Written-1)
	}
	return Accepted
}

// take notes a part, or returns false when it does not follow the last one.
func (c *Checkpoint) take(offset uint64, w record.Writer, b record.CheckpointPart) bool {
	follows := b.Offset == c.Offset && w == c.Writer && b.Part == c.Written && c.Written > 0
	if b.Part != 0 && !follows || b.Part < 0 || b.Part >= b.Parts {
		return false
	}
	c.Offset, c.Writer, c.Written = b.Offset, w, b.Part+1
	if c.Written < b.Parts {
		return true
	}
	if b.Offset >= c.Whole {
		c.Whole, c.End = b.Offset, offset+1
	}
	c.Offset, c.Writer, c.Written = 0, record.Writer{}, 0
	return true
}

// Add takes in the bytes of the record at offset; records come in order.
func (l *Loader) Add(offset uint64, data []byte) {
	if !l.begun {
		l.begun, l.oldest = true, offset
	}
	l.seen.forget(offset)
	r, err := record.Decode(data)
	if err != nil || !r.Timely(offset, repeatWindow) || l.seen.has(r.ID) {
		return
	}
	l.seen.add(r.ID, offset)
	b, ok := r.Body.(record.CheckpointPart)
	if !ok || b.Offset < l.oldest {
		return
	}
	whole := l.next.Whole
	if !l.next.take(offset, r.Writer, b) {
		return
	}
	if b.Part == 0 {
		l.data = nil
	}
	l.data = append(l.data, b.Data...)
	if b.Part == b.Parts-1 && b.Offset >= whole {
		l.whole, l.data = l.data, nil
	}
}

// State returns the state of the last whole checkpoint from which the records
// read so far can be folded.
func (l *Loader) State() (*State, error) {
	if l.whole == nil {
		return nil, errNoCheckpoint
	}
	return Decode(l.whole)
}

package state

import (
	"errors"

	"bronzewind.example/core/record"
)

// errNoCheckpoint means that the log holds no whole checkpoint.
var errNoCheckpoint = errors.New("the log holds no whole checkpoint")

type (
	// Loader finds the last whole checkpoint in a run of the log.
	Loader struct {
		oldest  uint64 // offset of the run's first record
		begun   bool
		seen    Seen
		writing map[record.Writer]*partial
		offset  uint64 // of the last whole checkpoint
		whole   []byte // nil before the first
	}

	// partial is a checkpoint whose parts are being read.
	partial struct {
		offset  uint64
		written int // parts so far; 0 when it is whole
		data    []byte
	}
)

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
		l.begun, l.oldest, l.writing = true, offset, map[record.Writer]*partial{}
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
	p := l.writing[r.Writer]
	if p == nil {
		p = &partial{}
		l.writing[r.Writer] = p
	}
	if p.add(b) && b.Offset >= l.offset {
		l.offset, l.whole = b.Offset, p.data
		p.data = nil
	}
}

// add takes a part in, and returns true when it makes the checkpoint whole.
func (p *partial) add(b record.CheckpointPart) bool {
	follows := b.Offset == p.offset && b.Part == p.written && p.written > 0
	if b.Part != 0 && !follows || b.Part < 0 || b.Part >= b.Parts {
		return false
	}
	if b.Part == 0 {
		p.offset, p.data = b.Offset, nil
	}
	p.data = append(p.data, b.Data...)
	p.written = b.Part + 1
	if p.written < b.Parts {
		return false
	}
	p.written = 0
	return true
}

// State returns the state of the last whole checkpoint from which the records
// read so far can be folded.
func (l *Loader) State() (*State, error) {
	if l.whole == nil {
		return nil, errNoCheckpoint
	}
	return Decode(l.whole)
}

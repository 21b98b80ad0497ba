package control

import (
	"fmt"
	"time"

	"bronzewind.example/core/record"
	"bronzewind.example/core/state"
)

const (
	checkpointPartBytes = 128 << 10
	checkpointRecords   = 1000 // most records between two checkpoints
	checkpointInterval  = 5 * time.Minute
	checkpointPause     = 10 * time.Second // least time between two checkpoints
	rewritePause        = time.Second      // the same when the last one has lapsed
)

// savedState is what the instance knows of the checkpoints in the log, and the
// one that it writes.
type savedState struct {
	whole  uint64    // offset of the last whole one that was seen
	since  time.Time // when it was first seen
	offset uint64    // of the one being written
	parts  [][]byte  // of the one being written; none otherwise
}

// decideCheckpoint writes the state to the log again before the records that
// it is made of lapse. The coordinator of the first service does so, one part
// after the other.
func (c *Core) decideCheckpoint(now time.Time) []Effect {
	saved := &c.saved
	if saved.since.IsZero() || saved.whole != c.state.Checkpoint.Whole {
		saved.whole, saved.since = c.state.Checkpoint.Whole, now
	}
	first := c.state.ServicesInOrder()[0]
	if first.Coordinator != c.self || saved.offset <= saved.whole {
		saved.offset, saved.parts = 0, nil
	}
	if first.Coordinator != c.self || len(saved.parts) == 0 && !c.checkpointDue(now) {
		return nil
	}
	if len(saved.parts) == 0 {
		data, err := state.Encode(c.state)
		if err != nil {
			return []Effect{Log{Message: "checkpoint not written", Detail: err.Error()}}
		}
		saved.offset, saved.parts = c.state.Next, split(data, checkpointPartBytes)
	}
	part := 0
	if at := c.state.Checkpoint; at.Offset == saved.offset && at.Writer == c.self {
		part = at.Written
	}
	body := record.CheckpointPart{Offset: saved.offset, Part: part, Parts: len(saved.parts), Data: saved.parts[part]}
	return c.propose(fmt.Sprintf("checkpoint/%d/%d", saved.offset, part), body, now)
}

// checkpointDue reports whether the last whole checkpoint is old, or in the
// older half of what the log still keeps.
func (c *Core) checkpointDue(now time.Time) bool {
	at, next := c.state.Checkpoint, c.state.Next
	age := now.Sub(c.saved.since)
	lapsing := c.oldest > 0 && 2*(next-at.Whole) > next-min(c.oldest, next)
	lapsed := c.oldest > at.Whole
	return age >= checkpointInterval || next-at.End >= checkpointRecords ||
		lapsing && age >= checkpointPause || lapsed && age >= rewritePause
}

func split(data []byte, size int) [][]byte {
	var out [][]byte
	for len(data) > size {
		out = append(out, data[:size])
		data = data[size:]
	}
	return append(out, data)
}

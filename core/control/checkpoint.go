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
	substitutePauses    = 2                // rewritePauses after which another member writes one
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
// after the other; another member does when all has lapsed and the coordinator
// writes nothing, since it may be waiting for a checkpoint itself.
func (c *Core) decideCheckpoint(now time.Time) []Effect {
	saved := &c.saved
	if saved.since.IsZero() || saved.whole != c.state.Checkpoint.Whole {
		saved.whole, saved.since = c.state.Checkpoint.Whole, now
	}
	writes := c.writesCheckpoints(now)
	if !writes || saved.offset <= saved.whole {
		saved.offset, saved.parts = 0, nil
	}
	if !writes || len(saved.parts) == 0 && !c.checkpointDue(now) {
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

func (c *Core) writesCheckpoints(now time.Time) bool {
	if c.state.ServicesInOrder()[0].Coordinator == c.self {
		return true
	}
	wait := time.Duration(substitutePauses+c.witnessing.rank) * rewritePause
	return c.oldest > c.state.Checkpoint.Whole && now.Sub(c.saved.since) >= wait
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

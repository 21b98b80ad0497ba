package control

import (
	"fmt"
	"time"

	"bronzewind.example/core/record"
	"bronzewind.example/core/state"
)

const (
	checkpointPartBytes      = 128 << 10
	checkpointRecordInterval = 1000 // most records between two checkpoints
	checkpointInterval       = 5 * time.Minute
	minCheckpointInterval    = 10 * time.Second // least time between two checkpoints
	minRewriteInterval       = time.Second      // the same when the last one has lapsed
	substituteWaitIntervals  = 2                // rewritePauses after which another member writes one
)

// checkpointState is what the instance knows of the checkpoints in the log, and the
// one that it writes.
type checkpointState struct {
	complete      uint64    // offset of the last whole one that was seen
	completeSince time.Time // when it was first seen
	offset        uint64    // of the one being written
	parts         [][]byte  // of the one being written; none otherwise
}

// decideCheckpoint writes the state to the log again before the records that
// it is made of lapse. The coordinator of the first service does so, one part
// after the other; another member does when all has lapsed and the coordinator
// writes nothing, since it may be waiting for a checkpoint itself.
func (c *Core) decideCheckpoint(now time.Time) []Effect {
	saved := &c.checkpoint
	if saved.completeSince.IsZero() || saved.complete != c.state.Checkpoint.Whole {
		saved.complete, saved.completeSince = c.state.Checkpoint.Whole, now
	}
	writes := c.isCheckpointWriter(now)
	if !writes || saved.offset <= saved.complete {
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
		saved.offset, saved.parts = c.state.Next, splitParts(data, checkpointPartBytes)
	}
	part := 0
	if at := c.state.Checkpoint; at.Offset == saved.offset && at.Writer == c.self {
		part = at.Written
	}
	body := record.CheckpointPart{Offset: saved.offset, Part: part, Parts: len(saved.parts), Data: saved.parts[part]}
	return c.propose(fmt.Sprintf("checkpoint/%d/%d", saved.offset, part), body, now)
}

func (c *Core) isCheckpointWriter(now time.Time) bool {
	if c.state.ServicesInOrder()[0].Coordinator == c.self {
		return true
	}
	wait := time.Duration(substituteWaitIntervals+c.witness.rank) * minRewriteInterval
	return c.oldestOffset > c.state.Checkpoint.Whole && now.Sub(c.checkpoint.completeSince) >= wait
}

// checkpointDue reports whether the last whole checkpoint is old, or in the
// older half of what the log still keeps.
func (c *Core) checkpointDue(now time.Time) bool {
	at, next := c.state.Checkpoint, c.state.Next
	age := now.Sub(c.checkpoint.completeSince)
	lapsing := c.oldestOffset > 0 && 2*(next-at.Whole) > next-min(c.oldestOffset, next)
	lapsed := c.oldestOffset > at.Whole
	return age >= checkpointInterval || next-at.End >= checkpointRecordInterval ||
		lapsing && age >= minCheckpointInterval || lapsed && age >= minRewriteInterval
}

func splitParts(data []byte, size int) [][]byte {
	var out [][]byte
	for len(data) > size {
		out = append(out, data[:size])
		data = data[size:]
	}
	return append(out, data)
}

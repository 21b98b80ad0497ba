package control

import (
	"fmt"
	"time"

	"bronzewind.example/core/record"
	"bronzewind.example/core/state"
)

const (
	checkpointPartBytes      = 128 << 10
	checkpointRecordInterval = 1000             // maximum number of records between two checkpoints
	checkpointInterval       = 5 * time.Minute  // maximum time between two checkpoints
	minCheckpointInterval    = 10 * time.Second // minimum time between two checkpoints
	minRewriteInterval       = time.Second      // minimum time between two checkpoints while the last one has been truncated from the log
	substituteWaitIntervals  = 2                // minRewriteIntervals after which another member writes the checkpoint
)

// checkpointState tracks the last complete checkpoint in the log and the
// checkpoint that this instance is writing.
type checkpointState struct {
	complete      uint64    // offset of the last complete checkpoint read
	completeSince time.Time // when that checkpoint was first read
	offset        uint64    // of the checkpoint being written
	parts         [][]byte  // of the checkpoint being written; empty when there is none
}

// decideCheckpoint writes the state to the log before the records that it was
// built from are truncated. The coordinator of the first service writes it, one
// part at a time. If the last checkpoint has been truncated and the coordinator
// writes none, another member does, because the coordinator may be waiting for
// a checkpoint itself.
func (c *Core) decideCheckpoint(now time.Time) []Effect {
	checkpoint := &c.checkpoint
	if checkpoint.completeSince.IsZero() || checkpoint.complete != c.state.Checkpoint.Whole {
		checkpoint.complete, checkpoint.completeSince = c.state.Checkpoint.Whole, now
	}
	isWriter := c.isCheckpointWriter(now)
	if !isWriter || checkpoint.offset <= checkpoint.complete {
		checkpoint.offset, checkpoint.parts = 0, nil
	}
	if !isWriter || len(checkpoint.parts) == 0 && !c.checkpointDue(now) {
		return nil
	}
	if len(checkpoint.parts) == 0 {
		data, err := state.Encode(c.state)
		if err != nil {
			return []Effect{Log{Message: "cannot encode the state for a checkpoint; trying again", Detail: err.Error()}}
		}
		checkpoint.offset, checkpoint.parts = c.state.Next, splitParts(data, checkpointPartBytes)
	}
	part := 0
	if inLog := c.state.Checkpoint; inLog.Offset == checkpoint.offset && inLog.Writer == c.self {
		part = inLog.Written
	}
	body := record.CheckpointPart{Offset: checkpoint.offset, Part: part, Parts: len(checkpoint.parts), Data: checkpoint.parts[part]}
	return c.propose(fmt.Sprintf("checkpoint/%d/%d", checkpoint.offset, part), body, now)
}

// isCheckpointWriter reports whether the instance coordinates the first service,
// or should write the checkpoint in place of that coordinator because the last
// one has been truncated. Such substitutes are staggered by rank.
func (c *Core) isCheckpointWriter(now time.Time) bool {
	if c.state.ServicesInOrder()[0].Coordinator == c.self {
		return true
	}
	wait := time.Duration(substituteWaitIntervals+c.witness.rank) * minRewriteInterval
	return c.oldestOffset > c.state.Checkpoint.Whole && now.Sub(c.checkpoint.completeSince) >= wait
}

// checkpointDue reports whether a new checkpoint is needed: the last complete
// one is too old, too many records follow it, it is in the older half of the
// records that the log still keeps, or it has been truncated.
func (c *Core) checkpointDue(now time.Time) bool {
	last, next := c.state.Checkpoint, c.state.Next
	age := now.Sub(c.checkpoint.completeSince)
	nearTruncation := c.oldestOffset > 0 && 2*(next-last.Whole) > next-min(c.oldestOffset, next)
	truncated := c.oldestOffset > last.Whole
	return age >= checkpointInterval || next-last.End >= checkpointRecordInterval ||
		nearTruncation && age >= minCheckpointInterval || truncated && age >= minRewriteInterval
}

func splitParts(data []byte, size int) [][]byte {
	var parts [][]byte
	for len(data) > size {
		parts = append(parts, data[:size])
		data = data[size:]
	}
	return append(parts, data)
}

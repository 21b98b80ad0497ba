package control

import (
	"fmt"
	"strings"
	"time"

	"bronzewind.example/core/record"
	"bronzewind.example/core/state"
)

const (
	positionInterval      = time.Second          // between two LogPosition messages
	positionLifetime      = 3 * positionInterval // how long a received LogPosition counts
	recoveryWait          = 5 * time.Second      // duration of a log gap before a recovery checkpoint is written
	recoveryRetry         = 10 * time.Second     // time until it is written again, because the log may have truncated more
	recoverySubjectPrefix = "rescue/"
)

type (
	// LogPosition reports that its sender has a log gap: records that it never
	// read have been truncated, and the log holds no complete checkpoint.
	LogPosition struct {
		Next uint64 `cbor:"1,keyasint"` // next log offset of the sender's state
	}

	// logRecovery is the progress of log recovery and the log positions received
	// from other members.
	logRecovery struct {
		gapSince             time.Time // zero while the instance follows the log
		lastPositionAt       time.Time // when the last LogPosition was sent
		recoveryCheckpointAt time.Time // when the last recovery checkpoint was written
		positions            map[record.Writer]readPosition
	}

	readPosition struct {
		next       uint64
		receivedAt time.Time
	}
)

func (LogPosition) message() {}

// decideLogRecovery ends a log gap that all members have after an outage. If
// records were truncated that no member has read, the member that has read
// furthest writes its state as a checkpoint at the oldest offset that the log
// still keeps. No member has read the records that the checkpoint skips, so none
// has acted on them. To ensure this, the member writes only if every other
// member has reported a log gap within positionLifetime: while one is
// unresponsive or still follows the log, no member writes.
func (c *Core) decideLogRecovery(now time.Time) []Effect {
	r := &c.recovery
	if c.log.Whole() {
		if !r.gapSince.IsZero() {
			c.resetLogRecovery()
		}
		return nil
	}
	if r.gapSince.IsZero() {
		r.gapSince = now
	}
	var out []Effect
	if now.Sub(r.lastPositionAt) >= positionInterval {
		r.lastPositionAt = now
		for _, name := range c.state.MemberNames() {
			if to := c.state.Members[name].Writer; to != c.self {
				out = append(out, SendMessage{To: to, Message: LogPosition{Next: c.state.Next}})
			}
		}
	}
	if now.Sub(r.gapSince) < recoveryWait || now.Sub(r.recoveryCheckpointAt) < recoveryRetry || c.oldestOffset <= c.state.Next || !c.readFurthest(now) {
		return out
	}
	r.recoveryCheckpointAt = now
	return append(out, c.writeRecoveryCheckpoint(now)...)
}

func (c *Core) resetLogRecovery() {
	c.recovery = logRecovery{}
	c.dropRecoveryRecords()
}

func (c *Core) dropRecoveryRecords() {
	for subject := range c.pending {
		if strings.HasPrefix(subject, recoverySubjectPrefix) {
			delete(c.pending, subject)
		}
	}
}

// positionReceived records how far another member has read the log.
func (c *Core) positionReceived(from record.Writer, m LogPosition, now time.Time) {
	if c.recovery.positions == nil {
		c.recovery.positions = map[record.Writer]readPosition{}
	}
	c.recovery.positions[from] = readPosition{next: m.Next, receivedAt: now}
}

// readFurthest reports whether every other member has reported a log gap within
// positionLifetime, and none has read further. Among members at the same
// offset, only the first by name counts as furthest.
func (c *Core) readFurthest(now time.Time) bool {
	for name, m := range c.state.Members {
		if m.Writer == c.self {
			continue
		}
		p, ok := c.recovery.positions[m.Writer]
		if !ok || now.Sub(p.receivedAt) > positionLifetime || p.next > c.state.Next {
			return false
		}
		if p.next == c.state.Next && name < c.self.Instance {
			return false
		}
	}
	return true
}

// writeRecoveryCheckpoint writes the state as if the truncated records had
// never been written.
func (c *Core) writeRecoveryCheckpoint(now time.Time) []Effect {
	data, err := encodeFrom(c.state, c.oldestOffset)
	if err != nil {
		return []Effect{Log{Message: "cannot encode the state for a checkpoint; trying again", Detail: err.Error()}}
	}
	c.dropRecoveryRecords()
	out := []Effect{Log{
		Message: "records lapsed unread, going on without them",
		Detail:  fmt.Sprintf("offsets %d to %d", c.state.Next, c.oldestOffset-1),
	}}
	parts := splitParts(data, checkpointPartBytes)
	for i, part := range parts {
		body := record.CheckpointPart{Offset: c.oldestOffset, Part: i, Parts: len(parts), Data: part}
		out = append(out, c.propose(fmt.Sprintf("%s%d", recoverySubjectPrefix, i), body, now)...)
	}
	return out
}

// encodeFrom encodes s as a state whose next log offset is next.
func encodeFrom(s *state.State, next uint64) ([]byte, error) {
	copied := *s
	copied.Next = next
	return state.Encode(&copied)
}

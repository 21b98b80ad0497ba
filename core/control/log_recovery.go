package control

import (
	"fmt"
	"strings"
	"time"

	"bronzewind.example/core/record"
	"bronzewind.example/core/state"
)

const (
	positionInterval = time.Second
	positionLifetime = 3 * positionInterval
	recoveryWait     = 5 * time.Second  // without a checkpoint, before one is written from the latest state
	recoveryRetry    = 10 * time.Second // until it is written anew, since the log may have lost more
	recoverySubject  = "rescue/"
)

type (
	// LogPosition tells that its sender can't read on: records that it never
	// read have lapsed, and the log holds no whole checkpoint.
	LogPosition struct {
		Next uint64 `cbor:"1,keyasint"` // of the sender's fold
	}

	// logRecovery is what an instance that can't read on knows of the others.
	logRecovery struct {
		gapSince          time.Time // since when; zero while it follows the log
		positionSent      time.Time // of the last LogPosition
		checkpointWritten time.Time // of the last checkpoint
		positions         map[record.Writer]readPosition
	}

	readPosition struct {
		next       uint64
		receivedAt time.Time
	}
)

func (LogPosition) message() {}

// decideLogRecovery ends an outage in which records lapsed that no instance had
// read. The member that has read furthest writes its state as a checkpoint from
// the oldest record on: what it has not read, nobody has, so nobody acted on
// it. It has to know that of every member; while one is silent or still follows
// the log, nobody writes.
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
	if now.Sub(r.positionSent) >= positionInterval {
		r.positionSent = now
		for _, name := range c.state.MemberNames() {
			if to := c.state.Members[name].Writer; to != c.self {
				out = append(out, SendMessage{To: to, Message: LogPosition{Next: c.state.Next}})
			}
		}
	}
	if now.Sub(r.gapSince) < recoveryWait || now.Sub(r.checkpointWritten) < recoveryRetry || c.oldestOffset <= c.state.Next || !c.readFurthest(now) {
		return out
	}
	r.checkpointWritten = now
	return append(out, c.writeRecoveryCheckpoint(now)...)
}

func (c *Core) resetLogRecovery() {
	c.recovery = logRecovery{}
	c.dropRecoveryRecords()
}

func (c *Core) dropRecoveryRecords() {
	for subject := range c.pending {
		if strings.HasPrefix(subject, recoverySubject) {
			delete(c.pending, subject)
		}
	}
}

// positionReceived notes how far another member has read.
func (c *Core) positionReceived(from record.Writer, m LogPosition, now time.Time) {
	if c.recovery.positions == nil {
		c.recovery.positions = map[record.Writer]readPosition{}
	}
	c.recovery.positions[from] = readPosition{next: m.Next, receivedAt: now}
}

// readFurthest reports whether every other member said lately that it can't
// read on, and none has read further; of several the first in order counts.
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

// writeRecoveryCheckpoint writes the state as if the lapsed records had never been.
func (c *Core) writeRecoveryCheckpoint(now time.Time) []Effect {
	data, err := encodeFrom(c.state, c.oldestOffset)
	if err != nil {
		return []Effect{Log{Message: "checkpoint not written", Detail: err.Error()}}
	}
	c.dropRecoveryRecords()
	out := []Effect{Log{
		Message: "records lapsed unread, going on without them",
		Detail:  fmt.Sprintf("offsets %d to %d", c.state.Next, c.oldestOffset-1),
	}}
	parts := splitParts(data, checkpointPartBytes)
	for i, part := range parts {
		body := record.CheckpointPart{Offset: c.oldestOffset, Part: i, Parts: len(parts), Data: part}
		out = append(out, c.propose(fmt.Sprintf("%s%d", recoverySubject, i), body, now)...)
	}
	return out
}

// encodeFrom returns the bytes of s as a state whose next offset is next.
func encodeFrom(s *state.State, next uint64) ([]byte, error) {
	moved := *s
	moved.Next = next
	return state.Encode(&moved)
}

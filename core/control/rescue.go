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
	rescueWait       = 5 * time.Second  // without a checkpoint, before one is written from the latest state
	rescueRetry      = 10 * time.Second // until it is written anew, since the log may have lost more
	rescueSubject    = "rescue/"
)

type (
	// LogPosition tells that its sender can't read on: records that it never
	// read have lapsed, and the log holds no whole checkpoint.
	LogPosition struct {
		Next uint64 `cbor:"1,keyasint"` // of the sender's fold
	}

	// rescue is what an instance that can't read on knows of the others.
	rescue struct {
		stuck     time.Time // since when; zero while it follows the log
		told      time.Time // of the last LogPosition
		wrote     time.Time // of the last checkpoint
		positions map[record.Writer]position
	}

	position struct {
		next uint64
		at   time.Time
	}
)

func (LogPosition) message() {}

// decideRescue ends an outage in which records lapsed that no instance had
// read. The member that has read furthest writes its state as a checkpoint from
// the oldest record on: what it has not read, nobody has, so nobody acted on
// it. It has to know that of every member; while one is silent or still follows
// the log, nobody writes.
func (c *Core) decideRescue(now time.Time) []Effect {
	r := &c.rescue
	if c.log.Whole() {
		if !r.stuck.IsZero() {
			c.forgetRescue()
		}
		return nil
	}
	if r.stuck.IsZero() {
		r.stuck = now
	}
	var out []Effect
	if now.Sub(r.told) >= positionInterval {
		r.told = now
		for _, name := range c.state.MemberNames() {
			if to := c.state.Members[name].Writer; to != c.self {
				out = append(out, SendMessage{To: to, Message: LogPosition{Next: c.state.Next}})
			}
		}
	}
	if now.Sub(r.stuck) < rescueWait || now.Sub(r.wrote) < rescueRetry || c.oldest <= c.state.Next || !c.readFurthest(now) {
		return out
	}
	r.wrote = now
	return append(out, c.writeRescue(now)...)
}

func (c *Core) forgetRescue() {
	c.rescue = rescue{}
	c.forgetRescueRecords()
}

func (c *Core) forgetRescueRecords() {
	for subject := range c.pending {
		if strings.HasPrefix(subject, rescueSubject) {
			delete(c.pending, subject)
		}
	}
}

// positionReceived notes how far another member has read.
func (c *Core) positionReceived(from record.Writer, m LogPosition, now time.Time) {
	if c.rescue.positions == nil {
		c.rescue.positions = map[record.Writer]position{}
	}
	c.rescue.positions[from] = position{next: m.Next, at: now}
}

// readFurthest reports whether every other member said lately that it can't
// read on, and none has read further; of several the first in order counts.
func (c *Core) readFurthest(now time.Time) bool {
	for name, m := range c.state.Members {
		if m.Writer == c.self {
			continue
		}
		p, ok := c.rescue.positions[m.Writer]
		if !ok || now.Sub(p.at) > positionLifetime || p.next > c.state.Next {
			return false
		}
		if p.next == c.state.Next && name < c.self.Instance {
			return false
		}
	}
	return true
}

// writeRescue writes the state as if the lapsed records had never been.
func (c *Core) writeRescue(now time.Time) []Effect {
	data, err := encodeFrom(c.state, c.oldest)
	if err != nil {
		return []Effect{Log{Message: "checkpoint not written", Detail: err.Error()}}
	}
	c.forgetRescueRecords()
	out := []Effect{Log{
		Message: "records lapsed unread, going on without them",
		Detail:  fmt.Sprintf("offsets %d to %d", c.state.Next, c.oldest-1),
	}}
	parts := split(data, checkpointPartBytes)
	for i, part := range parts {
		body := record.CheckpointPart{Offset: c.oldest, Part: i, Parts: len(parts), Data: part}
		out = append(out, c.propose(fmt.Sprintf("%s%d", rescueSubject, i), body, now)...)
	}
	return out
}

// encodeFrom returns the bytes of s as a state whose next offset is next.
func encodeFrom(s *state.State, next uint64) ([]byte, error) {
	moved := *s
	moved.Next = next
	return state.Encode(&moved)
}

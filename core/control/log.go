package control

import (
	"fmt"
	"time"

	"bronzewind.example/core/keyspace"
	"bronzewind.example/core/record"
	"bronzewind.example/core/route"
	"bronzewind.example/core/state"
)

const (
	// appendRetry is the wait before a record that was not read back is
	// appended again under the same ID; it doubles up to maxAppendRetry.
	appendRetry       = 300 * time.Millisecond
	maxAppendRetry    = 32 * time.Second
	maxRetryDoublings = 8

	// FleetAppends is how many records a second all instances together append
	// at most over a longer time.
	FleetAppends = 200

	// logOutage is the time without an answer after which the log counts as down.
	logOutage = 2 * time.Second

	// jitterSteps is the number of different retry times within a wait.
	jitterSteps = 1 << 10
)

// recordsRead folds entries and publishes the new snapshot.
func (c *Core) recordsRead(e RecordsRead, now time.Time) []Effect {
	c.restartLogLeasesAfterGap(now)
	c.logResponded(now)
	before := c.state.Next
	end := e.First + uint64(len(e.Entries))
	if !e.CaughtUp {
		end++ // there is more to read
	}
	var out []Effect
	for _, f := range c.log.Read(e.First, end, e.Entries) {
		out = append(out, c.entryRead(f)...)
	}
	c.state = c.log.State
	c.followMembers(now)
	c.oldestOffset = max(c.oldestOffset, e.Oldest)
	next := c.log.Next()
	switch {
	case next != e.First+uint64(len(e.Entries)):
		out = append(out, ReadLog{From: next})
	case e.CaughtUp && c.log.Whole():
		c.caughtUp = true
	}
	if c.state.Next == before {
		return out
	}
	return append(out, c.setTable()...)
}

func (c *Core) setTable() []Effect {
	if t := route.NewTable(c.state); t != nil {
		return []Effect{SetTable{Table: t.WithSelf(c.self)}}
	}
	return nil
}

// entryRead ends the wait for a record that was read back.
func (c *Core) entryRead(f state.Folded) []Effect {
	if f.Err != nil {
		return []Effect{Log{Message: "record skipped", Detail: f.Err.Error()}}
	}
	for subject, p := range c.pending {
		if p.record.ID == f.Record.ID {
			delete(c.pending, subject)
		}
	}
	if f.Verdict == state.Accepted {
		c.renewalRead(f.Record.ID)
		return nil
	}
	return []Effect{Log{Message: "record not accepted", Detail: f.Record.ID + " " + f.Verdict.String() + " " + c.state.Reason()}}
}

// logTruncated starts to look for a checkpoint when records that the instance
// never read have lapsed.
func (c *Core) logTruncated(e LogTruncated) []Effect {
	c.log.Truncated(e.Oldest)
	return []Effect{
		Log{Message: "log truncated", Detail: fmt.Sprintf("oldest offset %d, folded up to %d", e.Oldest, c.state.Next)},
		ReadLog{From: c.log.Next()},
	}
}

// snapshotReceived takes the state of another instance when it is later than the own one.
func (c *Core) snapshotReceived(e SnapshotReceived, now time.Time) []Effect {
	s, err := state.Decode(e.Data)
	if err != nil {
		return []Effect{Log{Message: "snapshot of a peer not taken", Detail: err.Error()}}
	}
	if !c.log.Adopt(s) {
		return nil
	}
	c.state = c.log.State
	c.followMembers(now)
	return append(c.setTable(), ReadLog{From: c.log.Next()})
}

// propose appends body about subject, unless an earlier record about it is
// still on its way; that one is sent again under its own ID after a time.
func (c *Core) propose(subject string, body record.Body, now time.Time) []Effect {
	if p, ok := c.pending[subject]; ok {
		if now.Before(p.nextAppend) {
			return nil
		}
		c.pending[subject] = pendingRecord{record: p.record, attempts: p.attempts + 1, firstAppend: p.firstAppend, nextAppend: now.Add(retryWait(p.record.ID, p.attempts+1))}
		return []Effect{Append{Record: p.record}}
	}
	c.lastRecordNumber++
	r := record.Record{ID: fmt.Sprintf("%s/%d", c.self, c.lastRecordNumber), Writer: c.self, Since: c.state.Next, Body: body}
	c.pending[subject] = pendingRecord{record: r, firstAppend: now, nextAppend: now.Add(retryWait(r.ID, 0))}
	return []Effect{Append{Record: r}}
}

// logResponded lets the records that wait go soon after an outage of the log,
// spread over the time that the log needs for those of the whole fleet.
func (c *Core) logResponded(now time.Time) {
	if now.Sub(c.lastLogRead) > logOutage && !c.lastLogRead.IsZero() {
		whole := time.Duration(len(c.state.Members)*len(c.pending)) * time.Second / FleetAppends
		for subject, p := range c.pending {
			p.nextAppend = now.Add(jitter(p.record.ID, whole))
			c.pending[subject] = p
		}
	}
	c.lastLogRead = now
}

// retryWait returns the wait before the next append of the record called id.
func retryWait(id string, tries int) time.Duration {
	wait := min(appendRetry<<min(tries, maxRetryDoublings), maxAppendRetry)
	return wait + jitter(id, wait)
}

// jitter returns a time below d that differs between records.
func jitter(id string, d time.Duration) time.Duration {
	return d * time.Duration(keyspace.NewHash(id).Slot(jitterSteps)) / jitterSteps
}

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
	// appended again under the same ID. It doubles with each retry up to
	// maxAppendRetry; retryWait adds a jitter of up to as much again.
	appendRetry    = 300 * time.Millisecond
	maxAppendRetry = 32 * time.Second
	// maxRetryDoublings bounds the shift in retryWait; maxAppendRetry is reached
	// earlier.
	maxRetryDoublings = 8

	// MaxFleetAppendsPerSecond is the maximum average number of records per second that all
	// instances together append. router/daemon limits each instance to its
	// share, and logResponded spreads retries accordingly.
	MaxFleetAppendsPerSecond = 200

	// logOutage is the time without a response after which the log is
	// considered unavailable.
	logOutage = 2 * time.Second

	// jitterSteps is the number of distinct retry times within a wait.
	jitterSteps = 1 << 10
)

// recordsRead applies entries of the log and publishes the new routing table.
func (c *Core) recordsRead(e RecordsRead, now time.Time) []Effect {
	c.restartLogLeasesAfterOutage(now)
	c.logResponded(now)
	before := c.state.Next
	end := e.First + uint64(len(e.Entries))
	if !e.CaughtUp {
		end++ // the log holds at least one more record
	}
	var out []Effect
	for _, f := range c.log.Read(e.First, end, e.Entries) {
		out = append(out, c.entryRead(f)...)
	}
	c.state = c.log.State
	c.membersApplied(now)
	c.oldestOffset = max(c.oldestOffset, e.Oldest)
	next := c.log.Next()
	switch {
	case next != e.First+uint64(len(e.Entries)): // entries out of order, a damaged record to be read again, or a search for a checkpoint
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

// entryRead drops the pending record that was read back, and logs a record that
// was skipped or not accepted.
func (c *Core) entryRead(f state.Folded) []Effect {
	if f.Err != nil {
		return []Effect{Log{Message: "log record cannot be applied; skipped", Detail: f.Err.Error()}}
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

// logTruncated starts the search for a checkpoint after records that the
// instance never read have been truncated from the log.
func (c *Core) logTruncated(e LogTruncated) []Effect {
	c.log.Truncated(e.Oldest)
	return []Effect{
		Log{Message: "log truncated", Detail: fmt.Sprintf("oldest offset in the log %d, next offset to apply %d", e.Oldest, c.state.Next)},
		ReadLog{From: c.log.Next()},
	}
}

// snapshotReceived adopts the state of another instance if that is newer than
// its own.
func (c *Core) snapshotReceived(e SnapshotReceived, now time.Time) []Effect {
	s, err := state.Decode(e.Data)
	if err != nil {
		return []Effect{Log{Message: "cannot decode the snapshot of a peer; ignored", Detail: err.Error()}}
	}
	if !c.log.Adopt(s) {
		return nil
	}
	c.state = c.log.State
	c.membersApplied(now)
	return append(c.setTable(), ReadLog{From: c.log.Next()})
}

// propose appends a record with body. If an earlier record with the same
// subject is pending, it appends nothing new; the pending one is appended again
// under its own ID once its wait has passed.
func (c *Core) propose(subject string, body record.Body, now time.Time) []Effect {
	if p, ok := c.pending[subject]; ok {
		if now.Before(p.nextAppend) {
			return nil
		}
		c.pending[subject] = pendingRecord{record: p.record, retries: p.retries + 1, firstAppend: p.firstAppend, nextAppend: now.Add(retryWait(p.record.ID, p.retries+1))}
		return []Effect{Append{Record: p.record}}
	}
	c.lastRecordNumber++
	r := record.Record{ID: fmt.Sprintf("%s/%d", c.self, c.lastRecordNumber), Writer: c.self, Since: c.state.Next, Body: body}
	c.pending[subject] = pendingRecord{record: r, firstAppend: now, nextAppend: now.Add(retryWait(r.ID, 0))}
	return []Effect{Append{Record: r}}
}

// logResponded records the time of a RecordsRead. After an outage it schedules
// the pending records for a prompt retry, spread over the time that the log
// needs if each member has as many pending records.
func (c *Core) logResponded(now time.Time) {
	if now.Sub(c.lastRecordsReadAt) > logOutage && !c.lastRecordsReadAt.IsZero() {
		spread := time.Duration(len(c.state.Members)*len(c.pending)) * time.Second / MaxFleetAppendsPerSecond
		for subject, p := range c.pending {
			p.nextAppend = now.Add(jitter(p.record.ID, spread))
			c.pending[subject] = p
		}
	}
	c.lastRecordsReadAt = now
}

// retryWait returns the wait before the next append of the record with the
// given ID.
func retryWait(id string, retries int) time.Duration {
	wait := min(appendRetry<<min(retries, maxRetryDoublings), maxAppendRetry)
	return wait + jitter(id, wait)
}

// jitter returns a time below d that differs between record IDs.
func jitter(id string, d time.Duration) time.Duration {
	return d * time.Duration(keyspace.NewHash(id).Slot(jitterSteps)) / jitterSteps
}

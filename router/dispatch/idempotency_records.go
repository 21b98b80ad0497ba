package dispatch

import (
	"net/http"
	"sync"
	"time"

	"bronzewind.example/core/clock"
	"bronzewind.example/core/code"
	"bronzewind.example/core/keyspace"
)

const (
	defaultRecordRetention = 10 * time.Minute
	maxRecords             = 1 << 17
	maxRecordResponseBytes = 4 << 10
	maxTableResponseBytes  = 16 << 20 // of all records together
)

type (
	// RecordKey identifies a once-only request; a repeat by the caller has the
	// same key.
	RecordKey struct {
		Service        string        `cbor:"1,keyasint"`
		Hash           keyspace.Hash `cbor:"2,keyasint"`
		IdempotencyKey string        `cbor:"3,keyasint"` // chosen by the caller
	}

	// IdempotencyRecord records that an execution of a once-only request was
	// started, and how it ended.
	IdempotencyRecord struct {
		RecordKey
		Epoch       uint64      `cbor:"4,keyasint"` // the dispatcher's ownership epoch of the key
		Sequence    uint64      `cbor:"5,keyasint"` // unique for the key together with Epoch
		RequestHash uint64      `cbor:"6,keyasint"` // of the request; equal for a repeat
		Code        code.Code   `cbor:"7,keyasint"` // how the execution ended; 0 while it runs
		Status      int         `cbor:"8,keyasint,omitempty"`
		Header      http.Header `cbor:"9,keyasint,omitempty"`
		Body        []byte      `cbor:"10,keyasint,omitempty"`
		HasResponse bool        `cbor:"11,keyasint,omitempty"` // Header and Body are the complete response
		AgeMs       int64       `cbor:"12,keyasint,omitempty"` // since the record was created; set when it is sent
	}

	// RecordTable is the bounded table of one instance: the records of its own
	// executions, and the replicas that it stores for other instances. A record
	// is kept for the retention time and is never dropped earlier; a full table
	// accepts no further records.
	RecordTable struct {
		clock     clock.Clock
		retention time.Duration
		limit     int

		mu            sync.Mutex // guards all below
		entries       map[RecordKey]*recordEntry
		byArrival     []*recordEntry // oldest first
		responseBytes int            // total size of the stored response bodies
	}

	recordEntry struct {
		record    IdempotencyRecord
		createdAt time.Time
		ended     chan struct{} // closed at the end of an own execution; nil for replicas
		removed   bool          // no longer in entries
	}
)

func newRecordTable(c clock.Clock, retention time.Duration, limit int) *RecordTable {
	return &RecordTable{clock: c, retention: retention, limit: limit, entries: map[RecordKey]*recordEntry{}}
}

// begin adds m as an own execution. If there is a record of its key already,
// begin returns that record, with a channel that is closed when its execution
// has ended.
func (t *RecordTable) begin(m IdempotencyRecord) (found *IdempotencyRecord, ended <-chan struct{}, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	if r, ok := t.entries[m.RecordKey]; ok {
		record := r.record
		return &record, r.ended, nil
	}
	if len(t.entries) >= t.limit {
		return nil, nil, code.NewError(code.MarksFull, "the table of idempotency records is full")
	}
	t.add(&recordEntry{record: m, createdAt: t.clock.Now(), ended: make(chan struct{})})
	return nil, nil, nil
}

// put stores m for another instance, or updates the record of the same
// execution. If there is a record of another execution, put returns that
// record.
func (t *RecordTable) put(m IdempotencyRecord) (*IdempotencyRecord, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	r, ok := t.entries[m.RecordKey]
	switch {
	case !ok && len(t.entries) >= t.limit:
		return nil, code.NewError(code.MarksFull, "the table of idempotency records is full")
	case !ok:
		age := time.Duration(m.AgeMs) * time.Millisecond
		t.add(&recordEntry{record: m, createdAt: t.clock.Now().Add(-age)})
	case r.record.supersededBy(m):
		t.remove(r)
		t.add(&recordEntry{record: m, createdAt: t.clock.Now()})
	case !r.record.sameExecution(m):
		found := r.record
		return &found, nil
	case r.record.Code == 0:
		t.set(r, m)
	}
	return nil, nil
}

// find returns the record of key, or nil.
func (t *RecordTable) find(key RecordKey) *IdempotencyRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	if r, ok := t.entries[key]; ok {
		found := r.record
		return &found
	}
	return nil
}

// end stores how the execution of m ended and wakes the requests that wait for
// it.
func (t *RecordTable) end(m IdempotencyRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.entries[m.RecordKey]; ok && r.record.sameExecution(m) {
		t.set(r, m)
		t.notifyEnded(r)
	}
}

// drop removes the record of an execution that provably did not happen.
func (t *RecordTable) drop(m IdempotencyRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.entries[m.RecordKey]; ok && r.record.sameExecution(m) {
		t.remove(r)
		t.notifyEnded(r)
	}
}

// replaceWithEarlier replaces the own execution of m by an earlier one that
// another instance recorded.
func (t *RecordTable) replaceWithEarlier(m, earlier IdempotencyRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.entries[m.RecordKey]
	if !ok || !r.record.sameExecution(m) {
		return
	}
	r.record = IdempotencyRecord{}
	t.set(r, earlier)
	t.notifyEnded(r)
}

// snapshot returns all records with their ages.
func (t *RecordTable) snapshot() []IdempotencyRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	out := make([]IdempotencyRecord, 0, len(t.entries))
	for _, r := range t.entries {
		m := r.record
		m.AgeMs = t.clock.Now().Sub(r.createdAt).Milliseconds()
		out = append(out, m)
	}
	return out
}

// The methods below require that t.mu is held.

func (t *RecordTable) add(r *recordEntry) {
	m := r.record
	r.record.Header, r.record.Body, r.record.HasResponse = nil, nil, false
	t.entries[m.RecordKey] = r
	t.byArrival = append(t.byArrival, r)
	t.set(r, m)
}

// set replaces the record of r. A response that is too large is not stored.
func (t *RecordTable) set(r *recordEntry, m IdempotencyRecord) {
	t.responseBytes -= len(r.record.Body)
	if len(m.Body) > maxRecordResponseBytes || t.responseBytes+len(m.Body) > maxTableResponseBytes {
		m.Header, m.Body, m.HasResponse = nil, nil, false
	}
	t.responseBytes += len(m.Body)
	r.record = m
}

func (t *RecordTable) remove(r *recordEntry) {
	t.responseBytes -= len(r.record.Body)
	delete(t.entries, r.record.RecordKey)
	r.removed = true
}

func (t *RecordTable) notifyEnded(r *recordEntry) {
	if r.ended != nil {
		close(r.ended)
		r.ended = nil
	}
}

// expire removes records older than the retention time, except those of own
// executions that have not ended.
func (t *RecordTable) expire() {
	oldest := t.clock.Now().Add(-t.retention)
	for len(t.byArrival) > 0 {
		r := t.byArrival[0]
		if !r.removed && (r.createdAt.After(oldest) || r.ended != nil) {
			return
		}
		t.byArrival = t.byArrival[1:]
		if !r.removed {
			t.remove(r)
		}
	}
}

// supersededBy reports whether the dispatcher that created m created o later.
// That dispatcher then knows that the execution of m did not happen.
func (m IdempotencyRecord) supersededBy(o IdempotencyRecord) bool {
	return m.Epoch == o.Epoch && m.Sequence < o.Sequence
}

func (m IdempotencyRecord) sameExecution(o IdempotencyRecord) bool {
	return m.Epoch == o.Epoch && m.Sequence == o.Sequence
}

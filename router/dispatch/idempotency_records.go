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
	// same record key.
	RecordKey struct {
		Service        string        `cbor:"1,keyasint"`
		Hash           keyspace.Hash `cbor:"2,keyasint"` // of the request key
		IdempotencyKey string        `cbor:"3,keyasint"` // chosen by the caller
	}

	// IdempotencyRecord records that an execution of a once-only request was
	// started, and how it ended.
	IdempotencyRecord struct {
		RecordKey
		Epoch       uint64      `cbor:"4,keyasint"` // the dispatcher's ownership epoch of the request key
		Sequence    uint64      `cbor:"5,keyasint"` // unique for the record key together with Epoch
		RequestHash uint64      `cbor:"6,keyasint"` // see requestHash; equal for a repeat
		Code        code.Code   `cbor:"7,keyasint"` // how the execution ended; 0 while it runs
		Status      int         `cbor:"8,keyasint,omitempty"`
		Header      http.Header `cbor:"9,keyasint,omitempty"`
		Body        []byte      `cbor:"10,keyasint,omitempty"`
		HasResponse bool        `cbor:"11,keyasint,omitempty"` // Header and Body are the complete response
		AgeMs       int64       `cbor:"12,keyasint,omitempty"` // time since the record was created; set only when the record is handed over
	}

	// RecordTable is the bounded table of one instance: the records of its own
	// executions, and the replicas that it stores for other instances. The record
	// of an execution that may have happened is kept for at least the retention
	// time; a full table accepts no further records.
	RecordTable struct {
		clock     clock.Clock
		retention time.Duration
		limit     int

		mu            sync.Mutex // guards all below
		entries       map[RecordKey]*recordEntry
		byArrival     []*recordEntry // in order of arrival
		responseBytes int            // total size of the stored response bodies
	}

	recordEntry struct {
		record    IdempotencyRecord
		createdAt time.Time
		ended     chan struct{} // closed at the end of an own execution; nil after that, and for replicas
		removed   bool          // no longer in entries
	}
)

func newRecordTable(c clock.Clock, retention time.Duration, limit int) *RecordTable {
	return &RecordTable{clock: c, retention: retention, limit: limit, entries: map[RecordKey]*recordEntry{}}
}

// begin adds rec as an own execution. If there is a record with its record key
// already, begin returns that record, with a channel that is closed when its
// execution ends. The channel is nil if the execution has ended or is another
// dispatcher's.
func (t *RecordTable) begin(rec IdempotencyRecord) (found *IdempotencyRecord, ended <-chan struct{}, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	if r, ok := t.entries[rec.RecordKey]; ok {
		record := r.record
		return &record, r.ended, nil
	}
	if len(t.entries) >= t.limit {
		return nil, nil, code.NewError(code.MarksFull, "the table of idempotency records is full")
	}
	t.add(&recordEntry{record: rec, createdAt: t.clock.Now(), ended: make(chan struct{})})
	return nil, nil, nil
}

// put stores rec for another instance, or updates the record of the same
// execution unless it has a result. A record that rec supersedes is replaced; the
// record of any other execution is kept and returned.
func (t *RecordTable) put(rec IdempotencyRecord) (*IdempotencyRecord, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	r, ok := t.entries[rec.RecordKey]
	switch {
	case !ok && len(t.entries) >= t.limit:
		return nil, code.NewError(code.MarksFull, "the table of idempotency records is full")
	case !ok:
		age := time.Duration(rec.AgeMs) * time.Millisecond
		t.add(&recordEntry{record: rec, createdAt: t.clock.Now().Add(-age)})
	case r.record.supersededBy(rec):
		t.remove(r)
		t.add(&recordEntry{record: rec, createdAt: t.clock.Now()})
	case !r.record.sameExecution(rec):
		found := r.record
		return &found, nil
	case r.record.Code == 0:
		t.set(r, rec)
	}
	return nil, nil
}

// find returns the record with the given record key, or nil.
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

// end stores how the execution of rec ended and wakes the requests that wait for
// it.
func (t *RecordTable) end(rec IdempotencyRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.entries[rec.RecordKey]; ok && r.record.sameExecution(rec) {
		t.set(r, rec)
		t.notifyEnded(r)
	}
}

// drop removes the record of an execution that provably did not happen.
func (t *RecordTable) drop(rec IdempotencyRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.entries[rec.RecordKey]; ok && r.record.sameExecution(rec) {
		t.remove(r)
		t.notifyEnded(r)
	}
}

// replaceWithEarlier replaces the own execution of rec by an earlier one that
// another instance recorded.
func (t *RecordTable) replaceWithEarlier(rec, earlier IdempotencyRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.entries[rec.RecordKey]
	if !ok || !r.record.sameExecution(rec) {
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
		rec := r.record
		rec.AgeMs = t.clock.Now().Sub(r.createdAt).Milliseconds()
		out = append(out, rec)
	}
	return out
}

// The methods below require that t.mu is held.

func (t *RecordTable) add(r *recordEntry) {
	rec := r.record
	r.record.Header, r.record.Body, r.record.HasResponse = nil, nil, false
	t.entries[rec.RecordKey] = r
	t.byArrival = append(t.byArrival, r)
	t.set(r, rec)
}

// set replaces the record of r. The response is not stored if its body is too
// large or all stored bodies together would exceed maxTableResponseBytes.
func (t *RecordTable) set(r *recordEntry, rec IdempotencyRecord) {
	t.responseBytes -= len(r.record.Body)
	if len(rec.Body) > maxRecordResponseBytes || t.responseBytes+len(rec.Body) > maxTableResponseBytes {
		rec.Header, rec.Body, rec.HasResponse = nil, nil, false
	}
	t.responseBytes += len(rec.Body)
	r.record = rec
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

// expire removes records from the front of byArrival that are older than the
// retention time. It stops at the first younger record and at the first own
// execution that has not ended; older records behind these, such as records
// from a handover, are removed later.
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

// supersededBy reports whether the dispatcher that created rec created o later.
// A dispatcher creates a second record for the same record key only after the
// first has expired or its execution provably did not happen.
func (rec IdempotencyRecord) supersededBy(o IdempotencyRecord) bool {
	return rec.Epoch == o.Epoch && rec.Sequence < o.Sequence
}

func (rec IdempotencyRecord) sameExecution(o IdempotencyRecord) bool {
	return rec.Epoch == o.Epoch && rec.Sequence == o.Sequence
}

package dispatch

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzewind.example/core/code"
	"bronzewind.example/core/keyspace"
)

const maxIdempotencyKeyBytes = 256

// earlierExecutionError says that a mark of an earlier run was found at a peer.
type earlierExecutionError struct{ record IdempotencyRecord }

// Error implements error.
func (e *earlierExecutionError) Error() string { return "an earlier run was started" }

// doOnceOnly runs once-only work unless a run of its key was started before; a
// repeat is answered with what is known of that run.
func (d *Dispatcher) doOnceOnly(ctx context.Context, r *Request) (*Answer, error) {
	if len(r.IdempotencyKey) > maxIdempotencyKeyBytes {
		return nil, code.NewError(code.MalformedRequest, "the idempotency key is too long")
	}
	m := d.newRecord(r)
	found, err := d.beginExecution(ctx, r, m)
	if err != nil {
		return nil, err
	}
	if found != nil {
		return repeatedResponse(*found, m)
	}
	r.record = &m
	answer, err := d.checkAndExecute(ctx, r)
	var earlier *earlierExecutionError
	if errors.As(err, &earlier) {
		d.set.records.replaceWithEarlier(m, earlier.record)
		return repeatedResponse(earlier.record, m)
	}
	d.endExecution(m, answer, err)
	return answer, err
}

func (d *Dispatcher) checkAndExecute(ctx context.Context, r *Request) (*Answer, error) {
	if err := d.checkEarlierExecution(ctx, r); err != nil {
		return nil, err
	}
	return d.enqueueAndSend(ctx, r)
}

func (d *Dispatcher) newRecord(r *Request) IdempotencyRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	return IdempotencyRecord{
		RecordKey: RecordKey{Service: r.Service, Hash: r.Hash, IdempotencyKey: r.IdempotencyKey},
		Epoch:     d.ownershipEpoch(r.Hash), Sequence: d.set.lastExecution.Add(1), Fingerprint: onceOnlyFingerprint(r),
	}
}

// ownershipEpoch returns the epoch under which the dispatcher may run work of the key
// with hash h; it grows when the owner of the key or the dispatcher changes.
// d.mu is held.
func (d *Dispatcher) ownershipEpoch(h keyspace.Hash) uint64 {
	epoch := d.server.Epoch
	if _, owned, ok := d.service.Lookup(h); ok {
		epoch = max(epoch, owned)
	}
	return epoch
}

// onceOnlyFingerprint tells two requests with the same idempotency key apart.
func onceOnlyFingerprint(r *Request) uint64 {
	h := xxhash.New()
	for _, s := range []string{r.Method, "\n", r.Target, "\n"} {
		_, _ = h.WriteString(s)
	}
	_ = binary.Write(h, binary.BigEndian, r.Length)
	return h.Sum64()
}

// beginExecution enters m, or returns the mark of an earlier run once that ended or
// the request's time is up.
func (d *Dispatcher) beginExecution(ctx context.Context, r *Request, m IdempotencyRecord) (*IdempotencyRecord, error) {
	timer := d.set.clock.NewTimer(r.Deadline.Sub(d.set.clock.Now()))
	defer timer.Stop()
	for {
		found, ended, err := d.set.records.begin(m)
		if err != nil || found == nil || ended == nil || found.Fingerprint != m.Fingerprint {
			return found, err
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return found, nil
		case <-timer.C:
			found.Code = code.StillRunning
			return found, nil
		}
	}
}

// repeatedResponse answers a request whose key has a mark already.
func repeatedResponse(found, m IdempotencyRecord) (*Answer, error) {
	switch {
	case found.Fingerprint != m.Fingerprint:
		return nil, code.NewError(code.KeyReused, "the idempotency key belongs to another request")
	case found.Code == code.OK && found.HasResponse:
		return &Answer{
			Status: found.Status, Header: found.Header.Clone(), Length: int64(len(found.Body)),
			Body: io.NopCloser(bytes.NewReader(found.Body)), Whole: found.Body,
		}, nil
	case found.Code == code.OK:
		return nil, code.NewError(code.AlreadyDone, "the backend server answered an earlier try")
	case found.Code == 0 && found.Epoch != m.Epoch:
		return nil, code.NewError(code.MarkLost, "an earlier try was started, and its end is not known here")
	case found.Code == 0:
		return nil, code.NewError(code.StillRunning, "an earlier try is still running")
	default:
		return nil, code.NewError(found.Code, "an earlier try ended so")
	}
}

// endExecution notes how the run of m ended; of a run that did not happen nothing is
// kept.
func (d *Dispatcher) endExecution(m IdempotencyRecord, a *Answer, err error) {
	var e *code.Error
	switch {
	case err == nil:
		m.Code, m.Status = code.OK, a.Status
		if a.Whole != nil && len(a.Whole) <= maxRecordResponseBytes {
			m.Header, m.Body, m.HasResponse = a.Header.Clone(), a.Whole, true
		}
	case errors.As(err, &e) && e.Code.Outcome() == code.NotRun:
		d.set.records.drop(m)
		d.set.replicas.replicateEnd(DropRecord, m)
		return
	case e != nil:
		m.Code = e.Code
	default:
		m.Code = code.MarkLost
	}
	d.set.records.end(m)
	d.set.replicas.replicateEnd(PutRecord, m)
}

// checkEarlierExecution makes sure that no earlier run of r was started under another epoch.
func (d *Dispatcher) checkEarlierExecution(ctx context.Context, r *Request) error {
	if err := d.set.checkKeyAge(r); err != nil || d.set.peers == nil || d.set.ownedForRetention(*r.record) {
		return err
	}
	found, err := d.set.replicas.find(ctx, *r.record)
	switch {
	case err != nil:
		return err
	case found != nil:
		return &earlierExecutionError{record: *found}
	default:
		return d.set.checkLostRecords(r)
	}
}

// replicateRecord puts the mark of r at peers before the first byte of r is sent.
func (d *Dispatcher) replicateRecord(ctx context.Context, r *Request) error {
	if d.set.peers == nil {
		return nil
	}
	found, err := d.set.replicas.put(ctx, *r.record)
	if err != nil {
		return err
	}
	if found != nil {
		return &earlierExecutionError{record: *found}
	}
	return d.checkStillOwned(*r.record)
}

// checkStillOwned returns an error when the dispatcher's right to the key of m ended
// or changed since m was made.
func (d *Dispatcher) checkStillOwned(m IdempotencyRecord) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || !d.set.clock.Now().Before(d.grantedUntil) || d.ownershipEpoch(m.Hash) != m.Epoch {
		return code.NewError(code.StaleRoute, "the right to the key ended while the start mark was placed")
	}
	return nil
}

// ownedForRetention reports whether this instance has dispatched the key of m for the
// whole retention time, so that its own table holds all marks of the key.
func (s *Set) ownedForRetention(m IdempotencyRecord) bool {
	s.ownedSinceMu.Lock()
	defer s.ownedSinceMu.Unlock()
	now, key := s.clock.Now(), epochKey{service: m.Service, epoch: m.Epoch}
	since, ok := s.ownedSince[key]
	if !ok {
		since = now
		s.ownedSince[key] = now
	}
	return now.Sub(since) > s.recordRetention
}

// checkKeyAge refuses r when its idempotency key is known to be older than marks are
// kept: an earlier run may be forgotten.
func (s *Set) checkKeyAge(r *Request) error {
	created, known := keyCreationTime(r.IdempotencyKey)
	if known && s.clock.Now().Sub(created) > s.recordRetention-maxCallerClockSkew {
		return code.NewError(code.MarkLost, "the idempotency key is older than marks are kept")
	}
	return nil
}

// checkLostRecords refuses r when an earlier run's marks may be lost and nothing proves
// that r is a first try: that its key was made after the loss does.
func (s *Set) checkLostRecords(r *Request) error {
	from, any := s.departures.possibleLoss()
	if !any {
		return nil
	}
	created, known := keyCreationTime(r.IdempotencyKey)
	ahead := created.After(s.clock.Now().Add(maxCallerClockSkew))
	if known && !ahead && created.After(from.Add(maxCallerClockSkew)) {
		return nil
	}
	return code.NewError(code.MarkLost, "instances that kept start marks were lost")
}

// keyCreationTime returns the time at which an idempotency key was made, when it is
// a UUID of version 7.
func keyCreationTime(key string) (time.Time, bool) {
	const uuidLength, versionAt = 36, 14
	if len(key) != uuidLength || key[versionAt] != '7' {
		return time.Time{}, false
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(raw) != 16 {
		return time.Time{}, false
	}
	return time.UnixMilli(int64(binary.BigEndian.Uint64(raw[:8]) >> 16)), true
}

package dispatch

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzewind.example/core/code"
	"bronzewind.example/core/keyspace"
)

const maxIdempotencyKeyBytes = 256

// earlierExecutionError reports that a peer holds the record of an earlier
// execution.
type earlierExecutionError struct{ record IdempotencyRecord }

// Error implements error.
func (e *earlierExecutionError) Error() string {
	return "an earlier execution of the request was started"
}

// doOnceOnly executes a once-only request unless an execution for its
// idempotency key was started before. A repeat gets the stored response or
// result code of that execution, see repeatedResponse.
func (d *Dispatcher) doOnceOnly(ctx context.Context, r *Request) (*Response, error) {
	if len(r.IdempotencyKey) > maxIdempotencyKeyBytes {
		return nil, code.NewError(code.MalformedRequest, "the idempotency key has "+strconv.Itoa(len(r.IdempotencyKey))+" bytes, at most "+strconv.Itoa(maxIdempotencyKeyBytes)+" are allowed")
	}
	rec := d.newRecord(r)
	found, err := d.beginExecution(ctx, r, rec)
	if err != nil {
		return nil, err
	}
	if found != nil {
		return repeatedResponse(*found, rec)
	}
	r.record = &rec
	response, err := d.checkAndExecute(ctx, r)
	var earlier *earlierExecutionError
	if errors.As(err, &earlier) {
		d.set.records.replaceWithEarlier(rec, earlier.record)
		return repeatedResponse(earlier.record, rec)
	}
	d.endExecution(rec, response, err)
	return response, err
}

func (d *Dispatcher) checkAndExecute(ctx context.Context, r *Request) (*Response, error) {
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
		Epoch:     d.ownershipEpoch(r.Hash), Sequence: d.set.lastRecordSequence.Add(1), RequestHash: requestHash(r),
	}
}

// ownershipEpoch returns the epoch under which the dispatcher may run requests
// of the request key with hash h: the greater of the epochs of the key's owner
// and of the dispatcher role, so that it grows when either changes. d.mu must
// be held.
func (d *Dispatcher) ownershipEpoch(h keyspace.Hash) uint64 {
	epoch := d.server.Epoch
	if _, keyEpoch, ok := d.service.Lookup(h); ok {
		epoch = max(epoch, keyEpoch)
	}
	return epoch
}

// requestHash returns a hash of the method, URI and length of r, without its
// body, to detect that an idempotency key is reused for a different request.
// Requests that differ only in bodies of equal length are not told apart.
func requestHash(r *Request) uint64 {
	h := xxhash.New()
	for _, s := range []string{r.Method, "\n", r.RequestURI, "\n"} {
		_, _ = h.WriteString(s)
	}
	_ = binary.Write(h, binary.BigEndian, r.Length)
	return h.Sum64()
}

// beginExecution adds rec to the record table. If there is a record with rec's
// record key, beginExecution returns that record instead: at once if it is a
// replica, belongs to a different request or has a result, else when its
// execution has ended, r's deadline has passed or ctx is done. If the record is
// dropped during the wait, beginExecution adds rec.
func (d *Dispatcher) beginExecution(ctx context.Context, r *Request, rec IdempotencyRecord) (*IdempotencyRecord, error) {
	timer := d.set.clock.NewTimer(r.Deadline.Sub(d.set.clock.Now()))
	defer timer.Stop()
	for {
		found, ended, err := d.set.records.begin(rec)
		if err != nil || found == nil || ended == nil || found.RequestHash != rec.RequestHash {
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

// repeatedResponse answers a request whose record key has a record already.
func repeatedResponse(found, rec IdempotencyRecord) (*Response, error) {
	switch {
	case found.RequestHash != rec.RequestHash:
		return nil, code.NewError(code.KeyReused, "the idempotency key was already used for a different request")
	case found.Code == code.OK && found.HasResponse:
		return &Response{
			Status: found.Status, Header: found.Header.Clone(), Length: int64(len(found.Body)),
			Body: io.NopCloser(bytes.NewReader(found.Body)), Buffered: found.Body,
		}, nil
	case found.Code == code.OK:
		return nil, code.NewError(code.AlreadyDone, "the backend server answered an earlier execution of this request, and that response is not stored")
	case found.Code == 0 && found.Epoch != rec.Epoch:
		return nil, code.NewError(code.MarkLost, "an earlier execution of this request was started, and no record of its result was found")
	case found.Code == 0:
		return nil, code.NewError(code.StillRunning, "an earlier execution of this request is still running")
	default:
		return nil, code.NewError(found.Code, "an earlier execution of this request ended with this result or, if the result is still-running, had not ended by the deadline of this request")
	}
}

// endExecution stores how the execution of rec ended. The record of an execution
// that did not happen is removed.
func (d *Dispatcher) endExecution(rec IdempotencyRecord, a *Response, err error) {
	var e *code.Error
	switch {
	case err == nil:
		rec.Code, rec.Status = code.OK, a.Status
		if a.Buffered != nil && len(a.Buffered) <= maxRecordResponseBytes {
			rec.Header, rec.Body, rec.HasResponse = a.Header.Clone(), a.Buffered, true
		}
	case errors.As(err, &e) && e.Code.Outcome() == code.NotRun:
		d.set.records.drop(rec)
		d.set.peerCalls.replicateEnd(DropRecord, rec)
		return
	case e != nil:
		rec.Code = e.Code
	default:
		rec.Code = code.MarkLost
	}
	d.set.records.end(rec)
	d.set.peerCalls.replicateEnd(PutRecord, rec)
}

// checkEarlierExecution returns an error if an earlier execution of r was
// started under another epoch, or if that cannot be excluded.
func (d *Dispatcher) checkEarlierExecution(ctx context.Context, r *Request) error {
	if err := d.set.checkIdempotencyKeyAge(r); err != nil || d.set.peers == nil || d.set.dispatchedForRetention(*r.record) {
		return err
	}
	found, err := d.set.peerCalls.find(ctx, *r.record)
	switch {
	case err != nil:
		return err
	case found != nil:
		return &earlierExecutionError{record: *found}
	default:
		return d.set.checkLostRecords(r)
	}
}

// replicateRecord stores the record of r at peers before the first byte of r
// is sent.
func (d *Dispatcher) replicateRecord(ctx context.Context, r *Request) error {
	if d.set.peers == nil {
		return nil
	}
	found, err := d.set.peerCalls.put(ctx, *r.record)
	if err != nil {
		return err
	}
	if found != nil {
		return &earlierExecutionError{record: *found}
	}
	return d.checkStillOwned(*r.record)
}

// checkStillOwned returns an error when the dispatcher's ownership of the
// request key of rec ended or changed since rec was created.
func (d *Dispatcher) checkStillOwned(rec IdempotencyRecord) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || !d.set.clock.Now().Before(d.grantedUntil) || d.ownershipEpoch(rec.Hash) != rec.Epoch {
		return code.NewError(code.StaleRoute, "ownership of the request key ended or changed while the idempotency record was replicated")
	}
	return nil
}

// dispatchedForRetention reports whether this instance's first once-only request
// under the service and epoch of rec is longer ago than the retention time, so
// that its own record table holds all records of the request key. The first call
// for an epoch stores the time.
func (s *Dispatchers) dispatchedForRetention(rec IdempotencyRecord) bool {
	s.dispatchedSinceMu.Lock()
	defer s.dispatchedSinceMu.Unlock()
	now, key := s.clock.Now(), epochKey{service: rec.Service, epoch: rec.Epoch}
	since, ok := s.dispatchedSince[key]
	if !ok {
		since = now
		s.dispatchedSince[key] = now
	}
	return now.Sub(since) > s.recordRetention
}

// checkIdempotencyKeyAge refuses r when its idempotency key is known to be older
// than the retention time less maxCallerClockSkew: the record of an earlier
// execution may have expired.
func (s *Dispatchers) checkIdempotencyKeyAge(r *Request) error {
	created, known := idempotencyKeyCreatedAt(r.IdempotencyKey)
	if known && s.clock.Now().Sub(created) > s.recordRetention-maxCallerClockSkew {
		return code.NewError(code.MarkLost, "the idempotency key is older than "+(s.recordRetention-maxCallerClockSkew).String()+", so the record of an earlier execution may have expired")
	}
	return nil
}

// checkLostRecords refuses r when the records of an earlier execution may be
// lost, unless the idempotency key of r was created after the possible loss.
func (s *Dispatchers) checkLostRecords(r *Request) error {
	lostBefore, mayBeLost := s.departures.possibleLoss()
	if !mayBeLost {
		return nil
	}
	created, known := idempotencyKeyCreatedAt(r.IdempotencyKey)
	inFuture := created.After(s.clock.Now().Add(maxCallerClockSkew))
	if known && !inFuture && created.After(lostBefore.Add(maxCallerClockSkew)) {
		return nil
	}
	return code.NewError(code.MarkLost, "idempotency records may have been lost, so an earlier execution cannot be excluded")
}

// idempotencyKeyCreatedAt returns the time at which an idempotency key was
// created, if it is a UUID of version 7.
func idempotencyKeyCreatedAt(key string) (time.Time, bool) {
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

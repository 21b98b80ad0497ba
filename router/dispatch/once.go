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

// earlierRunError says that a mark of an earlier run was found at a peer.
type earlierRunError struct{ mark Mark }

// Error implements error.
func (e *earlierRunError) Error() string { return "an earlier run was started" }

// doOnce runs once-only work unless a run of its key was started before; a
// repeat is answered with what is known of that run.
func (d *Dispatcher) doOnce(ctx context.Context, r *Request) (*Answer, error) {
	if len(r.IdempotencyKey) > maxIdempotencyKeyBytes {
		return nil, code.NewError(code.MalformedRequest, "the idempotency key is too long")
	}
	m := d.newMark(r)
	found, err := d.beginOnce(ctx, r, m)
	if err != nil {
		return nil, err
	}
	if found != nil {
		return repeat(*found, m)
	}
	r.mark = &m
	answer, err := d.runOnce(ctx, r)
	var earlier *earlierRunError
	if errors.As(err, &earlier) {
		d.set.marks.adopt(m, earlier.mark)
		return repeat(earlier.mark, m)
	}
	d.endOnce(m, answer, err)
	return answer, err
}

func (d *Dispatcher) runOnce(ctx context.Context, r *Request) (*Answer, error) {
	if err := d.search(ctx, r); err != nil {
		return nil, err
	}
	return d.enqueueAndSend(ctx, r)
}

func (d *Dispatcher) newMark(r *Request) Mark {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Mark{
		MarkKey: MarkKey{Service: r.Service, Hash: r.Hash, Key: r.IdempotencyKey},
		Epoch:   d.rightTo(r.Hash), Run: d.set.runs.Add(1), Print: printOf(r),
	}
}

// rightTo returns the epoch under which the dispatcher may run work of the key
// with hash h; it grows when the owner of the key or the dispatcher changes.
// d.mu is held.
func (d *Dispatcher) rightTo(h keyspace.Hash) uint64 {
	epoch := d.server.Epoch
	if _, owned, ok := d.service.Lookup(h); ok {
		epoch = max(epoch, owned)
	}
	return epoch
}

// printOf tells two requests with the same idempotency key apart.
func printOf(r *Request) uint64 {
	h := xxhash.New()
	for _, s := range []string{r.Method, "\n", r.Target, "\n"} {
		_, _ = h.WriteString(s)
	}
	_ = binary.Write(h, binary.BigEndian, r.Length)
	return h.Sum64()
}

// beginOnce enters m, or returns the mark of an earlier run once that ended or
// the request's time is up.
func (d *Dispatcher) beginOnce(ctx context.Context, r *Request, m Mark) (*Mark, error) {
	timer := d.set.clock.NewTimer(r.Deadline.Sub(d.set.clock.Now()))
	defer timer.Stop()
	for {
		found, ended, err := d.set.marks.begin(m)
		if err != nil || found == nil || ended == nil || found.Print != m.Print {
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

// repeat answers a request whose key has a mark already.
func repeat(found, m Mark) (*Answer, error) {
	switch {
	case found.Print != m.Print:
		return nil, code.NewError(code.KeyReused, "the idempotency key belongs to another request")
	case found.Code == code.OK && found.Kept:
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

// endOnce notes how the run of m ended; of a run that did not happen nothing is
// kept.
func (d *Dispatcher) endOnce(m Mark, a *Answer, err error) {
	var e *code.Error
	switch {
	case err == nil:
		m.Code, m.Status = code.OK, a.Status
		if a.Whole != nil && len(a.Whole) <= maxMarkAnswerBytes {
			m.Header, m.Body, m.Kept = a.Header.Clone(), a.Whole, true
		}
	case errors.As(err, &e) && e.Code.Outcome() == code.NotRun:
		d.set.marks.drop(m)
		d.set.replicas.tellEnd(DropMark, m)
		return
	case e != nil:
		m.Code = e.Code
	default:
		m.Code = code.MarkLost
	}
	d.set.marks.end(m)
	d.set.replicas.tellEnd(PutMark, m)
}

// search makes sure that no earlier run of r was started under another epoch.
func (d *Dispatcher) search(ctx context.Context, r *Request) error {
	if err := d.set.tooOld(r); err != nil || d.set.peers == nil || d.set.longHeld(*r.mark) {
		return err
	}
	found, err := d.set.replicas.find(ctx, *r.mark)
	switch {
	case err != nil:
		return err
	case found != nil:
		return &earlierRunError{mark: *found}
	default:
		return d.set.rule(r)
	}
}

// place puts the mark of r at peers before the first byte of r is sent.
func (d *Dispatcher) place(ctx context.Context, r *Request) error {
	if d.set.peers == nil {
		return nil
	}
	found, err := d.set.replicas.put(ctx, *r.mark)
	if err != nil {
		return err
	}
	if found != nil {
		return &earlierRunError{mark: *found}
	}
	return d.stillHeld(*r.mark)
}

// stillHeld returns an error when the dispatcher's right to the key of m ended
// or changed since m was made.
func (d *Dispatcher) stillHeld(m Mark) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || !d.set.clock.Now().Before(d.until) || d.rightTo(m.Hash) != m.Epoch {
		return code.NewError(code.StaleRoute, "the right to the key ended while the start mark was placed")
	}
	return nil
}

// longHeld reports whether this instance has dispatched the key of m for the
// whole retention time, so that its own table holds all marks of the key.
func (s *Set) longHeld(m Mark) bool {
	s.heldMu.Lock()
	defer s.heldMu.Unlock()
	now, key := s.clock.Now(), epochKey{service: m.Service, epoch: m.Epoch}
	since, ok := s.held[key]
	if !ok {
		since = now
		s.held[key] = now
	}
	return now.Sub(since) > s.retention
}

// tooOld refuses r when its idempotency key is known to be older than marks are
// kept: an earlier run may be forgotten.
func (s *Set) tooOld(r *Request) error {
	created, known := keyCreated(r.IdempotencyKey)
	if known && s.clock.Now().Sub(created) > s.retention-maxCallerSkew {
		return code.NewError(code.MarkLost, "the idempotency key is older than marks are kept")
	}
	return nil
}

// rule refuses r when an earlier run's marks may be lost and nothing proves
// that r is a first try: that its key was made after the loss does.
func (s *Set) rule(r *Request) error {
	from, any := s.history.doubt()
	if !any {
		return nil
	}
	created, known := keyCreated(r.IdempotencyKey)
	ahead := created.After(s.clock.Now().Add(maxCallerSkew))
	if known && !ahead && created.After(from.Add(maxCallerSkew)) {
		return nil
	}
	return code.NewError(code.MarkLost, "instances that kept start marks were lost")
}

// keyCreated returns the time at which an idempotency key was made, when it is
// a UUID of version 7.
func keyCreated(key string) (time.Time, bool) {
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

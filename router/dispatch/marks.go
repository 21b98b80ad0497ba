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
	defaultMarkRetention = 10 * time.Minute
	maxMarks             = 1 << 17
	maxMarkAnswerBytes   = 4 << 10
	maxMarkAnswersBytes  = 16 << 20 // of all marks together
)

type (
	// MarkKey identifies once-only work: a repeat by the caller has the same.
	MarkKey struct {
		Service string        `cbor:"1,keyasint"`
		Hash    keyspace.Hash `cbor:"2,keyasint"`
		Key     string        `cbor:"3,keyasint"` // the caller's idempotency key
	}

	// Mark says that a run of once-only work was started, and how it ended.
	Mark struct {
		MarkKey
		Epoch  uint64      `cbor:"4,keyasint"` // of the dispatcher's right to the key
		Run    uint64      `cbor:"5,keyasint"` // with Epoch unique for the key
		Print  uint64      `cbor:"6,keyasint"` // of the request; a repeat has the same
		Code   code.Code   `cbor:"7,keyasint"` // how the run ended; 0 while it runs
		Status int         `cbor:"8,keyasint,omitempty"`
		Header http.Header `cbor:"9,keyasint,omitempty"`
		Body   []byte      `cbor:"10,keyasint,omitempty"`
		Kept   bool        `cbor:"11,keyasint,omitempty"` // Header and Body are the whole answer
		AgeMs  int64       `cbor:"12,keyasint,omitempty"` // since the run was made, when sent
	}

	// Marks is the bounded table of one instance: the marks of its own runs and
	// those that it keeps for others. A mark is kept for the retention time and
	// is never dropped before; a full table takes no more.
	Marks struct {
		clock     clock.Clock
		retention time.Duration
		limit     int

		mu      sync.Mutex // guards all below
		rows    map[MarkKey]*markRow
		oldest  []*markRow // in order of arrival
		answers int        // bytes of kept answers
	}

	markRow struct {
		mark  Mark
		made  time.Time
		ended chan struct{} // closed at the end of an own run; nil for others
		gone  bool          // no longer in rows
	}
)

func newMarks(c clock.Clock, retention time.Duration, limit int) *Marks {
	return &Marks{clock: c, retention: retention, limit: limit, rows: map[MarkKey]*markRow{}}
}

// begin enters m as an own run. When there is a mark of its key already, that
// one is returned, with a channel that is closed when its run has ended.
func (t *Marks) begin(m Mark) (found *Mark, ended <-chan struct{}, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	if r, ok := t.rows[m.MarkKey]; ok {
		mark := r.mark
		return &mark, r.ended, nil
	}
	if len(t.rows) >= t.limit {
		return nil, nil, code.NewError(code.MarksFull, "too many start marks are kept")
	}
	t.add(&markRow{mark: m, made: t.clock.Now(), ended: make(chan struct{})})
	return nil, nil, nil
}

// put keeps m for another instance, or the newer word of the same run. When
// there is a mark of another run, that one is returned.
func (t *Marks) put(m Mark) (*Mark, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	r, ok := t.rows[m.MarkKey]
	switch {
	case !ok && len(t.rows) >= t.limit:
		return nil, code.NewError(code.MarksFull, "too many start marks are kept")
	case !ok:
		age := time.Duration(m.AgeMs) * time.Millisecond
		t.add(&markRow{mark: m, made: t.clock.Now().Add(-age)})
	case r.mark.voidedBy(m):
		t.remove(r)
		t.add(&markRow{mark: m, made: t.clock.Now()})
	case !r.mark.sameRun(m):
		found := r.mark
		return &found, nil
	case r.mark.Code == 0:
		t.set(r, m)
	}
	return nil, nil
}

// find returns the mark of key, or nil.
func (t *Marks) find(key MarkKey) *Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	if r, ok := t.rows[key]; ok {
		found := r.mark
		return &found
	}
	return nil
}

// end enters how the run of m ended and wakes those that wait for it.
func (t *Marks) end(m Mark) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.rows[m.MarkKey]; ok && r.mark.sameRun(m) {
		t.set(r, m)
		t.wake(r)
	}
}

// drop takes out the mark of a run that provably did not happen.
func (t *Marks) drop(m Mark) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.rows[m.MarkKey]; ok && r.mark.sameRun(m) {
		t.remove(r)
		t.wake(r)
	}
}

// adopt replaces the own run of m by an earlier one that another instance knew.
func (t *Marks) adopt(m, earlier Mark) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rows[m.MarkKey]
	if !ok || !r.mark.sameRun(m) {
		return
	}
	r.mark = Mark{}
	t.set(r, earlier)
	t.wake(r)
}

// all returns all marks with their ages.
func (t *Marks) all() []Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	out := make([]Mark, 0, len(t.rows))
	for _, r := range t.rows {
		m := r.mark
		m.AgeMs = t.clock.Now().Sub(r.made).Milliseconds()
		out = append(out, m)
	}
	return out
}

// The methods below need t.mu held.

func (t *Marks) add(r *markRow) {
	m := r.mark
	r.mark.Header, r.mark.Body, r.mark.Kept = nil, nil, false
	t.rows[m.MarkKey] = r
	t.oldest = append(t.oldest, r)
	t.set(r, m)
}

// set replaces the mark of r; an answer that is too large is not kept.
func (t *Marks) set(r *markRow, m Mark) {
	t.answers -= len(r.mark.Body)
	if len(m.Body) > maxMarkAnswerBytes || t.answers+len(m.Body) > maxMarkAnswersBytes {
		m.Header, m.Body, m.Kept = nil, nil, false
	}
	t.answers += len(m.Body)
	r.mark = m
}

func (t *Marks) remove(r *markRow) {
	t.answers -= len(r.mark.Body)
	delete(t.rows, r.mark.MarkKey)
	r.gone = true
}

func (t *Marks) wake(r *markRow) {
	if r.ended != nil {
		close(r.ended)
		r.ended = nil
	}
}

// expire takes out what is older than the retention time, but for own runs
// that have not ended.
func (t *Marks) expire() {
	past := t.clock.Now().Add(-t.retention)
	for len(t.oldest) > 0 {
		r := t.oldest[0]
		if !r.gone && (r.made.After(past) || r.ended != nil) {
			return
		}
		t.oldest = t.oldest[1:]
		if !r.gone {
			t.remove(r)
		}
	}
}

// voidedBy reports whether the dispatcher that made m made o later: it knows
// that the run of m did not happen.
func (m Mark) voidedBy(o Mark) bool { return m.Epoch == o.Epoch && m.Run < o.Run }

func (m Mark) sameRun(o Mark) bool { return m.Epoch == o.Epoch && m.Run == o.Run }

package dispatch

import (
	"errors"
	"expvar"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bronzewind.example/core/code"
	"bronzewind.example/core/config"
)

const (
	maxWaitMillis = 10 * 60 * 1000
	waitDigits    = 2 // significant digits of a wait
)

type (
	// metrics holds the counters of the dispatchers of one instance.
	metrics struct {
		ranks        [config.RankCount]rankMetrics
		failedByCode *expvar.Map // by name of the result code
		retried      expvar.Int  // attempts that did not run and after which the request was to be queued again; requeue may refuse it
	}

	// rankMetrics holds the counters of one rank.
	rankMetrics struct {
		startedCount   expvar.Int // starts of attempts; a request that is retried counts again
		servedCount    expvar.Int // requests served normally
		servedOnTarget expvar.Int // served normally within the target of their kind
		failedCount    expvar.Int
		slotTimeMicros expvar.Int // slot time of requests served normally
		worthMilliunit expvar.Int // worth of requests served normally within their target, in thousandths
		waits          waitHistogram
	}

	// waitHistogram records, for each start of an attempt, the milliseconds since
	// the request was first queued.
	waitHistogram struct {
		mu        sync.Mutex
		histogram *hdrhistogram.Histogram // guarded by mu
	}
)

func newMetrics() *metrics {
	m := &metrics{failedByCode: new(expvar.Map).Init()}
	for i := range m.ranks {
		m.ranks[i].waits.histogram = hdrhistogram.New(1, maxWaitMillis, waitDigits)
	}
	return m
}

// started counts the start of an attempt of j.
func (m *metrics) started(j *job, now time.Time) {
	r := &m.ranks[j.kind.config.Rank]
	r.startedCount.Add(1)
	r.waits.record(now.Sub(j.queuedAt))
}

// finished counts a job that was served normally.
func (m *metrics) finished(j *job, now time.Time) {
	r := &m.ranks[j.kind.config.Rank]
	r.servedCount.Add(1)
	r.slotTimeMicros.Add(now.Sub(j.started).Microseconds())
	if !now.After(targetTime(j.request, j.kind.config)) {
		r.servedOnTarget.Add(1)
		r.worthMilliunit.Add(int64(j.kind.config.Worth * 1000))
	}
}

// failed counts a request that got no response, whether or not it ran.
func (m *metrics) failed(r *Request, err error) {
	m.ranks[r.Kind.Rank].failedCount.Add(1)
	var e *code.Error
	if errors.As(err, &e) {
		m.failedByCode.Add(e.Code.String(), 1)
	}
}

func (w *waitHistogram) record(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.histogram.RecordValue(min(d.Milliseconds(), maxWaitMillis))
}

// String implements expvar.Var.
func (w *waitHistogram) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := func(q float64) string { return strconv.FormatInt(w.histogram.ValueAtQuantile(q), 10) }
	return `{"p50": ` + at(50) + `, "p99": ` + at(99) + `, "max": ` + strconv.FormatInt(w.histogram.Max(), 10) + `}`
}

// Metrics returns the counters of all dispatchers of s.
func (s *Dispatchers) Metrics() *expvar.Map {
	m := new(expvar.Map).Init()
	for i, name := range []string{"urgent", "normal", "bulk"} {
		m.Set(name, s.rankMap(i))
	}
	m.Set("refused-by-code", s.metrics.failedByCode)
	m.Set("tries-again", &s.metrics.retried)
	m.Set("dispatchers", expvar.Func(func() any { return len(s.dispatchers()) }))
	m.Set("open-slots", expvar.Func(func() any { return s.sum((*Dispatcher).currentOpenSlots) }))
	return m
}

func (s *Dispatchers) rankMap(rank int) *expvar.Map {
	r := &s.metrics.ranks[rank]
	m := new(expvar.Map).Init()
	m.Set("started", &r.startedCount)
	m.Set("answered", &r.servedCount)
	m.Set("answered-within-target", &r.servedOnTarget)
	m.Set("refused", &r.failedCount)
	m.Set("slot-time-us", &r.slotTimeMicros)
	m.Set("worth-served-thousandths", &r.worthMilliunit)
	m.Set("queue-wait-ms", &r.waits)
	m.Set("queued", expvar.Func(func() any {
		return s.sum(func(d *Dispatcher) int { queued, _ := d.rankCounts(config.Rank(rank)); return queued })
	}))
	m.Set("running", expvar.Func(func() any {
		return s.sum(func(d *Dispatcher) int { _, running := d.rankCounts(config.Rank(rank)); return running })
	}))
	return m
}

func (s *Dispatchers) sum(f func(*Dispatcher) int) int {
	n := 0
	for _, d := range s.dispatchers() {
		n += f(d)
	}
	return n
}

// rankCounts returns the numbers of queued and running requests of a rank.
func (d *Dispatcher) rankCounts(rank config.Rank) (queued, running int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, k := range d.queue.kinds {
		if k.config.Rank == rank {
			queued += k.queued
			running += k.running
		}
	}
	return queued, running
}

// currentOpenSlots returns how many requests may run at once now.
func (d *Dispatcher) currentOpenSlots() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.set.clock.Now()
	if !now.Before(d.grantedUntil) {
		return 0
	}
	return min(d.limiter.slots(now), d.slowStart.slots(d.service.Config.ServerSlots, now))
}

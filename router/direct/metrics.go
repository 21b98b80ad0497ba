package direct

import (
	"expvar"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bronzewind.example/core/code"
)

const (
	longestLatency   = 60 * time.Second
	latencyPrecision = 2 // significant figures
)

type (
	// Metrics counts what callers and backend servers got. Each field is shown
	// as JSON under its own name.
	Metrics struct {
		answers     *expvar.Map // by service and status
		refusals    *expvar.Map // by result code
		tries       *expvar.Map // by service and outcome
		dialled     *expvar.Int
		undelivered *expvar.Int
		bytes       *expvar.Map // to and from backend servers, by service and distance
		all         *expvar.Map

		mu        sync.Mutex
		latencies map[string]*hdrhistogram.Histogram // by service and outcome, in microseconds; guarded by mu
	}
)

func newMetrics() *Metrics {
	m := &Metrics{
		answers: new(expvar.Map), refusals: new(expvar.Map), tries: new(expvar.Map),
		dialled: new(expvar.Int), undelivered: new(expvar.Int), bytes: new(expvar.Map), all: new(expvar.Map),
		latencies: map[string]*hdrhistogram.Histogram{},
	}
	m.all.Set("answers", m.answers)
	m.all.Set("refusals", m.refusals)
	m.all.Set("tries", m.tries)
	m.all.Set("connections-opened", m.dialled)
	m.all.Set("answers-not-delivered", m.undelivered)
	m.all.Set("bytes-by-distance", m.bytes)
	m.all.Set("latency-us", expvar.Func(m.quantiles))
	return m
}

// Var returns all metrics of the entry.
func (s *Server) Var() expvar.Var { return s.metrics.all }

func (m *Metrics) tried(service string, d Distance, t attempt) {
	m.bytes.Add(service+"/"+d.String(), t.bytes)
	m.tries.Add(service+"/"+t.outcome.String(), 1)
	if t.dialTime > 0 {
		m.dialled.Add(1)
	}
}

func (m *Metrics) answered(service string, status int, f *refusal, took time.Duration) {
	outcome := "refused"
	if f != nil {
		m.refusals.Add(f.code.String(), 1)
	} else {
		outcome = "answered"
		m.answers.Add(service+"/"+strconv.Itoa(status), 1)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	name := service + "/" + outcome
	h, ok := m.latencies[name]
	if !ok {
		h = hdrhistogram.New(1, longestLatency.Microseconds(), latencyPrecision)
		m.latencies[name] = h
	}
	_ = h.RecordValue(min(took, longestLatency).Microseconds()) // within range
}

// quantiles returns for each histogram its count and some quantiles.
func (m *Metrics) quantiles() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]map[string]int64{}
	for name, h := range m.latencies {
		out[name] = map[string]int64{
			"count": h.TotalCount(), "p50": h.ValueAtQuantile(50), "p90": h.ValueAtQuantile(90),
			"p99": h.ValueAtQuantile(99), "max": h.Max(),
		}
	}
	return out
}

// String names an outcome as metrics and logs do.
func (o outcome) String() string {
	switch o {
	case outcomeDone:
		return code.Done.String()
	case outcomeNotRun:
		return code.NotRun.String()
	case outcomeUnsent:
		return "unsent"
	case outcomeCancelled:
		return "cancelled"
	default:
		return code.Unknown.String()
	}
}

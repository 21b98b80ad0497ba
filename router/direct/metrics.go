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
	maxLatency                = 60 * time.Second
	latencySignificantFigures = 2
)

type (
	// Metrics counts responses to callers and attempts at backend servers. Each
	// metric is published as JSON under the name set in newMetrics.
	Metrics struct {
		responses           *expvar.Map // by service and status
		failures            *expvar.Map // requestFailures by result code; published as refusals
		attempts            *expvar.Map // by service and outcome
		dials               *expvar.Int
		forwarded           *expvar.Map // requests sent by way of another instance, by outcome
		partitions          *expvar.Int // times when the instance began to reach no server
		forgotten           *expvar.Int // idle connections that a server had forgotten
		overConnectionLimit *expvar.Int // new connections that a server reset at once
		overdue             *expvar.Map // responses that were overdue while their servers responded to later requests, by what was done
		streams             *expvar.Map // responses passed on while they were received, by how they ended
		overShare           *expvar.Map // requests refused as beyond their caller's share, by service
		undelivered         *expvar.Int // responses that could not be written to the caller
		healthChecks        *expvar.Map // by what their responses state of the warm-up
		bytes               *expvar.Map // to and from backend servers, by service and distance
		all                 *expvar.Map

		mu        sync.Mutex
		latencies map[string]*hdrhistogram.Histogram // in microseconds, by service and result: answered (a server's response was forwarded) or refused (any requestFailure); guarded by mu
	}
)

func newMetrics() *Metrics {
	m := &Metrics{
		responses: new(expvar.Map), failures: new(expvar.Map), attempts: new(expvar.Map),
		dials: new(expvar.Int), forwarded: new(expvar.Map), streams: new(expvar.Map), overdue: new(expvar.Map), partitions: new(expvar.Int), forgotten: new(expvar.Int), overConnectionLimit: new(expvar.Int), undelivered: new(expvar.Int), overShare: new(expvar.Map), bytes: new(expvar.Map), all: new(expvar.Map),
		healthChecks: new(expvar.Map),
		latencies:    map[string]*hdrhistogram.Histogram{},
	}
	m.all.Set("answers", m.responses)
	m.all.Set("refusals", m.failures)
	m.all.Set("tries", m.attempts)
	m.all.Set("connections-opened", m.dials)
	m.all.Set("forwarded", m.forwarded)
	m.all.Set("partitions", m.partitions)
	m.all.Set("streams", m.streams)
	m.all.Set("overdue-answers", m.overdue)
	m.all.Set("connections-forgotten", m.forgotten)
	m.all.Set("connections-over-limit", m.overConnectionLimit)
	m.all.Set("answers-not-delivered", m.undelivered)
	m.all.Set("health-checks", m.healthChecks)
	m.all.Set("bytes-by-distance", m.bytes)
	m.all.Set("refused-over-share", m.overShare)
	m.all.Set("latency-us", expvar.Func(m.quantiles))
	return m
}

// Var returns all metrics of s.
func (s *Server) Var() expvar.Var { return s.metrics.all }

func (m *Metrics) countAttempt(service string, d Distance, a attemptResult) {
	m.bytes.Add(service+"/"+d.String(), a.bytes)
	m.attempts.Add(service+"/"+a.outcome.String(), 1)
	if a.dialTime > 0 {
		m.dials.Add(1)
	}
}

func (m *Metrics) countRequest(service string, status int, fail *requestFailure, duration time.Duration) {
	result := "refused"
	if fail != nil {
		m.failures.Add(fail.code.String(), 1)
	} else {
		result = "answered"
		m.responses.Add(service+"/"+strconv.Itoa(status), 1)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	name := service + "/" + result
	h, ok := m.latencies[name]
	if !ok {
		h = hdrhistogram.New(1, maxLatency.Microseconds(), latencySignificantFigures)
		m.latencies[name] = h
	}
	_ = h.RecordValue(min(duration, maxLatency).Microseconds()) // fails only outside the histogram's range
}

// quantiles returns the count, some quantiles and the maximum of each histogram.
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

// String returns the outcome as it appears in metrics and logs.
func (o attemptOutcome) String() string {
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

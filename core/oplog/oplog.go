// Package oplog writes the lines that explain a decision afterwards. It never
// blocks its callers: lines of an event beyond its rate, and lines that the
// reader of the output doesn't take in time, are counted and left out.
package oplog

import (
	"context"
	"io"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	queuedLines   = 1024
	ratePerSecond = 20 // lines of one event
	burst         = 40
	summaryEvery  = time.Second
)

type (
	// Log is where one process writes. The zero value is not usable.
	Log struct {
		out     io.Writer
		handler slog.Handler
		lines   chan []byte
		dropped atomic.Uint64 // lines that the reader didn't take

		mu     sync.Mutex
		events map[string]*allowance // guarded by mu
	}

	// allowance bounds the lines of one event.
	allowance struct {
		tokens  float64
		filled  time.Time
		leftOut int
	}
)

// New returns a log in JSON to out; attributes given stand on every line. Run
// has to run for lines to appear.
func New(out io.Writer, attributes ...any) *Log {
	l := &Log{out: out, lines: make(chan []byte, queuedLines), events: map[string]*allowance{}}
	l.handler = slog.New(slog.NewJSONHandler(queue{l}, nil)).With(attributes...).Handler()
	return l
}

// queue hands finished lines to the writing goroutine.
type queue struct{ l *Log }

// Write never blocks and never fails; a line that finds no room is counted.
func (q queue) Write(p []byte) (int, error) {
	select {
	case q.l.lines <- slices.Clone(p):
	default:
		q.l.dropped.Add(1)
	}
	return len(p), nil
}

// Event writes a line that is needed in every case, such as a start, a stop or
// a change of what the process believes. Only a reader that doesn't read can
// make it fail to appear.
func (l *Log) Event(event string, attributes ...any) { l.write(slog.LevelInfo, event, attributes) }

// Limited writes a line of an event that traffic causes, up to the event's rate.
func (l *Log) Limited(event string, attributes ...any) {
	if l.allow(event, time.Now()) {
		l.write(slog.LevelInfo, event, attributes)
	}
}

// Allowed reports whether a Limited line of event would be written now, and
// takes its place in the rate. It saves the cost of attributes that are not
// needed; the line itself is then written with Event.
func (l *Log) Allowed(event string) bool { return l.allow(event, time.Now()) }

func (l *Log) write(level slog.Level, event string, attributes []any) {
	r := slog.NewRecord(time.Now(), level, event, 0)
	r.Add(attributes...)
	_ = l.handler.Handle(context.Background(), r) // queue.Write never fails
}

func (l *Log) allow(event string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.events[event]
	if !ok {
		a = &allowance{tokens: burst, filled: now}
		l.events[event] = a
	}
	a.tokens = min(burst, a.tokens+ratePerSecond*now.Sub(a.filled).Seconds())
	a.filled = now
	if a.tokens < 1 {
		a.leftOut++
		return false
	}
	a.tokens--
	return true
}

// Run writes lines until ctx ends, then those that are queued, and reports its
// end on done.
func (l *Log) Run(ctx context.Context, done chan<- error) {
	ticker := time.NewTicker(summaryEvery)
	defer ticker.Stop()
	var err error
	for ctx.Err() == nil && err == nil {
		select {
		case <-ctx.Done():
		case line := <-l.lines:
			_, err = l.out.Write(line)
		case <-ticker.C:
			l.summarise()
		}
	}
	l.summarise()
	for err == nil && len(l.lines) > 0 {
		_, err = l.out.Write(<-l.lines)
	}
	done <- err
}

// Dropped returns the lines that the reader of the output didn't take.
func (l *Log) Dropped() uint64 { return l.dropped.Load() }

// summarise writes how many lines of which event were left out.
func (l *Log) summarise() {
	l.mu.Lock()
	left := map[string]int{}
	for event, a := range l.events {
		if a.leftOut > 0 {
			left[event] = a.leftOut
			a.leftOut = 0
		}
	}
	l.mu.Unlock()
	for _, event := range slices.Sorted(maps.Keys(left)) {
		l.write(slog.LevelInfo, "lines-left-out", []any{"of-event", event, "count", left[event]})
	}
	if n := l.dropped.Swap(0); n > 0 {
		l.write(slog.LevelWarn, "lines-dropped", []any{"count", n, "reason", "the reader of the output is too slow"})
	}
}

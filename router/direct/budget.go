package direct

import (
	"sync"
	"time"
)

const (
	budgetBuckets = 20 // parts of the window that are counted by themselves

	// budgetSafetyFactor is the share of the fleet's budget that instances use, since
	// each knows only its own part of the window.
	budgetSafetyFactor = 0.7
)

type (
	// BudgetLimits bound the requests sent once more, of all instances together.
	BudgetLimits struct {
		Ratio  float64 // of the requests in the window
		Slack  float64 // besides
		Window time.Duration
	}

	// retryBudget divides the fleet's retryBudget without talk: an instance may repeat a
	// share of its own requests, and its part of the slack. It answers servers
	// that fail or shed while consumers repeat as well.
	retryBudget struct {
		mu        sync.Mutex
		limits    BudgetLimits       // guarded by mu
		instances int                // guarded by mu
		windows   map[string]*window // by service; guarded by mu
	}

	window struct {
		lastBucket int64
		requests   [budgetBuckets]int
		retries    [budgetBuckets]int
	}
)

func newRetryBudget(l BudgetLimits) *retryBudget {
	return &retryBudget{limits: l, instances: 1, windows: map[string]*window{}}
}

// setInstances tells how many instances share the slack.
func (b *retryBudget) setInstances(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = max(1, n)
}

// setLimits replaces the fleet's limits. Counts stay as they are unless the
// window has another length.
func (b *retryBudget) setLimits(l BudgetLimits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.Window != b.limits.Window {
		b.windows = map[string]*window{}
	}
	b.limits = l
}

// countRequest counts a countRequest for service.
func (b *retryBudget) countRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	w.requests[w.lastBucket%budgetBuckets]++
}

// take takes one repeat for service; false when none is left.
func (b *retryBudget) take(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	if float64(sum(w.retries[:])+1) > budgetSafetyFactor*b.allowedRetries(w) {
		return false
	}
	w.retries[w.lastBucket%budgetBuckets]++
	return true
}

// remaining returns the repeats that service may still take.
func (b *retryBudget) remaining(service string, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	return budgetSafetyFactor*b.allowedRetries(w) - float64(sum(w.retries[:]))
}

// allowedRetries returns the fleet's word on what w may hold, for this instance; b.mu
// is held.
func (b *retryBudget) allowedRetries(w *window) float64 {
	return b.limits.Ratio*float64(sum(w.requests[:])) + b.limits.Slack/float64(b.instances)
}

// window returns the counts of service with the past dropped; b.mu is held.
func (b *retryBudget) window(service string, now time.Time) *window {
	w, ok := b.windows[service]
	slot := now.UnixNano() / int64(b.limits.Window/budgetBuckets)
	if !ok {
		w = &window{lastBucket: slot}
		b.windows[service] = w
	}
	if slot-w.lastBucket >= budgetBuckets {
		*w = window{lastBucket: slot}
	}
	for ; w.lastBucket < slot; w.lastBucket++ {
		next := (w.lastBucket + 1) % budgetBuckets
		w.requests[next], w.retries[next] = 0, 0
	}
	return w
}

func sum(counts []int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

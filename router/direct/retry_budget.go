package direct

import (
	"sync"
	"time"
)

const (
	budgetBuckets = 20 // buckets of the sliding window

	// budgetSafetyFactor is the part of the shared budget that instances use. The
	// margin is needed because a retry is allowed by the requests of the window
	// that ends with it, and a later window may contain the retry without those
	// requests. Each instance knows only its own requests and retries, so none can
	// detect that all instances together exceed the shared budget.
	budgetSafetyFactor = 0.7
)

type (
	// RetryBudgetLimits bounds the retries of all instances together, for each service.
	// A new attempt after one in which no byte was sent is not a retry.
	RetryBudgetLimits struct {
		Ratio  float64 // retries per request in the window
		Slack  float64 // retries per window allowed in addition, for all instances together
		Window time.Duration
	}

	// retryBudget divides the shared retry budget without communication between
	// instances: an instance may make Ratio retries per request of its own, plus
	// an even share of the slack. The budget limits the extra load when servers
	// fail or shed requests while callers retry as well.
	retryBudget struct {
		mu        sync.Mutex
		limits    RetryBudgetLimits  // guarded by mu
		instances int                // guarded by mu
		windows   map[string]*window // by service; guarded by mu
	}

	// window counts requests and retries in a sliding window, in a ring of buckets.
	window struct {
		lastBucket int64 // number of the newest bucket since the Unix epoch
		requests   [budgetBuckets]int
		retries    [budgetBuckets]int
	}
)

func newRetryBudget(l RetryBudgetLimits) *retryBudget {
	return &retryBudget{limits: l, instances: 1, windows: map[string]*window{}}
}

// setInstances sets the number of instances that share the slack.
func (b *retryBudget) setInstances(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = max(1, n)
}

// setLimits replaces the shared limits. It resets the counts only if the length
// of the window changes, because the numbers of the buckets depend on it.
func (b *retryBudget) setLimits(l RetryBudgetLimits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.Window != b.limits.Window {
		b.windows = map[string]*window{}
	}
	b.limits = l
}

func (b *retryBudget) countRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	w.requests[w.lastBucket%budgetBuckets]++
}

// take takes one retry for service from the budget. It returns false if the
// budget is exhausted.
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

// charge counts a retry that was made without taking it from the budget before.
func (b *retryBudget) charge(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	w.retries[w.lastBucket%budgetBuckets]++
}

// remaining returns the number of retries left for service.
func (b *retryBudget) remaining(service string, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	return budgetSafetyFactor*b.allowedRetries(w) - float64(sum(w.retries[:]))
}

// allowedRetries returns the number of retries that the shared limits allow
// this instance in w, before the safety factor. b.mu must be held.
func (b *retryBudget) allowedRetries(w *window) float64 {
	return b.limits.Ratio*float64(sum(w.requests[:])) + b.limits.Slack/float64(b.instances)
}

// window returns the counts of service with expired buckets cleared. b.mu must
// be held.
func (b *retryBudget) window(service string, now time.Time) *window {
	w, ok := b.windows[service]
	bucket := now.UnixNano() / int64(b.limits.Window/budgetBuckets)
	if !ok {
		w = &window{lastBucket: bucket}
		b.windows[service] = w
	}
	if bucket-w.lastBucket >= budgetBuckets {
		*w = window{lastBucket: bucket}
	}
	for ; w.lastBucket < bucket; w.lastBucket++ {
		next := (w.lastBucket + 1) % budgetBuckets
		w.requests[next], w.retries[next] = 0, 0
	}
	return w
}

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

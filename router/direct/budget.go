package direct

import (
	"sync"
	"time"
)

const (
	budgetSlots = 20 // parts of the window that are counted by themselves

	// budgetCaution is the share of the fleet's budget that instances use, since
	// each knows only its own part of the window.
	budgetCaution = 0.7
)

type (
	// BudgetLimits bound the requests sent once more, of all instances together.
	BudgetLimits struct {
		Ratio  float64 // of the requests in the window
		Slack  float64 // besides
		Window time.Duration
	}

	// budget divides the fleet's budget without talk: an instance may repeat a
	// share of its own requests, and its part of the slack. It answers servers
	// that fail or shed while consumers repeat as well.
	budget struct {
		mu        sync.Mutex
		limits    BudgetLimits       // guarded by mu
		instances int                // guarded by mu
		rows      map[string]*window // by service; guarded by mu
	}

	window struct {
		slot     int64
		requests [budgetSlots]int
		repeats  [budgetSlots]int
	}
)

func newBudget(l BudgetLimits) *budget {
	return &budget{limits: l, instances: 1, rows: map[string]*window{}}
}

// setInstances tells how many instances share the slack.
func (b *budget) setInstances(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = max(1, n)
}

// setLimits replaces the fleet's limits. Counts stay as they are unless the
// window has another length.
func (b *budget) setLimits(l BudgetLimits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.Window != b.limits.Window {
		b.rows = map[string]*window{}
	}
	b.limits = l
}

// request counts a request for service.
func (b *budget) request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	w.requests[w.slot%budgetSlots]++
}

// spend takes one repeat for service; false when none is left.
func (b *budget) spend(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	if float64(sum(w.repeats[:])+1) > budgetCaution*b.allowed(w) {
		return false
	}
	w.repeats[w.slot%budgetSlots]++
	return true
}

// left returns the repeats that service may still take.
func (b *budget) left(service string, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	return budgetCaution*b.allowed(w) - float64(sum(w.repeats[:]))
}

// allowed returns the fleet's word on what w may hold, for this instance; b.mu
// is held.
func (b *budget) allowed(w *window) float64 {
	return b.limits.Ratio*float64(sum(w.requests[:])) + b.limits.Slack/float64(b.instances)
}

// window returns the counts of service with the past dropped; b.mu is held.
func (b *budget) window(service string, now time.Time) *window {
	w, ok := b.rows[service]
	slot := now.UnixNano() / int64(b.limits.Window/budgetSlots)
	if !ok {
		w = &window{slot: slot}
		b.rows[service] = w
	}
	if slot-w.slot >= budgetSlots {
		*w = window{slot: slot}
	}
	for ; w.slot < slot; w.slot++ {
		next := (w.slot + 1) % budgetSlots
		w.requests[next], w.repeats[next] = 0, 0
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

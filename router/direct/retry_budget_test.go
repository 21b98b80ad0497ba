package direct

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestBudgetHoldsInEachWindow takes every available retry at eight instances
// while the request load shifts between them. In each window, the retries of all
// instances together must stay within the shared budget computed from the
// requests of the same window, of the one before or of the one half a window
// earlier, because the requests that allow a retry are those of the window that
// ends with the retry.
func TestBudgetHoldsInEachWindow(t *testing.T) {
	limits := RetryBudgetLimits{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}
	random := rand.New(rand.NewPCG(2, 2))
	const instances, step, steps = 8, 50 * time.Millisecond, 1200
	var budgets []*retryBudget
	for range instances {
		b := newRetryBudget(limits)
		b.setInstances(instances)
		budgets = append(budgets, b)
	}
	window := int(limits.Window / step)
	requests, retries := make([]int, steps), make([]int, steps)
	now := time.Unix(1000, 0)
	for i := range steps {
		now = now.Add(step)
		busiest := budgets[i/200%instances]
		for _, b := range budgets {
			n := random.IntN(3)
			if b == busiest {
				n += 20
			}
			if i > 600 && i < 700 {
				n = 0 // no requests
			}
			for range n {
				b.countRequest("s", now)
				requests[i]++
			}
			for b.take("s", now) {
				retries[i]++
			}
		}
	}
	for end := window; end < steps; end++ {
		total := func(from, to int) (int, int) {
			var a, b int
			for i := max(0, from); i < to; i++ {
				a, b = a+requests[i], b+retries[i]
			}
			return a, b
		}
		requested, retried := total(end-window, end)
		previous, _ := total(end-2*window, end-window)
		halfWindowEarlier, _ := total(end-window*3/2, end-window/2)
		if allowed := limits.Ratio*float64(max(requested, previous, halfWindowEarlier)) + limits.Slack; float64(retried) > allowed {
			t.Fatalf("%d retries in the window that ends at %v, want at most %v", retried, time.Duration(end)*step, allowed)
		}
	}
}

package caller

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"bronzewind.example/core/code"
	"bronzewind.example/router/dispatch"
)

const (
	firstRetryWait = 4 * time.Millisecond
	lastRetryWait  = 250 * time.Millisecond
	retryBurst     = 10.0 // retries that an idle budget allows at once
)

type (
	// budget bounds the retries of requests that may have run to a share of the
	// first tries. The zero value is ready for use.
	budget struct {
		mu     sync.Mutex
		spent  float64 // from 0, when the whole burst is left, to retryBurst
		denied int64
	}

	// verdict says what follows a try that failed.
	verdict uint8
)

const (
	giveUp verdict = iota
	tryAgain
	tryNotRun // nothing was sent: costs no budget, waits longer each time
)

// earn credits one first try with ratio retries.
func (b *budget) earn(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-ratio)
}

// spend takes one retry from the budget, or returns false when there is none.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > retryBurst {
		b.denied++
		return false
	}
	b.spent++
	return true
}

// judge says whether r is worth another try after e, its retries-th retry.
func judge(e *code.Error, r *dispatch.Request, retries int) verdict {
	switch e.Code {
	case code.StaleRoute, code.NoOwner, code.DispatcherBusy, code.BackendUnreachable, code.MarkNotReplicated:
		return tryNotRun
	}
	if e.Code.Outcome() == code.Unknown && !r.Kind.OnceOnly && retries < r.Kind.Retries {
		return tryAgain
	}
	return giveUp
}

// route runs r on its owner. Another try is made only while the deadline
// allows and the body can be sent again: of a request that provably did not
// run, and of an idempotent one within the retry budget.
func (s *Server) route(ctx context.Context, r *dispatch.Request) (*dispatch.Response, error) {
	s.budget.earn(s.table.Load().Configuration.Limits.RetryBudgetRatio)
	retries, wait := 0, firstRetryWait
	var before past
	for {
		changed := s.change()
		answer, err := s.try(ctx, r)
		if err == nil {
			return answer, nil
		}
		var e *code.Error
		if !errors.As(err, &e) {
			return nil, code.NewError(code.DispatcherLost, err.Error())
		}
		next := judge(e, r, retries)
		e = before.conclude(e)
		if next == giveUp || !rewind(r) {
			return nil, e
		}
		if next == tryAgain {
			if !s.budget.spend() {
				return nil, e
			}
			retries++
		}
		wait = min(wait, r.Deadline.Sub(s.clock.Now()))
		if wait <= 0 || !s.wait(ctx, changed, jitter(wait)) {
			return nil, e
		}
		wait = min(2*wait, lastRetryWait)
	}
}

// past holds the failures of a request's earlier tries. The zero value has none.
type past struct {
	unknown *code.Error // the last one that may have run
	notRun  *code.Error // the last one that was not run, and why
}

// conclude returns what the caller is to be told after a try failed with e: a
// request of which an earlier try may have run is never said not to have run,
// and a refusal for want of time gives way to the failure that took the time.
func (p *past) conclude(e *code.Error) *code.Error {
	if e.Code.Outcome() == code.Unknown {
		p.unknown = e
		return e
	}
	if p.unknown != nil {
		return p.unknown
	}
	short := e.Code == code.DeadlineBeforeStart || e.Code == code.TargetUnreachable
	if short && p.notRun != nil {
		return p.notRun
	}
	p.notRun = e
	return e
}

// jitter returns a duration from half of d to d, so that requests that failed
// together don't return together.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}

// wait waits for d or a newer snapshot; it returns false when the caller's
// time is up.
func (s *Server) wait(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	timer := s.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return ctx.Err() == nil
}

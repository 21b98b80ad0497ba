package load

import (
	"context"
	"strconv"
	"sync"
	"time"

	"bronzewind.example/core/config"
	"bronzewind.example/core/keyspace"
)

// followUpInterval is the time between two follow-up requests to a slot. A gap in
// service is measured to within this time.
const followUpInterval = 50 * time.Millisecond

type (
	// slotKey is a slot of the key space of one service.
	slotKey struct {
		service string
		slot    keyspace.Slot
	}

	// followUps sends requests to each slot on which a request failed until one is
	// served. Without them the next planned request of the slot may be seconds away,
	// and nothing would show when service was back.
	followUps struct {
		runner *Runner
		loops  sync.WaitGroup

		mu       sync.Mutex
		active   map[slotKey]bool // guarded by mu
		outcomes []Outcome        // guarded by mu
	}
)

func newFollowUps(r *Runner) *followUps {
	return &followUps{runner: r, active: map[slotKey]bool{}}
}

func slotOf(c *config.Configuration, service, kind, key string) (slotKey, *config.Kind, bool) {
	v, k, ok := findKind(c, service, kind)
	if !ok {
		return slotKey{}, nil, false
	}
	return slotKey{service: service, slot: keyspace.NewHash(key).Slot(v.Slots)}, k, true
}

// start follows p up if it failed and no other request of its slot is followed up.
func (f *followUps) start(ctx context.Context, p *planned, o Outcome) {
	slot, kind, ok := slotOf(f.runner.config, o.Service, o.Kind, o.Key)
	if !ok || !(attempt{Outcome: o, target: kind.Target.Std()}).failed() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active[slot] {
		return
	}
	f.active[slot] = true
	f.loops.Go(func() { f.run(ctx, slot, p) })
}

// run repeats p under new IDs until one of the requests is served.
func (f *followUps) run(ctx context.Context, slot slotKey, p *planned) {
	defer f.end(slot)
	for n := 1; ; n++ {
		at := time.Since(f.runner.started)
		if !f.runner.sleepUntil(ctx, at+followUpInterval) {
			return
		}
		again := *p
		again.at = time.Since(f.runner.started)
		o := f.runner.outcome(&again)
		o.ID += "-follow-up-" + strconv.Itoa(n)
		o.FollowUp = true
		f.runner.try(ctx, &again, &o)
		o.Ended = time.Since(f.runner.started)
		f.add(o)
		if (attempt{Outcome: o, target: p.kind.Target.Std()}).served() {
			return
		}
	}
}

func (f *followUps) add(o Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcomes = append(f.outcomes, o)
}

func (f *followUps) end(slot slotKey) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.active, slot)
}

// wait returns the outcomes of all follow-up requests once they have ended.
func (f *followUps) wait() []Outcome {
	f.loops.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outcomes
}

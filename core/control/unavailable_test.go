package control

import (
	"slices"
	"testing"
	"time"
)

const (
	// unavailableTarget is the longest time in which a key may be unserved
	// after a loss.
	unavailableTarget = time.Second
	// lossPhases is the number of times, spread over a heartbeat and a grant
	// renewal, at which each loss is tried.
	lossPhases = 12
)

// TestUnavailableTimeAfterLoss loses an instance, a backend server, or both in
// one failure domain, at different times between heartbeats, and prints the
// distribution of the time until all keys are served again.
func TestUnavailableTimeAfterLoss(t *testing.T) {
	for _, tc := range []struct {
		name string
		lose func(f *faultFleet)
	}{
		{"instance", func(f *faultFleet) { f.instances[f.holder(dispatcher)].dead = true }},
		{"coordinator", func(f *faultFleet) { f.instances[f.holder(coordinator)].dead = true }},
		{"backend server", func(f *faultFleet) { f.servers["server-1"].dead = true }},
		{"failure domain", func(f *faultFleet) { f.loseDomain("domain-1") }},
		{"region", func(f *faultFleet) { f.loseDomain("domain-1"); f.loseDomain("domain-4") }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var took []time.Duration
			for phase := range lossPhases {
				f, _ := settled(t, 12, 12, nil)
				f.run(time.Duration(phase) * 150 * time.Millisecond / lossPhases)
				tc.lose(f)
				f.run(faultTick) // authority that was just lost still shows
				took = append(took, faultTick+f.runUntil("served again", 10*time.Second, f.servedByLiving))
			}
			slices.Sort(took)
			t.Logf("unserved for %v to %v, median %v", took[0], took[len(took)-1], took[len(took)/2])
			if worst := took[len(took)-1]; worst > unavailableTarget {
				t.Errorf("unserved for up to %v, want at most %v", worst, unavailableTarget)
			}
		})
	}
}

// loseDomain ends all instances and backend servers of a failure domain.
func (f *faultFleet) loseDomain(domain string) {
	for _, i := range f.instances {
		i.dead = i.dead || i.joined.FailureDomain == domain
	}
	for _, l := range f.list {
		f.servers[l.Name].dead = f.servers[l.Name].dead || l.FailureDomain == domain
	}
}

// servedByLiving reports whether every slot is served by a backend server that
// is not lost.
func (f *faultFleet) servedByLiving() bool {
	n := 0
	for name, s := range f.servers {
		for _, from := range f.senders(name) {
			if !s.dead {
				n += f.instances[from].slots[name]
			}
		}
	}
	return n == 64
}

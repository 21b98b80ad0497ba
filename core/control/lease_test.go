package control

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzewind.example/core/config"
	"bronzewind.example/core/record"
	"bronzewind.example/core/state"
)

func TestFleetOfAnySizeHoldsLeases(t *testing.T) {
	for _, n := range []int{1, 2, 3, 4, 8, 16} {
		f, _ := newSettledFleet(t, n, 6, nil)
		for name, i := range f.instances {
			if !i.core.holdsLease(f.now) {
				t.Errorf("fleet of %d: %s holds no lease", n, name)
			}
		}
		if diff := cmp.Diff([]string(nil), f.endedMemberships); diff != "" {
			t.Errorf("fleet of %d: memberships ended (-want +got):\n%s", n, diff)
		}
	}
}

// role selects an instance that a test crashes.
type role string

const (
	coordinator role = "coordinator"
	dispatcher  role = "dispatcher"
	witness     role = "witness" // of the dispatcher
)

// instanceWithRole returns an instance with the role. The dispatcher is not the
// coordinator unless the coordinator is the only dispatcher; the witness is never
// the coordinator.
func (f *latencyFleet) instanceWithRole(r role) string {
	v := f.reference.Services["orders"]
	dispatching := ""
	for _, name := range v.ServerNames() {
		if dispatching = v.Servers[name].Row.Dispatcher.Instance; dispatching != v.Coordinator.Instance {
			break
		}
	}
	switch r {
	case coordinator:
		return v.Coordinator.Instance
	case dispatcher:
		return dispatching
	default:
		for _, w := range f.reference.Members[dispatching].Witnesses {
			if w.Instance != v.Coordinator.Instance {
				return w.Instance
			}
		}
		return ""
	}
}

func TestKeysAreServedAfterInstanceLoss(t *testing.T) {
	for _, tc := range []struct {
		name   string
		fleet  int
		lost   []role
		within time.Duration
	}{
		{"coordinator", 8, []role{coordinator}, time.Second},
		{"dispatcher", 8, []role{dispatcher}, time.Second},
		{"witness", 8, []role{witness}, time.Second},
		{"dispatcher of 2", 2, []role{dispatcher}, time.Second},
		{"dispatcher of 3", 3, []role{dispatcher}, time.Second},
		{"dispatcher and witness", 8, []role{dispatcher, witness}, time.Second},
		{"dispatcher and coordinator", 8, []role{dispatcher, coordinator}, time.Second},
		{"dispatcher, coordinator and witness", 8, []role{dispatcher, coordinator, witness}, time.Second},
		{"dispatcher and witness of 5", 5, []role{dispatcher, witness}, time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f, _ := newSettledFleet(t, tc.fleet, 6, nil)
			var lost []string
			for _, r := range tc.lost {
				lost = append(lost, f.instanceWithRole(r))
			}
			for _, name := range lost {
				f.instances[name].crashed = true
			}
			took := f.runUntil("all slots served again", 20*time.Second, f.allSlotsServed)
			f.checkSingleSender()
			if took > tc.within {
				t.Errorf("all slots served again after %v, want within %v", took, tc.within)
			}
			t.Logf("lost %v, all slots served again after %v", lost, took)
		})
	}
}

// checkSingleSender fails the test if two instances may send to the same server.
func (f *latencyFleet) checkSingleSender() {
	f.t.Helper()
	for name := range f.servers {
		if got := f.authorizedSenders(name); len(got) > 1 {
			slices.Sort(got)
			f.t.Errorf("at %v: %v are all authorized to send to %s, want at most one", f.now, got, name)
		}
	}
}

func TestKeysAreServedAfterBackendServerLoss(t *testing.T) {
	f, _ := newSettledFleet(t, 8, 6, nil)
	f.servers["server-0"].crashed = true
	took := f.runUntil("all slots served again", 5*time.Second, f.allSlotsServedByRunningServers)
	if took > unavailableTarget {
		t.Errorf("all slots served again after %v, want within %v", took, unavailableTarget)
	}
}

func TestPausedInstanceUsesNoExpiredAuthority(t *testing.T) {
	f, _ := newSettledFleet(t, 8, 6, nil)
	name := f.instanceWithRole(dispatcher)
	i := f.instances[name]
	for _, pause := range []time.Duration{300 * time.Millisecond, 700 * time.Millisecond, 3 * time.Second} {
		i.paused = true
		for range pause / (10 * time.Millisecond) {
			f.run(10 * time.Millisecond)
			f.checkSingleSender()
		}
		i.resume()
		for range 300 {
			f.run(10 * time.Millisecond)
			f.checkSingleSender()
		}
		f.runUntil("all slots served again", 5*time.Second, f.allSlotsServed)
	}
	if !i.core.holdsLease(f.now) {
		t.Errorf("%s holds no lease after its pauses", name)
	}
}

func TestOneWayPartitionReplacesWitness(t *testing.T) {
	f, _ := newSettledFleet(t, 8, 6, nil)
	name := f.instanceWithRole(dispatcher)
	cutOff := f.reference.Members[name].Witnesses[0]
	f.isCut = func(from, to string) bool { return from == name && to == cutOff.Instance }
	f.run(3 * time.Second)
	if !f.allSlotsServed() {
		t.Error("slots are not all served while one witness receives no heartbeats")
	}
	if slices.Contains(f.reference.Members[name].Witnesses, cutOff) {
		t.Errorf("%s still has %s as its witness", name, cutOff)
	}
	if diff := cmp.Diff([]string(nil), f.endedMemberships); diff != "" {
		t.Errorf("memberships ended (-want +got):\n%s", diff)
	}
}

func TestIsolatedInstanceRejoins(t *testing.T) {
	for _, tc := range []struct {
		name    string
		servers bool // backend servers are unreachable, too
		checks  bool // backend servers check grants
	}{
		{"from all processes", true, true},
		{"from instances and log", false, true},
		{"from instances and log, servers check no grants", false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f, _ := newSettledFleet(t, 8, 6, func(c *config.Configuration) { c.Services[0].ChecksGrants = tc.checks })
			name := f.instanceWithRole(dispatcher)
			f.isCut = func(from, to string) bool {
				_, server := f.servers[to]
				return (from == name || to == name) && (tc.servers || !server)
			}
			for range 300 {
				f.run(10 * time.Millisecond)
				f.checkSingleSender()
			}
			f.isCut = func(string, string) bool { return false }
			f.runUntil("slots served and instance rejoined", 5*time.Second, func() bool { return f.allSlotsServed() && f.allWitnessed() })
			if diff := cmp.Diff([]string{"ended " + name}, f.endedMemberships); diff != "" {
				t.Errorf("memberships ended (-want +got):\n%s", diff)
			}
		})
	}
}

func TestSlotsAreServedDuringLogOutage(t *testing.T) {
	f, _ := newSettledFleet(t, 8, 6, nil)
	f.logDown = true
	for range 600 {
		f.run(100 * time.Millisecond)
		if !f.allSlotsServed() {
			t.Fatalf("slots are not all served during the log outage, %v after the start", f.now.Sub(time.Unix(1000, 0)))
		}
	}
	f.logDown = false
	before := len(f.entries)
	f.run(2 * time.Second)
	if n := len(f.entries) - before; n > 5 || len(f.endedMemberships) > 0 {
		t.Errorf("%d records written and memberships %v ended after the log outage, want at most 5 records and none ended", n, f.endedMemberships)
	}
}

func TestWholeFleetRestarts(t *testing.T) {
	f, _ := newSettledFleet(t, 8, 6, nil)
	for name, i := range f.instances {
		i.startIncarnation(name)
	}
	took := f.runUntil("all slots served again", 20*time.Second, func() bool { return f.allSlotsServed() && f.allWitnessed() })
	t.Log(took)
}

func TestConfigurationAfterJoinsEndsNoMembership(t *testing.T) {
	f := newLatencyFleet(t, 4, 3, nil)
	publication := f.entries[0]
	f.entries, f.reference = nil, state.New()
	f.run(5 * time.Second)
	r, err := record.Decode(publication)
	if err != nil {
		t.Fatal(err)
	}
	f.append(r)
	f.runUntil("all slots served", 5*time.Second, f.allSlotsServed)
	if diff := cmp.Diff([]string(nil), f.endedMemberships); diff != "" {
		t.Errorf("memberships ended (-want +got):\n%s", diff)
	}
}

func TestGracefulLeaveHandsRolesOver(t *testing.T) {
	f, _ := newSettledFleet(t, 8, 6, nil)
	name := f.instanceWithRole(dispatcher)
	i := f.instances[name]
	i.deliver(LeaveRequested{})
	took := f.runUntil("roles handed over", 5*time.Second, i.core.RolesHandedOver)
	i.deliver(TrafficStopped{})
	f.runUntil("membership ended", time.Second, func() bool { _, ok := f.reference.Members[name]; return !ok })
	f.runUntil("all slots served", 500*time.Millisecond, f.allSlotsServed)
	f.checkSingleSender()
	t.Log(took)
}

func TestServerWithoutGrantChecksWaitsForDeadlines(t *testing.T) {
	f, _ := newSettledFleet(t, 8, 6, func(c *config.Configuration) { c.Services[0].ChecksGrants = false })
	name := f.instanceWithRole(dispatcher)
	f.instances[name].crashed = true
	took := f.runUntil("slots served by another dispatcher", 2*time.Second, f.allSlotsServed)
	if took > time.Second {
		t.Errorf("slots served by another dispatcher after %v, want within 1 s", took)
	}
	f.run(2 * time.Second)
	f.servers["server-1"].crashed = true
	lost := f.now
	f.runUntil("slots freed", 10*time.Second, func() bool { return !f.reference.Services["orders"].Servers["server-1"].Up })
	deadline := f.reference.Configuration.Services[0].Kinds[0].Patience.Std()
	if took := f.now.Sub(lost); took < deadline {
		t.Errorf("slots of the lost server freed after %v, want at least the deadline of %v", took, deadline)
	}
}

// TestMessagesPerInstanceAreBounded checks the number of messages that one
// instance sends per second in a settled fleet, for fleets of different sizes.
func TestMessagesPerInstanceAreBounded(t *testing.T) {
	for _, n := range []int{8, 16, 64, 128} {
		f, _ := newSettledFleet(t, n, 6, nil)
		clear(f.sentByKind)
		maxWatched := 0
		for _, i := range f.instances {
			maxWatched = max(maxWatched, len(i.core.witness.watchedInOrder))
		}
		f.datagramBytes = 0
		f.run(3 * time.Second)
		total := 0
		for _, k := range f.sentByKind {
			total += k
		}
		perSecond := float64(total) / float64(n) / 3
		t.Logf("%d members: %.1f messages and %.0f bytes a second from each, at most %d watched", n, perSecond, float64(f.datagramBytes)/float64(n)/3, maxWatched)
		if perSecond > 45 || maxWatched > 2*witnessCount {
			t.Errorf("%d members: %.1f messages a second from each, %d watched by one", n, perSecond, maxWatched)
		}
	}
}

func TestMessagesEncodeAndDecode(t *testing.T) {
	want := []Message{
		Heartbeat{Round: 7, Lease: 500 * time.Millisecond},
		HeartbeatResponse{Round: 7},
		LostVote{Member: record.Writer{Instance: "i1", Incarnation: 3}},
	}
	data, err := EncodeMessages(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeMessages(data)
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Errorf("decoded messages differ, error %v (-want +got):\n%s", err, diff)
	}
	if _, err := DecodeMessages([]byte("no messages")); err == nil {
		t.Error("an invalid datagram was decoded without an error")
	}
}

package direct

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzewind.example/core/oplog"
	"bronzewind.example/core/ownership"
)

// TestSuspicionNeedsSeveralServersInARow guards against an instance that takes a crashed or
// slow server for the loss of its own links.
func TestSuspicionNeedsSeveralServersInARow(t *testing.T) {
	servers := make([]*backend, 4)
	for i := range servers {
		servers[i] = &backend{}
	}
	unsent, silent := attemptResult{outcome: outcomeUnsent}, attemptResult{outcome: outcomeUnknown}
	answered, dialed := attemptResult{responded: true}, attemptResult{responded: true, dialTime: time.Millisecond}
	limited := attemptResult{outcome: outcomeUnsent, connLimited: true}
	type sample struct {
		server int
		result attemptResult
	}
	for _, c := range []struct {
		name    string
		samples []sample
		want    bool
	}{
		{"one server fails often", []sample{{0, unsent}, {0, unsent}, {0, silent}, {0, unsent}}, false},
		{"three servers refuse connections", []sample{{0, unsent}, {1, unsent}, {2, unsent}}, true},
		{"three servers are silent", []sample{{0, silent}, {1, silent}, {2, silent}}, true},
		{"another server responds in between", []sample{{0, silent}, {1, silent}, {3, answered}, {2, silent}}, false},
		{"open connections live on while new ones are refused", []sample{{0, unsent}, {3, answered}, {1, unsent}, {3, answered}, {2, unsent}}, true},
		{"a connection could be opened in between", []sample{{0, unsent}, {1, unsent}, {3, dialed}, {2, unsent}}, false},
		{"the instance's own limit", []sample{{0, limited}, {1, limited}, {2, limited}}, false},
	} {
		r := newReachability()
		for _, s := range c.samples {
			r.observe(servers[s.server], s.result)
		}
		if got := r.suspicious(len(servers)); got != c.want {
			t.Errorf("%s: suspicious is %v, want %v", c.name, got, c.want)
		}
	}
}

// TestPartitionEndsAfterSeveralChecks guards against an instance that changes its belief
// with each connection while its links come and go.
func TestPartitionEndsAfterSeveralChecks(t *testing.T) {
	r := newReachability()
	now := time.Unix(1000, 0)
	type row struct{ Changed, Partitioned bool }
	var got []row
	for _, reached := range []bool{true, false, false, true, false, true, true, true} {
		now = now.Add(checkInterval)
		changed, _ := r.conclude(reached, now)
		got = append(got, row{changed, r.partitioned()})
	}
	want := []row{{false, false}, {true, true}, {false, true}, {false, true}, {false, true}, {false, true}, {true, false}, {false, false}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// TestUnreachableServersAreNoPartitionWithoutPeers guards against instances that all give up
// their duties because all servers are down.
func TestUnreachableServersAreNoPartitionWithoutPeers(t *testing.T) {
	refuse := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	s := NewServer(testProtocol, oplog.New(io.Discard), WithDial(refuse))
	s.SetServers([]ServerInfo{{Service: "s", Address: "127.0.0.1:1"}}, time.Now())
	s.checkReachability(t.Context(), s.listedServers())
	if s.ReachesServers() || s.Partitioned() {
		t.Errorf("reaches servers: %v, partitioned: %v, want neither", s.ReachesServers(), s.Partitioned())
	}
	peer := Peer{Name: "other", Address: "127.0.0.1:2"}
	s.ObservePeer(peer, true, time.Now())
	if !s.Partitioned() {
		t.Error("not partitioned although another instance reaches servers")
	}
	s.ObservePeer(peer, false, time.Now())
	if s.Partitioned() {
		t.Error("partitioned although no other instance reaches servers any more")
	}
}

// TestLossOfManyServersIsNoPartition guards against an instance that takes the loss of most
// servers for the loss of its own links, because it looks only at servers that are lost.
func TestLossOfManyServersIsNoPartition(t *testing.T) {
	const lost = 30
	sound := listen(t)
	s := newTestServer(t, Route{Attempts: 1}, false)
	var list []ServerInfo
	for n := range lost {
		list = append(list, ServerInfo{Incarnation: ownership.Incarnation{ID: fmt.Sprint("lost-", n)}, Service: "s", Address: "127.0.0.1:1"})
	}
	s.SetServers(append(list, ServerInfo{Incarnation: ownership.Incarnation{ID: "sound"}, Service: "s", Address: sound}), time.Now())
	for _, b := range s.listedServers() {
		if b.info.Load().ID != "sound" {
			s.reachability.observe(b, attemptResult{outcome: outcomeUnsent})
		}
	}
	if !s.reachability.suspicious(s.serverCount()) {
		t.Fatalf("%d lost servers raise no suspicion", lost)
	}
	s.checkReachability(t.Context(), s.listedServers())
	if !s.ReachesServers() {
		t.Error("partitioned although one server accepts connections")
	}
}

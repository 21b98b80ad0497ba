package direct

import (
	"fmt"
	"io"
	"testing"
	"time"

	"bronzewind.example/core/oplog"
	"bronzewind.example/core/ownership"
)

// TestServerListCost guards against a new list of servers whose cost grows with the product of
// the servers and of those that have ended or left requests unanswered. On a small machine of a
// large fleet that took all of the processor while many servers ended, and the next configuration
// waited for seconds.
func TestServerListCost(t *testing.T) {
	const (
		servers = 2400
		tries   = 7
		most    = 5 // times the cost of a list that has not changed
	)
	var all []ServerInfo
	for i := range servers {
		all = append(all, ServerInfo{
			Incarnation: ownership.Incarnation{ID: fmt.Sprint("i", i), StartedMillis: 1}, Service: "s",
			Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Slots: 6,
		})
	}
	cost := func(prepare func(*Server), list []ServerInfo) (least time.Duration) {
		for range tries { // the least of several, as other processes may interrupt one
			s := NewServer(testProtocol, oplog.New(io.Discard))
			s.SetServers(all, time.Now())
			prepare(s)
			begun := time.Now()
			s.SetServers(list, begun)
			if took := time.Since(begun); least == 0 || took < least {
				least = took
			}
		}
		return least
	}
	unchanged := cost(func(*Server) {}, all)
	for name, got := range map[string]time.Duration{
		"a third has ended": cost(func(*Server) {}, all[servers/3:]),
		"a third left requests unanswered": cost(func(s *Server) {
			for i := range maxSilences {
				b := s.servers.Load().incarnations[all[i].Incarnation].backend
				s.silences.add(silence{backend: b, endedAt: time.Now()})
			}
		}, all),
	} {
		if got > most*unchanged {
			t.Errorf("%s: the list takes %v, unchanged it takes %v, want %d times as long at most", name, got, unchanged, most)
		}
	}
}

package ownership

import (
	"fmt"
	"testing"
	"time"
)

// newBenchGranter returns a granter of 150 servers with three rows each, which is
// what a site of 65 instances comes to after a day with trouble.
func newBenchGranter(b *testing.B) (*Granter, time.Time) {
	b.Helper()
	const servers, parts = 150, 3
	g := NewGranter(testTiming)
	now := time.Unix(1000, 0)
	g.Step(EpochSeen{Epoch: 1, Own: true, ClaimSentAt: now}, now)
	var list []Server
	book := Book{Service: "s", Version: 1, Epoch: 1, Fence: servers * parts}
	for i := range servers {
		l := Life{ID: fmt.Sprint("s", i), Born: 1}
		list = append(list, Server{Life: l, Address: fmt.Sprint("a", i), Slots: 6})
	}
	const width = KeyCount / (servers * parts)
	for i := range uint32(servers * parts) {
		r := Row{Range: Range{From: i * width, To: (i+1)*width - 1}, Owner: list[i%servers].Life, Fence: uint64(i) + 1}
		if i == servers*parts-1 {
			r.To = KeyCount - 1
		}
		book.Rows = append(book.Rows, r)
	}
	g.Step(BookRead{Book: book}, now)
	var demand Demand
	for i := range demand.Buckets {
		demand.Buckets[i] = 5
	}
	g.Step(DemandMeasured{Service: "s", Demand: demand, Work: 10 * time.Millisecond}, now)
	g.Step(ServersListed{Service: "s", Servers: list}, now)
	return g, now
}

// BenchmarkGrantAnswered is the cost of the answer to one renewal, of which
// there are hundreds a second.
func BenchmarkGrantAnswered(b *testing.B) {
	g, now := newBenchGranter(b)
	book := g.service("s").partitionMap
	r := book.Rows[7]
	e := GrantCompleted{Grant: SendGrant{Service: "s", Server: Server{Life: r.Owner}, Range: r.Range, Fence: r.Fence}, SentAt: now}
	b.ReportAllocs()
	for b.Loop() {
		g.Step(e, now)
	}
}

// BenchmarkTick is the cost of looking at everything, 20 times a second.
func BenchmarkTick(b *testing.B) {
	g, now := newBenchGranter(b)
	b.ReportAllocs()
	for b.Loop() {
		g.Step(Ticked{}, now)
	}
}

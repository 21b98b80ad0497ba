package ownership

import (
	"fmt"
	"testing"
	"time"
)

// newBenchGranter returns a granter of 150 servers with three partitions each, as many
// as a deployment of 65 instances has after a day with faults.
func newBenchGranter(b *testing.B) (*Granter, time.Time) {
	b.Helper()
	const servers, parts = 150, 3
	g := NewGranter(testTiming)
	now := time.Unix(1000, 0)
	g.Step(EpochClaimed{Epoch: 1, Own: true, ClaimSentAt: now}, now)
	var list []Server
	m := PartitionMap{Service: "s", Version: 1, Epoch: 1, Fence: servers * parts}
	for i := range servers {
		inc := Incarnation{ID: fmt.Sprint("s", i), StartedMillis: 1}
		list = append(list, Server{Incarnation: inc, Address: fmt.Sprint("a", i), Slots: 6})
	}
	const width = KeyCount / (servers * parts)
	for i := range uint32(servers * parts) {
		p := Partition{Range: Range{From: i * width, To: (i+1)*width - 1}, Owner: list[i%servers].Incarnation, Fence: uint64(i) + 1}
		if i == servers*parts-1 {
			p.To = KeyCount - 1
		}
		m.Partitions = append(m.Partitions, p)
	}
	g.Step(PartitionMapRead{Map: m}, now)
	var demand Demand
	for i := range demand.Buckets {
		demand.Buckets[i] = 5
	}
	g.Step(DemandMeasured{Service: "s", Demand: demand, MeanServiceTime: 10 * time.Millisecond}, now)
	g.Step(ServersListed{Service: "s", Servers: list}, now)
	return g, now
}

// BenchmarkGrantCompleted measures the cost of the result of one renewal. There are
// hundreds of them a second.
func BenchmarkGrantCompleted(b *testing.B) {
	g, now := newBenchGranter(b)
	m := g.service("s").partitionMap
	p := m.Partitions[7]
	e := GrantCompleted{Grant: SendGrant{Service: "s", Server: Server{Incarnation: p.Owner}, Range: p.Range, Fence: p.Fence}, SentAt: now}
	b.ReportAllocs()
	for b.Loop() {
		g.Step(e, now)
	}
}

// BenchmarkTick measures the cost of a tick at which no renewal is due, as the time
// stands still after the first one. A tick scans all partitions, 20 times a second.
func BenchmarkTick(b *testing.B) {
	g, now := newBenchGranter(b)
	b.ReportAllocs()
	for b.Loop() {
		g.Step(Ticked{}, now)
	}
}

package control

import (
	"fmt"
	"testing"
	"time"

	"bronzewind.example/core/record"
)

// BenchmarkHeartbeats measures the handling of one heartbeat of each watched
// member by a member that witnesses three others, in fleets of different sizes.
// The heartbeats of a member are 10 ms of virtual time apart.
func BenchmarkHeartbeats(b *testing.B) {
	for _, n := range []int{8, 64, 1700} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newLatencyFleet(b, 1, 0, nil)
			f.run(time.Second)
			core := f.instances["i0"].core
			members := []record.Writer{core.self}
			for k := 1; k < n; k++ {
				w := record.Writer{Instance: fmt.Sprintf("i%d", k), Incarnation: 1}
				region, domain := testLocation(k)
				f.append(record.Record{ID: "join" + w.Instance, Writer: w, Body: record.InstanceJoined{Region: region, FailureDomain: domain}})
				members = append(members, w)
			}
			for k, w := range members {
				row := record.WitnessRow{Member: w, Base: f.reference.Members[w.Instance].LeaseVersion}
				for d := 1; d <= witnessCount; d++ {
					row.Witnesses = append(row.Witnesses, members[(k+d)%n])
				}
				f.append(record.Record{ID: "name" + w.Instance, Body: record.WitnessesNamed{Rows: []record.WitnessRow{row}}})
			}
			core.Step(RecordsRead{First: core.log.Next(), Entries: f.entries[core.log.Next():], CaughtUp: true}, f.now)
			now := f.now
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(instantFleetTick)
				for _, w := range core.witness.watchedInOrder {
					core.Step(MessageReceived{From: w, Message: Heartbeat{Lease: core.longestLease}}, now)
				}
			}
		})
	}
}

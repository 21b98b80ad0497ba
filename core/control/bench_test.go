package control

import (
	"fmt"
	"maps"
	"runtime"
	"slices"
	"testing"
	"time"

	"bronzewind.example/core/keyspace"
	"bronzewind.example/core/platform"
	"bronzewind.example/core/record"
	"bronzewind.example/core/route"
	"bronzewind.example/core/state"
)

// The fleet size that is planned for, with one backend server per instance.
const (
	fleetInstances = 1700
	fleetServers   = 1700
	fleetSlots     = 1 << 16
)

// largeCore returns a core that coordinates a service of the given size and
// dispatches to its share of the backend servers.
func largeCore(tb testing.TB, instances, servers, slots int) *Core {
	self := record.Writer{Instance: "i0", Incarnation: 1}
	c := NewCore(self, record.InstanceJoined{Region: "east", FailureDomain: "a"})
	offset := uint64(0)
	var entries [][]byte
	add := func(w record.Writer, b record.Body) {
		data, err := record.Encode(record.Record{ID: fmt.Sprint(offset), Writer: w, Since: offset, Body: b})
		if err != nil {
			tb.Fatal(err)
		}
		entries = append(entries, data)
		offset++
	}
	read := func() {
		c.Step(RecordsRead{First: offset - uint64(len(entries)), Entries: entries, CaughtUp: true}, time.Unix(1000, 0))
		entries = nil
	}
	add(record.Writer{}, record.ConfigurationPublished{Document: testDocument(1, slots, "proofs")})
	for i := range instances {
		add(record.Writer{Instance: fmt.Sprintf("i%d", i), Incarnation: 1}, record.InstanceJoined{
			Region: "east", FailureDomain: "a", Control: "10.0.0.1:8103", Forward: "10.0.0.1:8104", Admin: "10.0.0.1:8102", Fingerprint: make([]byte, 32),
		})
	}
	add(self, record.CoordinatorClaimed{Service: "proofs", Term: 1})
	var rows []record.ServerRow
	for i := range servers {
		rows = append(rows, record.ServerRow{
			Name: fmt.Sprintf("s%d", i), Address: "10.0.0.2:9000", Region: "east", FailureDomain: "a",
			Dispatcher: record.Writer{Instance: fmt.Sprintf("i%d", i%instances), Incarnation: 1},
		})
	}
	read()
	v := c.state.Services["proofs"]
	add(self, record.ServersPlaced{Service: "proofs", Term: 1, Base: v.Version, Servers: rows})
	read()
	var ranges []record.SlotRange
	for i, r := range rows {
		add(r.Dispatcher, record.ServerReported{Service: "proofs", Server: r.Name, Epoch: v.Servers[r.Name].Epoch, Up: true, Incarnation: 1})
		ranges = append(ranges, record.SlotRange{First: keyspace.Slot(i * slots / servers), Last: keyspace.Slot((i+1)*slots/servers - 1), Server: r.Name})
		c.listed = append(c.listed, platform.Listed{Name: r.Name, Service: "proofs", Address: r.Address, Region: r.Region, FailureDomain: r.FailureDomain})
	}
	read()
	add(self, record.SlotsAssigned{Service: "proofs", Term: 1, Base: v.Version, Ranges: ranges})
	read()
	var keys []record.KeyRow
	for i := range maxHotKeys {
		h := testHash(i * 64)
		keys = append(keys, record.KeyRow{Hash: h, Server: v.Slots[h.Slot(slots)].Owner})
	}
	add(self, record.SlotsAssigned{Service: "proofs", Term: 1, Base: v.Version, Keys: keys})
	read()
	if len(v.Keys) != maxHotKeys || v.Slots[slots-1].Owner == "" {
		tb.Fatalf("state after the set-up: %d hot keys, last slot %+v", len(v.Keys), v.Slots[slots-1])
	}
	return c
}

func BenchmarkApplyAndDecide(b *testing.B) {
	c := largeCore(b, fleetInstances, fleetServers, fleetSlots)
	v := c.state.Services["proofs"]
	w := v.Servers["s1"].Row.Dispatcher
	now := time.Unix(1000, 0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(5 * time.Millisecond)
		offset := c.state.Next
		data, err := record.Encode(record.Record{
			ID: fmt.Sprint(offset), Writer: w, Since: offset,
			Body: record.ServerReported{Service: "proofs", Server: "s1", Epoch: v.Servers["s1"].Epoch, Up: true, Incarnation: 1},
		})
		if err != nil {
			b.Fatal(err)
		}
		c.Step(RecordsRead{First: offset, Entries: [][]byte{data}, CaughtUp: true}, now)
	}
}

func BenchmarkApply(b *testing.B) {
	c := largeCore(b, fleetInstances, fleetServers, fleetSlots)
	v := c.state.Services["proofs"]
	r := record.Record{
		Writer: v.Servers["s1"].Row.Dispatcher,
		Body:   record.ServerReported{Service: "proofs", Server: "s1", Epoch: v.Servers["s1"].Epoch, Up: true, Incarnation: 1},
	}
	b.ReportAllocs()
	for b.Loop() {
		r.ID, r.Since = fmt.Sprint(c.state.Next), c.state.Next
		if v := c.state.Apply(c.state.Next, r); v != state.Accepted {
			b.Fatal(v, c.state.Reason())
		}
	}
}

func BenchmarkTick(b *testing.B) {
	c := largeCore(b, fleetInstances, fleetServers, fleetSlots)
	now := time.Unix(1000, 0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(20 * time.Millisecond)
		c.Step(Ticked{}, now)
	}
}

func BenchmarkCheckpoint(b *testing.B) {
	c := largeCore(b, fleetInstances, fleetServers, fleetSlots)
	b.ReportAllocs()
	for b.Loop() {
		data, err := state.Encode(c.state)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "bytes")
	}
}

func BenchmarkPlan(b *testing.B) {
	c := largeCore(b, fleetInstances, fleetServers, fleetSlots)
	v := c.state.Services["proofs"]
	conf, _ := c.state.Configuration.Service("proofs")
	now := time.Unix(1000, 0)
	for b.Loop() {
		p := newPlanner(v, conf, c.weightsOf(v, baseSlotWeight(v, conf), now))
		p.placeUnplaced()
		p.balance(conf, len(v.Slots), true)
	}
}

func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkStateMemory reports the memory of the state and the routing table, and
// how it grows with slots, backend servers and instances.
func BenchmarkStateMemory(b *testing.B) {
	size := func(instances, servers, slots int) float64 {
		before := heapBytes()
		s, err := state.Decode(encodedState(b, instances, servers, slots))
		if err != nil {
			b.Fatal(err)
		}
		t := route.NewTable(s)
		after := heapBytes()
		runtime.KeepAlive(s)
		runtime.KeepAlive(t)
		return after - before
	}
	for b.Loop() {
		base := size(1000, 1000, 1<<15)
		b.ReportMetric((size(1000, 1000, 1<<16)-base)/(1<<15), "B/slot")
		b.ReportMetric((size(1000, 4000, 1<<15)-base)/3000, "B/server")
		b.ReportMetric((size(4000, 1000, 1<<15)-base)/3000, "B/instance")
		b.ReportMetric(size(fleetInstances, fleetServers, fleetSlots)/(1<<20), "MB/fleet")
	}
}

func encodedState(tb testing.TB, instances, servers, slots int) []byte {
	data, err := state.Encode(largeCore(tb, instances, servers, slots).state)
	if err != nil {
		tb.Fatal(err)
	}
	return data
}

type placementFunc func(h keyspace.Hash, servers []string) string

func modulo(h keyspace.Hash, servers []string) string {
	return servers[uint64(h)%uint64(len(servers))]
}

func rendezvous(h keyspace.Hash, servers []string) string {
	return slices.MaxFunc(servers, func(a, b string) int {
		x, y := keyspace.NewHash(fmt.Sprint(uint64(h), a)), keyspace.NewHash(fmt.Sprint(uint64(h), b))
		if x < y {
			return -1
		}
		return 1
	})
}

// imbalanceOf returns the largest load of a server as a multiple of the mean.
func imbalanceOf(loads map[keyspace.Hash]float64, servers []string, owner func(keyspace.Hash) string) float64 {
	loadByServer, sum := map[string]float64{}, 0.0
	for h, l := range loads {
		loadByServer[owner(h)] += l
		sum += l
	}
	largest := 0.0
	for _, s := range servers {
		largest = max(largest, loadByServer[s])
	}
	return largest * float64(len(servers)) / sum
}

// BenchmarkPlacement compares ways to place keys: the imbalance before and after
// a server joins, and the share of keys whose owner changes with it.
func BenchmarkPlacement(b *testing.B) {
	const keys, rounds, total = 200_000, 40, 40.0
	for _, exponent := range []float64{0.8, 1.0, 1.1} {
		var servers []string
		for i := range 14 {
			servers = append(servers, fmt.Sprintf("s%d", i))
		}
		withJoined := append(slices.Clone(servers), "s14")
		loads := zipfLoads(keys, exponent, total)
		largest := slices.Max(slices.Collect(maps.Values(loads)))
		report := func(b *testing.B, before, after func(keyspace.Hash) string) {
			churn := 0
			for h := range loads {
				if before(h) != after(h) {
					churn++
				}
			}
			b.ReportMetric(imbalanceOf(loads, servers, before), "imbalance-before")
			b.ReportMetric(imbalanceOf(loads, withJoined, after), "imbalance-after")
			b.ReportMetric(float64(churn)/keys, "churn")
			b.ReportMetric(largest*float64(len(withJoined))/total, "largest-key-after")
		}
		for name, place := range map[string]placementFunc{"modulo": modulo, "rendezvous": rendezvous} {
			b.Run(fmt.Sprintf("zipf-%.1f/%s", exponent, name), func(b *testing.B) {
				for b.Loop() {
					report(b, func(h keyspace.Hash) string { return place(h, servers) }, func(h keyspace.Hash) string { return place(h, withJoined) })
				}
			})
		}
		b.Run(fmt.Sprintf("zipf-%.1f/assignment", exponent), func(b *testing.B) {
			for b.Loop() {
				s := newSimulatedService(servers, loads)
				now := time.Unix(1000, 0)
				for range rounds {
					now = now.Add(balanceInterval)
					s.balanceOnce(now)
				}
				before := map[keyspace.Hash]string{}
				for h := range loads {
					before[h] = s.owner(h)
				}
				s.addServer("s14", 14)
				for range rounds {
					now = now.Add(balanceInterval)
					s.balanceOnce(now)
				}
				report(b, func(h keyspace.Hash) string { return before[h] }, s.owner)
			}
		})
	}
}

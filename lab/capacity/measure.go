package capacity

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"bronzewind.example/core/backend"
	"bronzewind.example/core/config"
	"bronzewind.example/core/control"
	"bronzewind.example/core/keyspace"
	"bronzewind.example/core/record"
	"bronzewind.example/core/route"
	"bronzewind.example/core/state"
)

const (
	repeats   = 5                     // of each timing; the fastest counts
	leastTime = 20 * time.Millisecond // of one timing
	mebibyte  = 1 << 20

	roundOfMoves = 11 * time.Second // past the time between two rounds
	nanosecond   = float64(time.Nanosecond)
)

// measurement is one slope that is to be measured at sizes.
type measurement struct {
	name, of, over string
	sizes          []float64
	at             func(size float64) (float64, error)
}

// measurements returns all slopes that the page needs.
func measurements() []measurement {
	slots := []float64{16_384, 65_536, 262_144}
	servers := []float64{256, 1024, 4096}
	members := []float64{64, 256, 1024}
	return []measurement{
		{"state-memory", "bytes of the folded state", "slots, with a backend server for each 64", slots, stateMemory},
		{"table-memory", "bytes of the snapshot that traffic reads", "slots, with a backend server for each 64", slots, tableMemory},
		{"table-build", "microseconds to build the snapshot", "slots, with a backend server for each 64", slots, tableBuild},
		{"checkpoint", "bytes of a checkpoint", "slots, with a backend server for each 64", slots, checkpointBytes},
		{"fold", "microseconds to fold one record", "backend servers", servers, foldTime},
		{"record", "bytes of a record that reports a backend server", "backend servers", servers, recordBytes},
		{"lookup", "nanoseconds of a lookup from key to dispatcher", "slots", slots, lookupTime},
		{"tick", "microseconds of a tick of control", "backend servers of the fleet, 4 of them its own", servers, tickTime},
		{"plan", "microseconds of a round of the coordinator's plan", "slots, with a backend server for each 64", slots, planTime},
		{"member-memory", "bytes of the folded state", "members", members, memberMemory},
		{"request", "microseconds of processor time, callers and backend server included", "requests through entry and dispatcher", []float64{2000, 4000, 8000}, requestTime},
		{"direct", "microseconds of processor time, callers and backend server included", "requests straight to the backend server", []float64{2000, 4000, 8000}, directTime},
		{"connection", "bytes held, with the caller's end", "idle caller connections", []float64{250, 500, 1000}, connectionMemory},
		{"renewal", "microseconds of processor time, the backend server's end included", "renewals of a grant", []float64{500, 1000, 2000}, renewalTime},
		{"heartbeat", "bytes of a datagram with a heartbeat, with UDP and IP", "members", members, heartbeatBytes},
		{"grant", "bytes of a grant that lists its slots, with its answer", "ranges of slots", []float64{1, 16, 64}, func(n float64) (float64, error) { return grantBytes(grantOf(int(n))) }},
		{"renewal-size", "bytes of a renewal that names an earlier list, with its answer", "ranges of slots", []float64{1, 16, 64}, func(float64) (float64, error) { return grantBytes(renewalOf()) }},
	}
}

// Measure runs all measurements, telling each by progress.
func Measure(machine string, progress func(Slope)) (*Slopes, error) {
	out := &Slopes{Machine: machine}
	for _, m := range measurements() {
		var points []Point
		for _, size := range m.sizes {
			v, err := m.at(size)
			if err != nil {
				return nil, fmt.Errorf("%s at %.0f: %w", m.name, size, err)
			}
			points = append(points, Point{Size: size, Value: v})
		}
		s := NewSlope(m.name, m.of, m.over, points)
		out.Slopes = append(out.Slopes, s)
		progress(s)
	}
	return out, nil
}

func millis(n int) config.Duration { return config.Duration(time.Duration(n) * time.Millisecond) }

// stateOf returns the state of a fleet with one backend server for each 64 slots.
func stateOf(slots float64) (*state.State, error) {
	f, err := newFleet(16, int(slots)/slotsPerServer, int(slots))
	if err != nil {
		return nil, err
	}
	return f.fold()
}

// held returns the bytes that build's result keeps alive.
func held[T any](build func() (T, error)) (float64, error) {
	before := heapBytes()
	v, err := build()
	if err != nil {
		return 0, err
	}
	after := heapBytes()
	runtime.KeepAlive(v)
	return float64(after) - float64(before), nil
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// fastest returns the nanoseconds of one call of f, in the fastest of some runs.
func fastest(f func()) float64 {
	best := 0.0
	for range repeats {
		calls := 0
		started := time.Now()
		for time.Since(started) < leastTime {
			f()
			calls++
		}
		took := float64(time.Since(started).Nanoseconds()) / float64(calls)
		if best == 0 || took < best {
			best = took
		}
	}
	return best
}

func micros(nanos float64) float64 { return nanos / float64(time.Microsecond) }

func stateMemory(slots float64) (float64, error) {
	return held(func() (*state.State, error) { return stateOf(slots) })
}

func memberMemory(members float64) (float64, error) {
	return held(func() (*state.State, error) {
		f, err := newFleet(int(members), 16, 1024)
		if err != nil {
			return nil, err
		}
		return f.fold()
	})
}

func tableMemory(slots float64) (float64, error) {
	s, err := stateOf(slots)
	if err != nil {
		return 0, err
	}
	defer runtime.KeepAlive(s)
	return held(func() (*route.Table, error) { return route.NewTable(s), nil })
}

func tableBuild(slots float64) (float64, error) {
	s, err := stateOf(slots)
	if err != nil {
		return 0, err
	}
	return micros(fastest(func() { route.NewTable(s) })), nil
}

func checkpointBytes(slots float64) (float64, error) {
	s, err := stateOf(slots)
	if err != nil {
		return 0, err
	}
	data, err := state.Encode(s)
	return float64(len(data)), err
}

// foldTime folds reports of one backend server after the other.
func foldTime(servers float64) (float64, error) {
	s, err := stateOf(servers * slotsPerServer)
	if err != nil {
		return 0, err
	}
	v := s.Services["ledger"]
	names := v.ServerNames()
	i := 0
	return micros(fastest(func() {
		i++
		server := v.Servers[names[i%len(names)]]
		s.Apply(s.Next, record.Record{
			ID: fmt.Sprintf("%s/%d", server.Row.Dispatcher, 1_000_000+i), Writer: server.Row.Dispatcher,
			Body: record.ServerReported{Service: "ledger", Server: server.Row.Name, Epoch: server.Epoch, Up: true, Incarnation: uint64(i)},
		})
	})), nil
}

func recordBytes(servers float64) (float64, error) {
	s, err := stateOf(servers * slotsPerServer)
	if err != nil {
		return 0, err
	}
	server := s.Services["ledger"].Servers[name("server", 0)]
	data, err := record.Encode(record.Record{
		ID: server.Row.Dispatcher.String() + "/1000000", Writer: server.Row.Dispatcher,
		Body: record.ServerReported{Service: "ledger", Server: server.Row.Name, Epoch: server.Epoch, Up: true, Incarnation: 1 << 60},
	})
	return float64(len(data)), err
}

func lookupTime(slots float64) (float64, error) {
	s, err := stateOf(slots)
	if err != nil {
		return 0, err
	}
	v, _ := route.NewTable(s).Service("ledger")
	h := keyspace.NewHash("K-1")
	const calls = 1000
	total := fastest(func() {
		for range calls {
			h = h*6364136223846793005 + 1442695040888963407
			v.Lookup(h)
		}
	})
	return total / calls * nanosecond, nil
}

// tickTime steps the control of an instance that dispatches to 4 backend
// servers of a fleet of some.
func tickTime(servers float64) (float64, error) {
	f, err := newFleet(int(servers)/4, int(servers), int(servers)*slotsPerServer)
	if err != nil {
		return 0, err
	}
	c, err := coreOf(f, false)
	if err != nil {
		return 0, err
	}
	now := time.Unix(1_000_000, 0)
	return micros(fastest(func() {
		now = now.Add(time.Microsecond)
		c.Step(control.Ticked{}, now)
	})), nil
}

// planTime steps the control of a coordinator past the time of the next round of
// moves, each time.
func planTime(slots float64) (float64, error) {
	f, err := newFleet(16, int(slots)/slotsPerServer, int(slots))
	if err != nil {
		return 0, err
	}
	c, err := coreOf(f, true)
	if err != nil {
		return 0, err
	}
	now := time.Unix(1_000_000, 0)
	return micros(fastest(func() {
		now = now.Add(roundOfMoves)
		c.Step(control.Ticked{}, now)
	})), nil
}

// coreOf returns the control of the fleet's last member, or of its coordinator,
// caught up.
func coreOf(f *fleet, coordinator bool) (*control.Core, error) {
	s := state.New()
	var entries [][]byte
	encode := func(rs []record.Record) error {
		for _, r := range rs {
			data, err := record.Encode(r)
			if err != nil {
				return err
			}
			entries = append(entries, data)
			s.Apply(s.Next, r)
		}
		return nil
	}
	if err := encode(f.records); err != nil {
		return nil, err
	}
	last := s.Members[s.MemberNames()[len(s.Members)-1]]
	if coordinator {
		last = s.Members[f.writer.Instance]
	}
	if err := encode(f.settle(s)); err != nil {
		return nil, err
	}
	c := control.NewCore(last.Writer, last.Joined)
	c.Step(control.RecordsRead{Entries: entries, CaughtUp: true}, time.Unix(1_000_000, 0))
	return c, nil
}

// grantOf returns a grant of so many ranges of slots.
func grantOf(ranges int) backend.Grant {
	g := backend.Grant{Service: "ledger", Server: name("server", 1), Epoch: 1 << 20, Sequence: 1 << 30, Incarnation: 1 << 60, UntilMicros: 1 << 40}
	for i := range ranges {
		g.Slots = append(g.Slots, record.SlotRange{First: keyspace.Slot(4 * i), Last: keyspace.Slot(4*i + 1), Server: g.Server})
	}
	return g
}

// renewalOf returns a grant of what an earlier one listed.
func renewalOf() backend.Grant {
	g := grantOf(0)
	g.SameAs = 1 << 30
	return g
}

// grantBytes is a grant as it crosses the network: heads of request and
// answer of HTTP/1.1, and the JSON of both.
func grantBytes(g backend.Grant) (float64, error) {
	request, err := json.Marshal(g)
	if err != nil {
		return 0, err
	}
	answer, err := json.Marshal(backend.GrantAnswer{Accepted: true, Incarnation: 1 << 60, ClockMicros: 1 << 40, Epoch: 1 << 20})
	const heads = len("PUT /.bronzewind/grant HTTP/1.1\r\nHost: 127.0.0.1:20501\r\nUser-Agent: Go-http-client/1.1\r\nContent-Length: 1234\r\nAccept-Encoding: gzip\r\n\r\n") +
		len("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nDate: Fri, 04 Dec 2026 06:48:48 GMT\r\nContent-Length: 140\r\n\r\n")
	const packets = 4 * 52 // two segments and two acknowledgements
	return float64(len(request) + len(answer) + heads + packets), err
}

// heartbeatBytes is the larger of a heartbeat and its answer on the network.
func heartbeatBytes(float64) (float64, error) {
	longest := 0
	for _, m := range []control.Message{
		control.Heartbeat{Round: 1 << 30, Lease: time.Second},
		control.HeartbeatResponse{Round: 1 << 30},
	} {
		data, err := control.EncodeMessages([]control.Message{m})
		if err != nil {
			return 0, err
		}
		longest = max(longest, len(data))
	}
	const heads = 16 + 8 + 20 // tag and authentication, UDP, IP
	return float64(longest + heads), nil
}

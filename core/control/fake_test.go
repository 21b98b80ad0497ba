package control

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"bronzewind.example/core/backend"
	"bronzewind.example/core/config"
	"bronzewind.example/core/platform"
	"bronzewind.example/core/record"
	"bronzewind.example/core/state"
)

const (
	testTick    = 20 * time.Millisecond
	nearLatency = 2 * time.Millisecond  // between two processes
	farLatency  = 30 * time.Millisecond // from the log to its readers

	datagramOverhead = 16 + 28 // bytes: sender and checksum, UDP and IP
)

type (
	// testFleet runs cores against a log, a network and backend servers in
	// virtual time.
	testFleet struct {
		t         testing.TB
		now       time.Time
		queue     testQueue
		order     int
		entries   [][]byte
		truth     *state.State // of all entries
		logDown   bool
		list      []platform.Listed
		instances map[string]*testInstance
		servers   map[string]*testServer
		cut       func(from, to string) bool
		sent      map[string]int // messages by kind
		bytes     int            // of datagrams
		events    []string       // what was authorized, lost and so on
	}

	testCall struct {
		at    time.Time
		order int
		run   func()
	}

	testQueue []testCall

	// testInstance is one process of an instance with its present run.
	testInstance struct {
		fleet  *testFleet
		joined record.InstanceJoined
		core   *Core
		number uint64 // of the present run
		dead   bool
		paused bool
		missed []func()
		until  map[string]time.Time // authority by backend server
		epochs map[string]uint64
		slots  map[string]int // granted, by backend server
		held   map[string]bool
	}

	// testServer takes grants as backend servers do.
	testServer struct {
		fleet       *testFleet
		incarnation uint64
		dead        bool
		epoch, seq  uint64
		until       int64
		slots       []record.SlotRange
	}
)

func (q testQueue) Len() int { return len(q) }

func (q testQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q testQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *testQueue) Push(x any)   { *q = append(*q, x.(testCall)) }

func (q *testQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// newTestFleet returns a fleet of n instances and servers over six failure
// domains in three regions.
func newTestFleet(t testing.TB, n, servers int, change func(*config.Configuration)) *testFleet {
	f := &testFleet{
		t: t, now: time.Unix(1000, 0), truth: state.New(), instances: map[string]*testInstance{},
		servers: map[string]*testServer{}, cut: func(string, string) bool { return false }, sent: map[string]int{},
	}
	conf := testConfiguration()
	if change != nil {
		change(&conf)
	}
	document, err := conf.Encode()
	if err != nil {
		t.Fatal(err)
	}
	f.append(record.Record{ID: "publish", Body: record.ConfigurationPublished{Document: document}})
	for i := range servers {
		name := fmt.Sprintf("server-%d", i)
		f.servers[name] = &testServer{fleet: f, incarnation: 1}
		region, domain := testPlace(i)
		f.list = append(f.list, platform.Listed{Name: name, Service: "orders", Address: name, Region: region, FailureDomain: domain})
	}
	for i := range n {
		f.start(fmt.Sprintf("i%d", i), i)
	}
	return f
}

func testPlace(i int) (region, domain string) {
	return fmt.Sprintf("region-%d", i%3), fmt.Sprintf("domain-%d", i%6)
}

func testConfiguration() config.Configuration {
	ms := func(n int) config.Duration { return config.Duration(time.Duration(n) * time.Millisecond) }
	return config.Configuration{
		Version: 1, Fleet: "test", Regions: []config.Region{{Name: "region-0", FailureDomains: []string{"domain-0"}}},
		Timing: config.Timing{
			Lease: ms(500), Heartbeat: ms(150), Grant: ms(400), GrantRenewal: ms(100), DrainLimit: ms(300), DriftPerMil: 10,
		},
		Services: []config.Service{{
			Name: "orders", PathPrefix: "/orders/", Key: config.Key{From: config.KeyFromPath},
			Slots: 64, ServerSlots: 6, Connections: 100, ChecksGrants: true,
			Kinds: []config.Kind{{
				Name: "lookup", Method: "GET", Worth: 1, Target: ms(100), Patience: ms(2000), ServiceTime: ms(10), QueueLimit: 9,
			}},
		}},
	}
}

func (f *testFleet) after(d time.Duration, run func()) {
	f.order++
	heap.Push(&f.queue, testCall{at: f.now.Add(d), order: f.order, run: run})
}

// run lets virtual time pass.
func (f *testFleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		c := heap.Pop(&f.queue).(testCall)
		f.now = c.at
		c.run()
	}
	f.now = end
}

// runUntil lets time pass until done, and returns how much; it fails the test
// after the limit.
func (f *testFleet) runUntil(what string, limit time.Duration, done func() bool) time.Duration {
	f.t.Helper()
	began := f.now
	for !done() {
		if f.now.Sub(began) > limit {
			f.t.Fatalf("%s: not within %v", what, limit)
		}
		f.run(5 * time.Millisecond)
	}
	return f.now.Sub(began)
}

func (f *testFleet) append(r record.Record) {
	data, err := record.Encode(r)
	if err != nil {
		f.t.Fatal(err)
	}
	f.truth.Apply(uint64(len(f.entries)), r)
	f.entries = append(f.entries, data)
}

func (f *testFleet) start(name string, place int) *testInstance {
	region, domain := testPlace(place)
	i := &testInstance{
		fleet:  f,
		joined: record.InstanceJoined{Region: region, FailureDomain: domain, Control: name},
		until:  map[string]time.Time{}, epochs: map[string]uint64{}, slots: map[string]int{}, held: map[string]bool{},
	}
	f.instances[name] = i
	i.restart(name)
	f.after(time.Duration(place)*time.Millisecond, func() { i.tick() })
	f.after(0, func() { i.follow() })
	return i
}

func (i *testInstance) restart(name string) {
	i.number = uint64(i.fleet.now.UnixNano())
	i.core = NewCore(record.Writer{Instance: name, Incarnation: i.number}, i.joined)
	clear(i.until)
}

func (i *testInstance) tick() {
	i.post(Ticked{})
	i.fleet.after(testTick, i.tick)
}

// follow reads the log and the list again and again.
func (i *testInstance) follow() {
	f := i.fleet
	if i.dead {
		return
	}
	core := i.core
	if !f.logDown && !f.cut(core.self.Instance, "log") {
		next := min(core.log.Next(), uint64(len(f.entries)))
		e := RecordsRead{First: next, Entries: f.entries[next:], CaughtUp: next == uint64(len(f.entries))}
		f.after(farLatency, func() { i.postTo(core, e) })
		f.after(farLatency, func() { i.postTo(core, ServersListed{Rows: f.list}) })
	}
	f.after(farLatency, i.follow)
}

func (i *testInstance) post(e Event) { i.postTo(i.core, e) }

// postTo steps a run; what comes in a pause is taken in after it.
func (i *testInstance) postTo(core *Core, e Event) {
	if i.paused {
		i.missed = append(i.missed, func() { i.postTo(core, e) })
		return
	}
	if i.dead || core != i.core {
		return
	}
	for _, effect := range core.Step(e, i.fleet.now) {
		i.carryOut(effect)
	}
}

func (i *testInstance) resume() {
	i.paused = false
	missed := i.missed
	i.missed = nil
	for _, run := range missed {
		run()
	}
}

func (i *testInstance) carryOut(e Effect) {
	f, name := i.fleet, i.core.self.Instance
	switch e := e.(type) {
	case Append:
		f.after(farLatency, func() {
			if !f.logDown && !f.cut(name, "log") {
				f.append(e.Record)
			}
		})
	case SendMessage:
		i.send(e)
	case SendGrant:
		i.sendGrant(e)
	case Authorize:
		i.until[e.Server], i.epochs[e.Server] = e.Until, e.Epoch
		i.slots[e.Server], i.held[e.Server] = 0, len(e.Held) > 0
		for _, r := range e.Granted {
			i.slots[e.Server] += int(r.Last-r.First) + 1
		}
	case HoldSlots:
		i.held[e.Server] = true
		drained := SlotsDrained{Service: e.Service, Server: e.Server, Hold: e.Hold, Ranges: e.Ranges}
		f.after(10*time.Millisecond, func() { i.post(drained) })
	case RunEnded:
		f.events = append(f.events, "ended "+name)
		i.restart(name)
	case SetTable, ReadLog, Log:
	}
}

func (i *testInstance) send(e SendMessage) {
	f, from := i.fleet, i.core.self
	f.sent[fmt.Sprintf("%T", e.Message)]++
	if data, err := EncodeMessages([]Message{e.Message}); err == nil {
		f.bytes += len(data) + datagramOverhead
	}
	to, ok := f.instances[e.To.Instance]
	if !ok || f.cut(from.Instance, e.To.Instance) {
		return
	}
	f.after(nearLatency, func() {
		if to.number == e.To.Incarnation {
			to.post(MessageReceived{From: from, Message: e.Message})
		}
	})
}

func (i *testInstance) sendGrant(e SendGrant) {
	f, s, core := i.fleet, i.fleet.servers[e.Grant.Server], i.core
	answered := GrantAnswered{
		Service: e.Grant.Service, Server: e.Grant.Server, Epoch: e.Grant.Epoch, Sent: f.now, Grant: e.Grant,
	}
	f.after(nearLatency, func() {
		if s.dead || f.cut(core.self.Instance, e.Grant.Server) {
			return
		}
		answered.Answer = s.take(e.Grant)
		f.after(nearLatency, func() { i.postTo(core, answered) })
	})
}

func (s *testServer) clock() int64 { return s.fleet.now.UnixMicro() }

func (s *testServer) take(g backend.Grant) backend.GrantAnswer {
	a := backend.GrantAnswer{Incarnation: s.incarnation, ClockMicros: s.clock()}
	if g.Incarnation == s.incarnation && (g.Epoch > s.epoch || g.Epoch == s.epoch && g.Sequence > s.seq) {
		s.epoch, s.seq, s.until, s.slots, a.Accepted = g.Epoch, g.Sequence, g.UntilMicros, g.Slots, true
	}
	return a
}

// senders returns the instances that may send work to the server now.
func (f *testFleet) senders(server string) []string {
	var out []string
	for name, i := range f.instances {
		if !i.dead && f.now.Before(i.until[server]) && !i.held[server] && i.slots[server] > 0 {
			out = append(out, name)
		}
	}
	return out
}

// served reports whether every slot is granted and authorized somewhere.
func (f *testFleet) served() bool {
	n := 0
	for name := range f.servers {
		for _, from := range f.senders(name) {
			n += f.instances[from].slots[name]
		}
	}
	return n == 64
}

// settled returns a fleet in which all instances hold leases and all slots are
// served, and the coordinator of the service.
func settled(t testing.TB, n, servers int, change func(*config.Configuration)) (*testFleet, string) {
	t.Helper()
	f := newTestFleet(t, n, servers, change)
	f.runUntil("served at first", 20*time.Second, func() bool { return f.served() && f.witnessed() })
	f.run(2 * time.Second)
	return f, f.truth.Services["orders"].Coordinator.Instance
}

// witnessed reports whether all instances have witnesses, or need none.
func (f *testFleet) witnessed() bool {
	want := min(witnessCount, len(f.instances)-1)
	for _, m := range f.truth.Members {
		if want >= minWitnesses && len(m.Witnesses) != want {
			return false
		}
	}
	return len(f.truth.Members) == len(f.instances)
}

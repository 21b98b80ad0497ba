package control

import (
	pq "container/heap"
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
	faultTick   = 20 * time.Millisecond
	nearLatency = 2 * time.Millisecond  // between two processes
	farLatency  = 30 * time.Millisecond // from the log to its readers

	datagramOverhead = 16 + 28 // bytes: sender and checksum, UDP and IP
)

type (
	// faultFleet runs cores against a log, a network and backend servers in
	// virtual time.
	faultFleet struct {
		t         testing.TB
		now       time.Time
		queue     faultQueue
		order     int
		entries   [][]byte
		truth     *state.State // of all entries
		logDown   bool
		list      []platform.Listed
		instances map[string]*faultInstance
		servers   map[string]*faultServer
		cut       func(from, to string) bool
		sent      map[string]int // messages by kind
		bytes     int            // of datagrams
		events    []string       // what was authorized, lost and so on
	}

	faultCall struct {
		at    time.Time
		order int
		run   func()
	}

	faultQueue []faultCall

	// faultInstance is one process of an instance with its present run.
	faultInstance struct {
		fleet  *faultFleet
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

	// faultServer takes grants as backend servers do.
	faultServer struct {
		fleet       *faultFleet
		incarnation uint64
		dead        bool
		epoch, seq  uint64
		until       int64
		slots       []record.SlotRange
	}
)

func (q faultQueue) Len() int { return len(q) }

func (q faultQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q faultQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *faultQueue) Push(x any)   { *q = append(*q, x.(faultCall)) }

func (q *faultQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// newFaultFleet returns a fleet of n instances and servers over six failure
// domains in three regions.
func newFaultFleet(t testing.TB, n, servers int, change func(*config.Configuration)) *faultFleet {
	f := &faultFleet{
		t: t, now: time.Unix(1000, 0), truth: state.New(), instances: map[string]*faultInstance{},
		servers: map[string]*faultServer{}, cut: func(string, string) bool { return false }, sent: map[string]int{},
	}
	conf := faultConfiguration()
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
		f.servers[name] = &faultServer{fleet: f, incarnation: 1}
		region, domain := faultPlace(i)
		f.list = append(f.list, platform.Listed{Name: name, Service: "orders", Address: name, Region: region, FailureDomain: domain})
	}
	for i := range n {
		f.start(fmt.Sprintf("i%d", i), i)
	}
	return f
}

func faultPlace(i int) (region, domain string) {
	return fmt.Sprintf("region-%d", i%3), fmt.Sprintf("domain-%d", i%6)
}

func faultConfiguration() config.Configuration {
	ms := func(n int) config.Duration { return config.Duration(time.Duration(n) * time.Millisecond) }
	return config.Configuration{
		Version: 1, Fleet: "test", Regions: []config.Region{{Name: "region-0", FailureDomains: []string{"domain-0"}}},
		Timing: config.Timing{
			Lease: ms(500), Heartbeat: ms(150), Grant: ms(400), GrantRenewal: ms(100), DriftPerMil: 10,
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

func (f *faultFleet) after(d time.Duration, run func()) {
	f.order++
	pq.Push(&f.queue, faultCall{at: f.now.Add(d), order: f.order, run: run})
}

// run lets virtual time pass.
func (f *faultFleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		c := pq.Pop(&f.queue).(faultCall)
		f.now = c.at
		c.run()
	}
	f.now = end
}

// runUntil lets time pass until done, and returns how much; it fails the test
// after the limit.
func (f *faultFleet) runUntil(what string, limit time.Duration, done func() bool) time.Duration {
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

func (f *faultFleet) append(r record.Record) {
	data, err := record.Encode(r)
	if err != nil {
		f.t.Fatal(err)
	}
	f.truth.Apply(uint64(len(f.entries)), r)
	f.entries = append(f.entries, data)
}

func (f *faultFleet) start(name string, place int) *faultInstance {
	region, domain := faultPlace(place)
	i := &faultInstance{
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

func (i *faultInstance) restart(name string) {
	i.number = uint64(i.fleet.now.UnixNano())
	i.core = NewCore(record.Writer{Instance: name, Incarnation: i.number}, i.joined)
	clear(i.until)
}

func (i *faultInstance) tick() {
	i.post(Ticked{})
	i.fleet.after(faultTick, i.tick)
}

// follow reads the log and the list again and again.
func (i *faultInstance) follow() {
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

func (i *faultInstance) post(e Event) { i.postTo(i.core, e) }

// postTo steps a run; what comes in a pause is taken in after it.
func (i *faultInstance) postTo(core *Core, e Event) {
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

func (i *faultInstance) resume() {
	i.paused = false
	missed := i.missed
	i.missed = nil
	for _, run := range missed {
		run()
	}
}

func (i *faultInstance) carryOut(e Effect) {
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
		drained := SlotsDrained(e)
		f.after(10*time.Millisecond, func() { i.post(drained) })
	case RunEnded:
		f.events = append(f.events, "ended "+name)
		i.restart(name)
	case SetTable, ReadLog, Log:
	}
}

func (i *faultInstance) send(e SendMessage) {
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

func (i *faultInstance) sendGrant(e SendGrant) {
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

func (s *faultServer) clock() int64 { return s.fleet.now.UnixMicro() }

func (s *faultServer) take(g backend.Grant) backend.GrantAnswer {
	a := backend.GrantAnswer{Incarnation: s.incarnation, ClockMicros: s.clock()}
	if g.Incarnation == s.incarnation && (g.Epoch > s.epoch || g.Epoch == s.epoch && g.Sequence > s.seq) {
		s.epoch, s.seq, s.until, s.slots, a.Accepted = g.Epoch, g.Sequence, g.UntilMicros, g.Slots, true
	}
	return a
}

// senders returns the instances that may send work to the server now.
func (f *faultFleet) senders(server string) []string {
	var out []string
	for name, i := range f.instances {
		if !i.dead && f.now.Before(i.until[server]) && !i.held[server] && i.slots[server] > 0 {
			out = append(out, name)
		}
	}
	return out
}

// served reports whether every slot is granted and authorized somewhere.
func (f *faultFleet) served() bool {
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
func settled(t testing.TB, n, servers int, change func(*config.Configuration)) (*faultFleet, string) {
	t.Helper()
	f := newFaultFleet(t, n, servers, change)
	f.runUntil("served at first", 20*time.Second, func() bool { return f.served() && f.witnessed() })
	f.run(2 * time.Second)
	return f, f.truth.Services["orders"].Coordinator.Instance
}

// witnessed reports whether all instances have witnesses, or need none.
func (f *faultFleet) witnessed() bool {
	want := min(witnessCount, len(f.instances)-1)
	for _, m := range f.truth.Members {
		if want >= minWitnesses && len(m.Witnesses) != want {
			return false
		}
	}
	return len(f.truth.Members) == len(f.instances)
}

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
	latencyFleetTick = 20 * time.Millisecond
	processLatency   = 2 * time.Millisecond  // between two processes
	logLatency       = 30 * time.Millisecond // from the log and the list to their readers, and from writers to the log; also the interval at which log and list are polled

	datagramOverhead = 16 + 28 // bytes: sender and checksum, UDP and IP
)

type (
	// latencyFleet runs cores against a log, a network and backend servers in
	// virtual time. Messages take time and links can be cut.
	latencyFleet struct {
		t                testing.TB
		now              time.Time
		queue            callQueue
		callCount        int
		entries          [][]byte
		reference        *state.State // after all entries
		logDown          bool
		listed           []platform.Listed
		instances        map[string]*latencyInstance
		servers          map[string]*latencyServer
		isCut            func(from, to string) bool
		sentByKind       map[string]int // number of messages by type
		datagramBytes    int            // total size of the datagrams sent
		endedMemberships []string       // "ended NAME" for each membership that ended, in order
	}

	scheduledCall struct {
		at    time.Time
		order int // of scheduling; breaks ties in time
		run   func()
	}

	callQueue []scheduledCall

	// latencyInstance is one instance in its current incarnation.
	latencyInstance struct {
		fleet            *latencyFleet
		joined           record.InstanceJoined
		core             *Core
		incarnation      uint64
		crashed          bool
		paused           bool
		deferredEvents   []func()
		authorizedUntil  map[string]time.Time // by backend server
		authorizedEpochs map[string]uint64
		grantedSlots     map[string]int // number of slots, by backend server
		hasPausedSlots   map[string]bool
	}

	// latencyServer accepts grants as backend servers do.
	latencyServer struct {
		fleet            *latencyFleet
		incarnation      uint64
		crashed          bool
		epoch, sequence  uint64
		grantUntilMicros int64
		slots            []record.SlotRange
	}
)

func (q callQueue) Len() int { return len(q) }

func (q callQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q callQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *callQueue) Push(x any)   { *q = append(*q, x.(scheduledCall)) }

func (q *callQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// newLatencyFleet returns a fleet of n instances and servers over six failure
// domains in three regions.
func newLatencyFleet(t testing.TB, n, servers int, change func(*config.Configuration)) *latencyFleet {
	f := &latencyFleet{
		t: t, now: time.Unix(1000, 0), reference: state.New(), instances: map[string]*latencyInstance{},
		servers: map[string]*latencyServer{}, isCut: func(string, string) bool { return false }, sentByKind: map[string]int{},
	}
	conf := latencyFleetConfiguration()
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
		f.servers[name] = &latencyServer{fleet: f, incarnation: 1}
		region, domain := testLocation(i)
		f.listed = append(f.listed, platform.Listed{Name: name, Service: "orders", Address: name, Region: region, FailureDomain: domain})
	}
	for i := range n {
		f.start(fmt.Sprintf("i%d", i), i)
	}
	return f
}

func testLocation(i int) (region, domain string) {
	return fmt.Sprintf("region-%d", i%3), fmt.Sprintf("domain-%d", i%6)
}

func latencyFleetConfiguration() config.Configuration {
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

func (f *latencyFleet) after(d time.Duration, run func()) {
	f.callCount++
	pq.Push(&f.queue, scheduledCall{at: f.now.Add(d), order: f.callCount, run: run})
}

// run advances virtual time by d.
func (f *latencyFleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		c := pq.Pop(&f.queue).(scheduledCall)
		f.now = c.at
		c.run()
	}
	f.now = end
}

// runUntil advances virtual time until done returns true, and returns the time
// that passed. It fails the test if more than limit passes.
func (f *latencyFleet) runUntil(condition string, limit time.Duration, done func() bool) time.Duration {
	f.t.Helper()
	began := f.now
	for !done() {
		if f.now.Sub(began) > limit {
			f.t.Fatalf("%s: not reached within %v", condition, limit)
		}
		f.run(5 * time.Millisecond)
	}
	return f.now.Sub(began)
}

func (f *latencyFleet) append(r record.Record) {
	data, err := record.Encode(r)
	if err != nil {
		f.t.Fatal(err)
	}
	f.reference.Apply(uint64(len(f.entries)), r)
	f.entries = append(f.entries, data)
}

func (f *latencyFleet) start(name string, place int) *latencyInstance {
	region, domain := testLocation(place)
	i := &latencyInstance{
		fleet:           f,
		joined:          record.InstanceJoined{Region: region, FailureDomain: domain, Control: name},
		authorizedUntil: map[string]time.Time{}, authorizedEpochs: map[string]uint64{}, grantedSlots: map[string]int{}, hasPausedSlots: map[string]bool{},
	}
	f.instances[name] = i
	i.startIncarnation(name)
	f.after(time.Duration(place)*time.Millisecond, func() { i.tick() })
	f.after(0, func() { i.pollLogAndList() })
	return i
}

func (i *latencyInstance) startIncarnation(name string) {
	i.incarnation = uint64(i.fleet.now.UnixNano())
	i.core = NewCore(record.Writer{Instance: name, Incarnation: i.incarnation}, i.joined)
	clear(i.authorizedUntil)
}

func (i *latencyInstance) tick() {
	i.deliver(Ticked{})
	i.fleet.after(latencyFleetTick, i.tick)
}

// pollLogAndList polls the log and the list of backend servers.
func (i *latencyInstance) pollLogAndList() {
	f := i.fleet
	if i.crashed {
		return
	}
	core := i.core
	if !f.logDown && !f.isCut(core.self.Instance, "log") {
		next := min(core.log.Next(), uint64(len(f.entries)))
		e := RecordsRead{First: next, Entries: f.entries[next:], CaughtUp: next == uint64(len(f.entries))}
		f.after(logLatency, func() { i.deliverTo(core, e) })
		f.after(logLatency, func() { i.deliverTo(core, ServersListed{Rows: f.listed}) })
	}
	f.after(logLatency, i.pollLogAndList)
}

func (i *latencyInstance) deliver(e Event) { i.deliverTo(i.core, e) }

// deliverTo steps core with e, or defers e to the end of the pause if the
// instance is paused. Events for an earlier incarnation are dropped.
func (i *latencyInstance) deliverTo(core *Core, e Event) {
	if i.paused {
		i.deferredEvents = append(i.deferredEvents, func() { i.deliverTo(core, e) })
		return
	}
	if i.crashed || core != i.core {
		return
	}
	for _, effect := range core.Step(e, i.fleet.now) {
		i.carryOut(effect)
	}
}

func (i *latencyInstance) resume() {
	i.paused = false
	deferred := i.deferredEvents
	i.deferredEvents = nil
	for _, run := range deferred {
		run()
	}
}

func (i *latencyInstance) carryOut(e Effect) {
	f, name := i.fleet, i.core.self.Instance
	switch e := e.(type) {
	case Append:
		f.after(logLatency, func() {
			if !f.logDown && !f.isCut(name, "log") {
				f.append(e.Record)
			}
		})
	case SendMessage:
		i.send(e)
	case SendGrant:
		i.sendGrant(e)
	case Authorize:
		i.authorizedUntil[e.Server], i.authorizedEpochs[e.Server] = e.Until, e.Epoch
		i.grantedSlots[e.Server], i.hasPausedSlots[e.Server] = 0, len(e.PausedSlots) > 0
		for _, r := range e.Granted {
			i.grantedSlots[e.Server] += int(r.Last-r.First) + 1
		}
	case PauseSlots:
		i.hasPausedSlots[e.Server] = true
		drained := SlotsDrained(e)
		f.after(10*time.Millisecond, func() { i.deliver(drained) })
	case MembershipEnded:
		f.endedMemberships = append(f.endedMemberships, "ended "+name)
		i.startIncarnation(name)
	case SetTable, ReadLog, Log:
	}
}

func (i *latencyInstance) send(e SendMessage) {
	f, from := i.fleet, i.core.self
	f.sentByKind[fmt.Sprintf("%T", e.Message)]++
	if data, err := EncodeMessages([]Message{e.Message}); err == nil {
		f.datagramBytes += len(data) + datagramOverhead
	}
	to, ok := f.instances[e.To.Instance]
	if !ok || f.isCut(from.Instance, e.To.Instance) {
		return
	}
	f.after(processLatency, func() {
		if to.incarnation == e.To.Incarnation {
			to.deliver(MessageReceived{From: from, Message: e.Message})
		}
	})
}

func (i *latencyInstance) sendGrant(e SendGrant) {
	f, s, core := i.fleet, i.fleet.servers[e.Grant.Server], i.core
	completed := GrantCompleted{
		Service: e.Grant.Service, Server: e.Grant.Server, Epoch: e.Grant.Epoch, Sent: f.now, Grant: e.Grant,
	}
	f.after(processLatency, func() {
		if s.crashed || f.isCut(core.self.Instance, e.Grant.Server) {
			return
		}
		completed.Response = s.handleGrant(e.Grant)
		f.after(processLatency, func() { i.deliverTo(core, completed) })
	})
}

func (s *latencyServer) clockMicros() int64 { return s.fleet.now.UnixMicro() }

func (s *latencyServer) handleGrant(g backend.Grant) backend.GrantAnswer {
	a := backend.GrantAnswer{Incarnation: s.incarnation, ClockMicros: s.clockMicros()}
	if g.Incarnation == s.incarnation && (g.Epoch > s.epoch || g.Epoch == s.epoch && g.Sequence > s.sequence) {
		s.epoch, s.sequence, s.grantUntilMicros, s.slots, a.Accepted = g.Epoch, g.Sequence, g.UntilMicros, g.Slots, true
	}
	return a
}

// authorizedSenders returns the instances that may send requests to the server
// now.
func (f *latencyFleet) authorizedSenders(server string) []string {
	var out []string
	for name, i := range f.instances {
		if !i.crashed && f.now.Before(i.authorizedUntil[server]) && !i.hasPausedSlots[server] && i.grantedSlots[server] > 0 {
			out = append(out, name)
		}
	}
	return out
}

// allSlotsServed reports whether every slot is granted to a backend server and an
// instance is authorized to send requests for the slot.
func (f *latencyFleet) allSlotsServed() bool {
	n := 0
	for name := range f.servers {
		for _, from := range f.authorizedSenders(name) {
			n += f.instances[from].grantedSlots[name]
		}
	}
	return n == 64 // all slots of the service
}

// newSettledFleet returns a fleet in which all instances hold leases and all
// slots are served, and the name of the service's coordinator.
func newSettledFleet(t testing.TB, n, servers int, change func(*config.Configuration)) (*latencyFleet, string) {
	t.Helper()
	f := newLatencyFleet(t, n, servers, change)
	f.runUntil("slots served after the start", 20*time.Second, func() bool { return f.allSlotsServed() && f.allWitnessed() })
	f.run(2 * time.Second)
	return f, f.reference.Services["orders"].Coordinator.Instance
}

// allWitnessed reports whether all instances are members and have all their
// witnesses, if the fleet is large enough for witnesses.
func (f *latencyFleet) allWitnessed() bool {
	want := min(witnessCount, len(f.instances)-1)
	for _, m := range f.reference.Members {
		if want >= minWitnesses && len(m.Witnesses) != want {
			return false
		}
	}
	return len(f.reference.Members) == len(f.instances)
}

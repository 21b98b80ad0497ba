package control_test

import (
	"slices"
	"time"

	"bronzewind.example/core/backend"
	"bronzewind.example/core/control"
	"bronzewind.example/core/keyspace"
	"bronzewind.example/core/record"
	"bronzewind.example/core/state"
)

// drainTimeout is how long a probe may run after its key was paused; then it is
// cancelled.
const drainTimeout = 300 * time.Millisecond

type (
	// fakeLog is the log service. It applies every record as it is appended, so
	// that its state is the reference with which readers are compared.
	fakeLog struct {
		fleet         *fleet
		entries       [][]byte
		appendedAt    []time.Duration // by offset
		oldest        uint64          // offset of the oldest record kept
		reference     *state.State
		down          bool
		dropsAppends  bool    // no append takes effect
		slow          bool    // calls take up to 3 s
		lossRate      float64 // share of appends without effect
		duplicateRate float64 // share of appends that take effect twice
	}

	// readResult is the response to a read. It has no entries if first is below
	// oldest, because the record at first has been truncated.
	readResult struct {
		first, oldest uint64
		entries       [][]byte
	}

	// fakeServer is a backend server that accepts grants as lab/backend does.
	fakeServer struct {
		fleet            *fleet
		name             string
		incarnation      uint64
		startedAt        time.Duration
		clockRate        float64
		crashed          bool
		frozen           bool
		deferredCalls    []func() // calls that arrived during the freeze
		epoch            uint64
		sequence         uint64
		grantUntilMicros int64 // end of the grant on the server's clock
		grant            backend.Grant
	}

	// fakeDispatcher sends probes to one backend server while it is authorized.
	fakeDispatcher struct {
		server    *fakeServer
		authority control.Authorize
		pause     control.PauseSlots
		inFlight  map[int]keyspace.Hash // keys of probes in flight, by probe number
	}
)

func newFakeLog(f *fleet) *fakeLog { return &fakeLog{fleet: f, reference: state.New()} }

func (l *fakeLog) append(from string, r record.Record) {
	if _, lost := r.Body.(record.InstanceLost); lost && l.fleet.mutant == withoutLossRecords {
		return
	}
	data, err := record.Encode(r)
	if err != nil {
		panic(err)
	}
	l.call(from, func() {
		if l.dropsAppends || l.fleet.random.Float64() < l.lossRate {
			return
		}
		l.commit(data)
		if l.fleet.random.Float64() < l.duplicateRate {
			l.fleet.after(l.fleet.randomDuration(0, 4*time.Second), func() { l.commit(data) })
		}
	})
}

// call runs f at the log. The call is lost if the log is down and delayed if the
// log is slow.
func (l *fakeLog) call(from string, f func()) {
	l.fleet.send(from, "log", func() {
		switch {
		case l.down:
		case l.slow:
			l.fleet.after(l.fleet.randomDuration(100*time.Millisecond, 3*time.Second), f)
		default:
			f()
		}
	})
}

// commit appends data unless dropsAppends is set, also while calls to the log are
// lost.
func (l *fakeLog) commit(data []byte) {
	if l.dropsAppends {
		return
	}
	r, err := record.Decode(data)
	if err != nil {
		panic(err)
	}
	offset := uint64(len(l.entries))
	l.entries, l.appendedAt = append(l.entries, data), append(l.appendedAt[:offset], l.fleet.now)
	verdict := l.reference.Apply(offset, r)
	l.fleet.history.recordAppended(l.fleet, offset, r, verdict)
	l.fleet.tracef("log %d: %s %T %+v %v", offset, r.ID, r.Body, summarize(r.Body), verdict)
}

func summarize(b record.Body) any {
	switch b := b.(type) {
	case record.ConfigurationPublished:
		return b.Base
	case record.InstanceJoined:
		return ""
	default:
		return b
	}
}

// loseNewestRecords drops the newest records, which instances may have read.
func (l *fakeLog) loseNewestRecords() {
	l.entries = l.entries[:len(l.entries)-lostRecordCount]
	l.reference = state.New()
	for i, data := range l.entries {
		if r, err := record.Decode(data); err == nil {
			l.reference.Apply(uint64(i), r)
		}
	}
}

// endOutageAndTruncate ends an outage and drops all records before offset.
func (l *fakeLog) endOutageAndTruncate(offset uint64) {
	l.dropsAppends, l.down, l.oldest = false, false, offset
}

// read delivers the records from offset on that were appended by the time upTo.
func (l *fakeLog) read(to string, offset uint64, upTo time.Duration, deliver func(readResult)) {
	l.call(to, func() {
		if offset < l.oldest {
			l.fleet.send("log", to, func() { deliver(readResult{first: offset, oldest: l.oldest}) })
			return
		}
		end := len(l.entries)
		for end > 0 && l.appendedAt[end-1] > upTo {
			end--
		}
		entries := l.entries[min(offset, uint64(end)):end]
		l.fleet.send("log", to, func() { deliver(readResult{first: offset, oldest: l.oldest, entries: entries}) })
	})
}

func (f *fleet) serverByAddress(address string) *fakeServer {
	for _, s := range f.servers {
		if s.name == address {
			return s
		}
	}
	return nil
}

// start begins a new incarnation of the backend server, without grants.
func (s *fakeServer) start() {
	s.incarnation++
	s.startedAt, s.crashed, s.frozen, s.deferredCalls = s.fleet.now, false, false, nil
	s.epoch, s.sequence, s.grantUntilMicros, s.grant = 0, 0, 0, backend.Grant{}
}

func (s *fakeServer) crash() {
	s.crashed, s.frozen, s.deferredCalls, s.grantUntilMicros = true, false, nil, 0
}

func (s *fakeServer) unfreeze() {
	s.frozen = false
	deferred := s.deferredCalls
	s.deferredCalls = nil
	for _, run := range deferred {
		run()
	}
}

// callWhenUnfrozen runs a call now, or after the freeze if the server is frozen.
// A call to a server that has crashed is lost.
func (s *fakeServer) callWhenUnfrozen(run func()) {
	switch {
	case s.crashed:
	case s.frozen:
		s.deferredCalls = append(s.deferredCalls, run)
	default:
		run()
	}
}

func (s *fakeServer) clockMicros() int64 {
	return int64(float64((s.fleet.now - s.startedAt).Microseconds()) * s.clockRate)
}

// grantEnd returns the time at which the grant ends, in virtual time without
// drift.
func (s *fakeServer) grantEnd() time.Duration {
	return s.startedAt + time.Duration(float64(s.grantUntilMicros)/s.clockRate)*time.Microsecond
}

func (s *fakeServer) handleGrant(g backend.Grant) backend.GrantAnswer {
	if !s.fleet.checksGrants {
		return backend.GrantAnswer{Incarnation: 1}
	}
	a := backend.GrantAnswer{Incarnation: s.incarnation, ClockMicros: s.clockMicros()}
	a.Reason = s.applyGrant(g)
	a.Accepted = a.Reason == ""
	a.Epoch = s.epoch
	s.fleet.tracef("%s: grant epoch %d sequence %d until %d at %d slots %v: %s", s.name, g.Epoch, g.Sequence, g.UntilMicros, a.ClockMicros, g.Slots, a.Reason)
	return a
}

func (s *fakeServer) applyGrant(g backend.Grant) string {
	fenced := s.fleet.mutant != withoutFencing
	switch {
	case g.Incarnation == 0:
		return "only the clock was requested"
	case g.Incarnation != s.incarnation:
		return "grant is for another incarnation"
	case fenced && g.Epoch < s.epoch:
		return "epoch is old"
	case fenced && g.Epoch == s.epoch && g.Sequence <= s.sequence:
		return "sequence is old"
	}
	if s.fleet.mutant == withExtendedGrants {
		g.UntilMicros += undeclaredExtension.Microseconds()
	}
	s.epoch, s.sequence, s.grantUntilMicros, s.grant = g.Epoch, g.Sequence, g.UntilMicros, g
	s.fleet.history.checkGrant(s.fleet, s)
	return ""
}

// acceptsProbe reports whether the server would start a probe of key now.
func (s *fakeServer) acceptsProbe(key keyspace.Hash, epoch uint64) bool {
	if !s.fleet.checksGrants {
		return !s.crashed
	}
	return !s.crashed && epoch >= s.epoch && s.clockMicros() < s.grantUntilMicros && s.grant.Covers(key, key.Slot(slotCount))
}

func (n *instance) dispatcherOf(name string) *fakeDispatcher {
	d, ok := n.dispatchers[name]
	if !ok {
		d = &fakeDispatcher{server: n.fleet.serverByAddress(name), inFlight: map[int]keyspace.Hash{}}
		n.dispatchers[name] = d
	}
	return d
}

// removeDispatchers removes the dispatchers of backend servers that the routing
// table does not assign to this incarnation of the instance.
func (n *instance) removeDispatchers() {
	self := record.Writer{Instance: n.name, Incarnation: n.incarnation}
	for _, s := range n.fleet.servers {
		v, ok := n.table.Service(serviceName)
		if !ok {
			continue
		}
		assigned := false
		for _, row := range v.Servers() {
			assigned = assigned || row.Name == s.name && row.Dispatcher == self
		}
		if !assigned {
			delete(n.dispatchers, s.name)
		}
	}
}

func (n *instance) authorize(a control.Authorize) {
	d := n.dispatcherOf(a.Server)
	d.authority = a
	d.pause.Ranges, d.pause.Keys = a.PausedSlots, a.PausedKeys
}

func (n *instance) pauseSlots(p control.PauseSlots) {
	d := n.dispatcherOf(p.Server)
	d.pause = p
	n.reportDrained(d)
	n.fleet.after(drainTimeout, n.inIncarnation(func() {
		clear(d.inFlight) // probes that are still in flight are cancelled
		n.reportDrained(d)
	}))
}

// reportDrained reports to the core, once for each pause, that no paused key has
// probes in flight.
func (n *instance) reportDrained(d *fakeDispatcher) {
	if d.pause.PauseID == 0 {
		return
	}
	for _, key := range d.inFlight {
		if n.isPaused(d, key) {
			return
		}
	}
	event := control.SlotsDrained{Service: serviceName, Server: d.server.name, PauseID: d.pause.PauseID, Ranges: d.pause.Ranges, Keys: d.pause.Keys}
	d.pause.PauseID = 0 // marks the pause as reported
	n.fleet.after(0, n.inIncarnation(func() { n.deliver(event) }))
}

func (n *instance) isPaused(d *fakeDispatcher, key keyspace.Hash) bool {
	if v, ok := n.table.Service(serviceName); ok && v.Hot(key) {
		return slices.Contains(d.pause.Keys, key)
	}
	return containsSlot(d.pause.Ranges, key.Slot(slotCount))
}

// sendProbe sends one request for a random key, if the instance may dispatch it.
func (n *instance) sendProbe() {
	key := keyspace.Hash(n.fleet.random.IntN(keyCount))
	d, epoch, ok := n.authorizedDispatcher(key)
	if !ok {
		return
	}
	f, s, sent, senderEpoch := n.fleet, d.server, n.fleet.now, d.authority.Epoch
	f.history.checkSender(f, n.name, s.name, senderEpoch)
	f.probeCount++
	number := f.probeCount
	d.inFlight[number] = key
	end := n.inIncarnation(func() {
		delete(d.inFlight, number)
		n.reportDrained(d)
	})
	f.send(n.name, s.name, func() {
		s.callWhenUnfrozen(func() {
			late := !f.checksGrants && f.now-sent >= probeDeadline // the sender has closed the connection
			if late || !s.acceptsProbe(key, senderEpoch) {
				f.send(s.name, n.name, end)
				return
			}
			length := f.randomDuration(time.Millisecond, maxServiceTime)
			f.history.recordExecution(f, execution{sent, f.now, f.now + length, s.name, key, epoch})
			f.after(length, func() { f.send(s.name, n.name, end) })
		})
	})
	f.after(probeDeadline, end)
}

// authorizedDispatcher returns the dispatcher of the owner of key and the epoch
// of the ownership. It returns false if the instance must not send a probe of
// the key now.
func (n *instance) authorizedDispatcher(key keyspace.Hash) (*fakeDispatcher, uint64, bool) {
	if n.table == nil {
		return nil, 0, false
	}
	v, ok := n.table.Service(serviceName)
	if !ok {
		return nil, 0, false
	}
	owner, epoch, ok := v.Lookup(key)
	if !ok || owner.Dispatcher != n.core.Self() {
		return nil, 0, false
	}
	d, ok := n.dispatchers[owner.Name]
	if !ok || !n.clock().Before(d.authority.Until) || n.isPaused(d, key) {
		return nil, 0, false
	}
	a := backend.Grant{Slots: d.authority.Granted, Keys: d.authority.Keys, Except: d.authority.Except}
	return d, epoch, a.Covers(key, key.Slot(slotCount))
}

func containsSlot(rs []record.SlotRange, slot keyspace.Slot) bool {
	return slices.ContainsFunc(rs, func(r record.SlotRange) bool { return r.First <= slot && slot <= r.Last })
}

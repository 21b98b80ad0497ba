package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"bronzewind.example/core/backend"
	"bronzewind.example/core/config"
	"bronzewind.example/core/keyspace"
	"bronzewind.example/core/platform"
	"bronzewind.example/core/record"
	"bronzewind.example/core/state"
)

const instantFleetTick = 10 * time.Millisecond

type (
	// instantFleet runs cores against a log, a list of servers and backend
	// servers in virtual time. All messages are delivered at once.
	instantFleet struct {
		t            *testing.T
		now          time.Time
		log          [][]byte
		oldestOffset int  // entries before it have been truncated
		logDown      bool // reads and appends fail
		appends      int
		grantHandled bool // a backend server handled a grant since the last check
		listed       []platform.Listed
		instances    []*instantInstance
		servers      map[string]*instantServer
	}

	instantInstance struct {
		core         *Core
		readOffset   int
		paused       bool
		tableUpdates int             // number of SetTable effects
		undrained    map[string]bool // servers whose paused slots are not reported as drained
		pauses       []PauseSlots
	}

	instantServer struct {
		down        bool
		leaving     bool
		incarnation uint64
		epoch       uint64
		sequence    uint64
		grant       backend.Grant
	}
)

func testDocument(version uint64, slots int, services ...string) []byte {
	c := config.Configuration{
		Version: version, Fleet: "test",
		Regions: []config.Region{{Name: "east", FailureDomains: []string{"a", "b"}}},
		Timing: config.Timing{
			Lease: config.Duration(500 * time.Millisecond), Heartbeat: config.Duration(100 * time.Millisecond),
			Grant: config.Duration(400 * time.Millisecond), GrantRenewal: config.Duration(100 * time.Millisecond),
			DriftPerMil: 5,
		},
		Limits: config.Limits{
			HeaderBytes: 1 << 14, Connections: 100, HeaderTimeout: config.Duration(time.Second),
			BodyIdleTimeout: config.Duration(time.Second), RetryBudgetRatio: 0.1,
		},
		Callers: []config.Caller{{Name: "desk", Cap: 100}},
	}
	for _, name := range services {
		c.Services = append(c.Services, config.Service{
			Name: name, PathPrefix: "/" + name + "/", Key: config.Key{From: config.KeyFromPath},
			Slots: slots, ServerSlots: 6, Connections: 100, ChecksGrants: true,
			Kinds: []config.Kind{{
				Name: "lookup", Method: "GET", Worth: 1, Target: config.Duration(time.Second),
				Patience: config.Duration(2 * time.Second), ServiceTime: config.Duration(5 * time.Millisecond), QueueLimit: 100,
			}},
		})
	}
	data, err := c.Encode()
	if err != nil {
		panic(err)
	}
	return data
}

func newInstantFleet(t *testing.T, instances int, servers ...string) *instantFleet {
	f := &instantFleet{t: t, now: time.Unix(1000, 0), servers: map[string]*instantServer{}}
	f.append(record.Record{ID: "publish", Body: record.ConfigurationPublished{Document: testDocument(1, 64, "proofs")}})
	for _, s := range servers {
		f.addServer(s)
	}
	for i := range instances {
		f.start(fmt.Sprintf("i%d", i))
	}
	return f
}

func (f *instantFleet) addServer(name string) {
	f.servers[name] = &instantServer{incarnation: uint64(len(f.servers) + 1)}
	domain := string(rune('a' + len(f.listed)%2))
	f.listed = append(f.listed, platform.Listed{Name: name, Service: "proofs", Address: name, Region: "east", FailureDomain: domain})
}

func (f *instantFleet) start(name string) *instantInstance {
	self := record.Writer{Instance: name, Incarnation: uint64(f.now.UnixNano())}
	n := &instantInstance{
		core:      NewCore(self, record.InstanceJoined{Region: "east", FailureDomain: "a"}),
		undrained: map[string]bool{},
	}
	f.instances = append(f.instances, n)
	return n
}

func (f *instantFleet) append(r record.Record) {
	data, err := record.Encode(r)
	if err != nil {
		f.t.Fatal(err)
	}
	f.log = append(f.log, data)
}

// run advances virtual time by d and calls each check after each tick.
func (f *instantFleet) run(d time.Duration, checks ...func()) {
	f.t.Helper()
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(instantFleetTick)
		for _, n := range slices.Clone(f.instances) {
			if !n.paused {
				f.tick(n)
			}
		}
		f.checkSingleOwner()
		for _, check := range checks {
			check()
		}
	}
}

// tick steps n once. An instance reads the list of servers, and the log if it has
// no unread records, only every 100 ms.
func (f *instantFleet) tick(n *instantInstance) {
	switch {
	case f.logDown, n.readOffset == len(f.log) && f.now.UnixNano()%int64(100*time.Millisecond) != 0:
		f.step(n, Ticked{})
	case n.readOffset < f.oldestOffset:
		f.step(n, LogTruncated{Oldest: uint64(f.oldestOffset)})
	default:
		first := n.readOffset
		n.readOffset = len(f.log)
		f.step(n, RecordsRead{First: uint64(first), Entries: f.log[first:], CaughtUp: true, Oldest: uint64(f.oldestOffset)})
	}
	if f.now.UnixNano()%int64(100*time.Millisecond) == 0 {
		f.step(n, ServersListed{Rows: f.listed})
	}
}

func (f *instantFleet) step(n *instantInstance, e Event) {
	for _, effect := range n.core.Step(e, f.now) {
		f.carryOut(n, effect)
	}
}

func (f *instantFleet) carryOut(n *instantInstance, e Effect) {
	switch e := e.(type) {
	case ReadLog:
		n.readOffset = int(e.From)
	case Append:
		if !f.logDown {
			f.appends++
			f.append(e.Record)
		}
	case SendGrant:
		if s := f.servers[e.Address]; s != nil && !s.down {
			response := s.handleGrant(e.Grant, f.now)
			f.grantHandled = true
			f.step(n, GrantCompleted{Service: e.Grant.Service, Server: e.Grant.Server, Epoch: e.Grant.Epoch, Sent: f.now, Grant: e.Grant, Response: response})
		}
	case PauseSlots:
		n.pauses = append(n.pauses, e)
		if !n.undrained[e.Server] {
			f.step(n, SlotsDrained(e))
		}
	case SendMessage:
		for _, to := range f.instances {
			if to.core.self == e.To && !to.paused {
				f.step(to, MessageReceived{From: n.core.self, Message: e.Message})
			}
		}
	case SetTable:
		n.tableUpdates++
	case Authorize, Log:
	}
}

func (s *instantServer) handleGrant(g backend.Grant, now time.Time) backend.GrantAnswer {
	a := backend.GrantAnswer{Incarnation: s.incarnation, ClockMicros: now.UnixMicro(), Leaving: s.leaving}
	if g.Incarnation == s.incarnation && (g.Epoch > s.epoch || g.Epoch == s.epoch && g.Sequence > s.sequence) {
		s.epoch, s.sequence, s.grant = g.Epoch, g.Sequence, g
		a.Accepted = true
	}
	a.Epoch = s.epoch
	return a
}

// checkSingleOwner fails the test if two backend servers hold valid grants of a
// key.
func (f *instantFleet) checkSingleOwner() {
	f.t.Helper()
	if !f.grantHandled {
		return
	}
	f.grantHandled = false
	for i := range 256 {
		h := testHash(i)
		var owners []string
		for name, s := range f.servers {
			if f.now.UnixMicro() < s.grant.UntilMicros && s.grant.Covers(h, h.Slot(64)) {
				owners = append(owners, name)
			}
		}
		if len(owners) > 1 {
			slices.Sort(owners)
			f.t.Fatalf("key %d is granted to %v at %v", i, owners, f.now.Sub(time.Unix(1000, 0)))
		}
	}
}

// testHash returns the hash of test key i, which is in slot i modulo 64.
func testHash(i int) keyspace.Hash { return keyspace.Hash(i%64 + i/64<<40) }

func (f *instantFleet) state() *state.State { return f.instances[0].core.State() }

func (f *instantFleet) service() *state.Service { return f.state().Services["proofs"] }

// slotsByOwner returns the number of slots of each backend server.
func (f *instantFleet) slotsByOwner() map[string]int {
	out := map[string]int{}
	for _, row := range f.service().Slots {
		out[row.Owner]++
	}
	return out
}

// coordinator returns the instance that coordinates the service.
func (f *instantFleet) coordinator() *instantInstance {
	for _, n := range f.instances {
		if n.core.self == f.service().Coordinator {
			return n
		}
	}
	f.t.Fatal("no instance of the fleet coordinates the service")
	return nil
}

// dispatcher returns the instance that dispatches to a backend server.
func (f *instantFleet) dispatcher(server string) *instantInstance {
	for _, n := range f.instances {
		if n.core.self == f.service().Servers[server].Row.Dispatcher {
			return n
		}
	}
	f.t.Fatal("no instance of the fleet dispatches to the backend server")
	return nil
}

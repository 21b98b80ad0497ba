package capacity

import "fmt"

// The limits at the two-year size; control is what a node spends besides
// requests.
const (
	controlCoreShare   = 0.029
	controlMemoryBytes = 128 << 20
	controlBytesSecond = 3000
	logAppendsSecond   = 300 // "several hundred" of the whole fleet
	lookupNanos        = 200
)

const (
	ticksPerSecond     = 50
	readsPerSecond     = 2 // of the log by each instance that has nothing to read
	recordsPerRestart  = 8 // joined, leaving, left, witnesses of it and of those it watched
	recordsPerRole     = 2 // released and placed, of each backend server of an instance that restarts
	recordsPerLoss     = 4 // lost, claimed, placed, witnesses
	recordsPerMove     = 2 // assigned and released
	checkpointsPerHour = 1
	secondsPerHour     = 3600
	checkpointPart     = 128 << 10
	secondsPerRound    = 10
	twoCopies          = 2 // of the snapshot, while a new one is built
)

type (
	// Row is one cost of one role of an instance.
	Row struct {
		Role      string
		Cost      string
		Unit      string
		Working   string // the sum in words, with the names of its slopes
		Value     float64
		Limit     float64 // 0 when there is none of its own
		Mechanism string  // in code; "not yet built: ..." when missing
	}

	// model works out rows from slopes; the first missing slope is kept in err.
	model struct {
		size   Size
		slopes *Slopes
		rows   []Row
		err    error
	}
)

// Model returns the costs of all roles for a fleet of the given size.
func Model(s Size, slopes *Slopes) ([]Row, error) {
	m := &model{size: s, slopes: slopes}
	m.entry()
	m.dispatcher()
	m.member()
	m.reader()
	m.coordinator()
	m.totals()
	return m.rows, m.err
}

func (m *model) slope(name string) Slope {
	s, err := m.slopes.Get(name)
	if err != nil && m.err == nil {
		m.err = err
	}
	return s
}

func (m *model) add(r Row) float64 {
	m.rows = append(m.rows, r)
	return r.Value
}

func (m *model) serversPerInstance() float64 { return m.size.BackendServers / m.size.Instances }

// recordsPerSecond are the records that the whole fleet appends.
func (m *model) recordsPerSecond() float64 {
	daily := m.size.ConfigChanges +
		m.size.Restarts*(recordsPerRestart+recordsPerRole*m.serversPerInstance()) +
		m.size.Failures*recordsPerLoss
	checkpoint := m.slope("checkpoint").At(m.size.Slots) / checkpointPart * checkpointsPerHour / secondsPerHour
	return daily/secondsPerDay + recordsPerMove*m.size.HotKeyMoves + checkpoint
}

func (m *model) entry() {
	s, per := m.size, m.size.Requests/m.size.Instances
	m.add(Row{
		Role: "entry", Cost: "lookup", Unit: "ns", Limit: lookupNanos, Value: m.slope("lookup").At(s.Slots),
		Working: fmt.Sprintf("lookup at %.0f slots", s.Slots), Mechanism: "`core/route`, an array behind an atomic pointer",
	})
	m.add(Row{
		Role: "entry", Cost: "processor for requests", Unit: "cores", Value: per * (m.slope("request").Per - m.slope("direct").Per) / 1e6,
		Working: fmt.Sprintf("(request - direct) x %.0f a second", per), Mechanism: "`router/caller`, `router/dispatch`; a forward between instances comes on top (docs/design/dispatch.md)",
	})
	m.add(Row{
		Role: "entry", Cost: "memory of callers' connections", Unit: "MB", Value: m.slope("connection").Per * s.CallerConnections / mebibyte,
		Working: fmt.Sprintf("connection x %.0f", s.CallerConnections), Mechanism: "`net/http`; both ends are in the slope",
	})
}

func (m *model) dispatcher() {
	grants := m.serversPerInstance() * m.size.GrantsPerSecond
	m.add(Row{
		Role: "dispatcher", Cost: "processor for renewals", Unit: "cores", Value: grants * m.slope("renewal").Per / 1e6,
		Working: fmt.Sprintf("renewal x %.1f a second (%.2f backend servers); the backend server's end is in the slope", grants, m.serversPerInstance()), Mechanism: "`core/control/grants.go`, one renewal for all slots of a server",
	})
	m.add(Row{
		Role: "dispatcher", Cost: "network for renewals", Unit: "B/s", Value: grants * m.slope("renewal-size").Fixed,
		Working: fmt.Sprintf("renewal-size x %.1f a second; a change lists the slots once: %.0f bytes", grants, m.slope("grant").At(slotsPerServer)), Mechanism: "`core/backend/client.go`: lists only what changed; not yet built: renewals that ride on requests",
	})
}

func (m *model) member() {
	beats := m.size.Witnesses * m.size.BeatsPerSecond
	datagrams := 4 * beats // heartbeat and answer, as witnessed and as witness
	m.add(Row{
		Role: "member", Cost: "messages", Unit: "1/s", Value: datagrams,
		Working: fmt.Sprintf("4 x %.0f witnesses x %.1f heartbeats a second, in and out", m.size.Witnesses, m.size.BeatsPerSecond), Mechanism: "`core/control/lease.go`, the same at any size of the fleet",
	})
	m.add(Row{
		Role: "member", Cost: "network for leases, sent", Unit: "B/s", Limit: controlBytesSecond, Value: datagrams / 2 * m.slope("heartbeat").Fixed,
		Working: fmt.Sprintf("heartbeat x %.1f sent a second", datagrams/2), Mechanism: "`router/peer/control.go`",
	})
}

func (m *model) reader() {
	records := m.recordsPerSecond()
	m.add(Row{
		Role: "log reader", Cost: "records of the fleet", Unit: "1/s", Limit: logAppendsSecond, Value: records,
		Working: "configuration, restarts, losses, 2 for each hot key that moves, checkpoints", Mechanism: "`core/control`, batched by coordinator",
	})
	m.add(Row{
		Role: "log reader", Cost: "network for records", Unit: "B/s", Value: records * m.slope("record").Fixed * 4 / 3,
		Working: "records x record, in base 64", Mechanism: "`router/daemon`: each instance reads the log itself",
	})
	m.add(Row{
		Role: "log reader", Cost: "reads of the log service by the fleet", Unit: "1/s", Value: readsPerSecond * m.size.Instances,
		Working: fmt.Sprintf("%d x instances", readsPerSecond), Mechanism: "not yet built: few readers in each failure domain, which feed the others",
	})
	m.add(Row{
		Role: "log reader", Cost: "memory of the fold", Unit: "MB", Value: (m.slope("state-memory").At(m.size.Slots) + m.slope("member-memory").Per*m.size.Instances) / mebibyte,
		Working: "state-memory at all slots + member-memory x instances", Mechanism: "`core/state`: slots, not keys",
	})
	m.add(Row{
		Role: "log reader", Cost: "memory of snapshots", Unit: "MB", Value: twoCopies * m.slope("table-memory").At(m.size.Slots) / mebibyte,
		Working: "2 x table-memory at all slots", Mechanism: "`core/route`",
	})
}

func (m *model) coordinator() {
	m.add(Row{
		Role: "coordinator", Cost: "processor for plans", Unit: "cores", Value: m.slope("plan").At(m.size.Slots/m.size.Services) / 1e6 / secondsPerRound,
		Working: fmt.Sprintf("plan at the slots of one service, every %d s", secondsPerRound), Mechanism: "`core/control/planner.go`; each service may have another coordinator",
	})
	m.add(Row{
		Role: "coordinator", Cost: "bytes of a checkpoint", Unit: "MB", Value: m.slope("checkpoint").At(m.size.Slots) / mebibyte,
		Working: "checkpoint at all slots", Mechanism: "`core/control/checkpoint.go`, in parts",
	})
}

// totals adds up what control costs a node.
func (m *model) totals() {
	byCost := map[string]float64{}
	for _, r := range m.rows {
		byCost[r.Role+" "+r.Cost] = r.Value
	}
	steps := ticksPerSecond + m.serversPerInstance()*m.size.GrantsPerSecond + 2*m.size.Witnesses*m.size.BeatsPerSecond
	step := m.slope("tick").At(m.size.BackendServers)
	m.add(Row{
		Role: "node", Cost: "processor for steps of control", Unit: "cores", Value: steps * step / 1e6,
		Working: fmt.Sprintf("tick at %.0f backend servers x %.0f a second", m.size.BackendServers, steps), Mechanism: "`core/control`, which looks at the fleet only when the fold moved on",
	})
	records := m.recordsPerSecond()
	rebuild := m.slope("table-build").At(m.size.Slots) + m.slope("fold").At(m.size.BackendServers)
	m.add(Row{
		Role: "node", Cost: "processor for records", Unit: "cores", Value: records * rebuild / 1e6,
		Working: fmt.Sprintf("(fold + table-build at all slots) x %.2f a second", records), Mechanism: "`core/route` builds the whole snapshot; not yet built: services that did not change are kept",
	})
	m.add(Row{
		Role: "node", Cost: "all processor for control", Unit: "cores", Limit: controlCoreShare,
		Value:   byCost["dispatcher processor for renewals"] + byCost["coordinator processor for plans"] + steps*step/1e6 + records*rebuild/1e6,
		Working: "renewals + plans + steps + records", Mechanism: "the three above",
	})
	m.add(Row{
		Role: "node", Cost: "all memory for control", Unit: "MB", Limit: controlMemoryBytes / mebibyte,
		Value:   byCost["log reader memory of the fold"] + byCost["log reader memory of snapshots"] + byCost["coordinator bytes of a checkpoint"],
		Working: "fold + snapshots + one checkpoint", Mechanism: "the three above",
	})
	m.add(Row{
		Role: "node", Cost: "all network for control, sent", Unit: "B/s", Limit: controlBytesSecond,
		Value:   byCost["dispatcher network for renewals"] + byCost["member network for leases, sent"] + byCost["log reader network for records"],
		Working: "renewals + leases + records", Mechanism: "the three above",
	})
}

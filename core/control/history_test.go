package control_test

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzewind.example/core/control"
	"bronzewind.example/core/keyspace"
	"bronzewind.example/core/record"
)

const (
	settledAt           = 1500 * time.Millisecond // all slots are served by then after a start
	lastFaultStart      = 4 * time.Second         // latest time at which a fault starts
	historyDuration     = 16 * time.Second        // leaves more than configurationDeadline (8 s) after the last fault
	maxFaultDuration    = 3 * time.Second
	maxServiceTime      = 60 * time.Millisecond // of one probe
	undeclaredExtension = time.Second           // by which withExtendedGrants prolongs each grant
	lostRecordCount     = 3                     // records that withLostRecords drops
)

// The mutants. correct is the program without a defect; each other value injects
// one, so that a test can show that a check detects it.
const (
	correct                  mutant = iota
	withoutFencing                  // backend servers accept grants of old epochs
	withExtendedGrants              // grants last longer than their sender assumes
	withoutReadBack                 // an instance applies its own record as soon as it has sent it
	withLostRecords                 // the log loses its newest records
	withStaleLogReads               // a restarted instance reads an old copy of the log
	withMissedConfigurations        // one instance misses all configurations after the first
	withClockStoppedByPause         // the clock of an instance stops while the instance is paused
	withoutLossRecords              // records of lost instances do not reach the log
)

type (
	mutant int

	// fault is a failure that a history injects. begin starts it and returns
	// the function that ends it.
	fault struct {
		name  string
		begin func(f *fleet) (end func())
	}
)

var (
	seedCount  = flag.Int("seeds", 120, "number of histories")
	firstSeed  = flag.Uint64("first-seed", 1, "seed of the first history")
	printTrace = flag.Bool("events", false, "print the trace of histories that fail")
)

var faults = []fault{
	{"partition", func(f *fleet) func() { return f.isolate(f.randomInstance().name, true, true) }},
	{"one-way partition in", func(f *fleet) func() { return f.isolate(f.randomInstance().name, true, false) }},
	{"one-way partition out", func(f *fleet) func() { return f.isolate(f.randomInstance().name, false, true) }},
	{"server partition", func(f *fleet) func() { return f.isolate(f.randomServer().name, true, true) }},
	{"server responses lost", func(f *fleet) func() { return f.isolate(f.randomServer().name, false, true) }},
	{"log partition", func(f *fleet) func() { n := f.randomInstance().name; return f.cutLinks(link{n, "log"}, link{"log", n}) }},
	{"pause", beginPause},
	{"restart", func(f *fleet) func() { n := f.randomInstance(); n.crash(); return n.startIfDown }},
	{"loss", beginPermanentLoss},
	{"leave", func(f *fleet) func() {
		n := f.randomInstance()
		n.leave()
		return func() { f.after(maxFaultDuration, n.startIfDown) }
	}},
	{"records truncated", beginTruncation},
	{"log down", func(f *fleet) func() { f.log.down = true; return func() { f.log.down = false } }},
	{"log slow", func(f *fleet) func() { f.log.slow = true; return func() { f.log.slow = false } }},
	{"log appends lost or duplicated", func(f *fleet) func() {
		f.log.lossRate, f.log.duplicateRate = 0.4, 0.4
		return func() { f.log.lossRate, f.log.duplicateRate = 0, 0 }
	}},
	{"messages lost, duplicated or delayed", func(f *fleet) func() {
		f.messageFaults = messageFaults{0.1, 0.1, 0.1}
		return func() { f.messageFaults = messageFaults{} }
	}},
	{"server freeze", func(f *fleet) func() { s := f.randomServer(); s.frozen = true; return s.unfreeze }},
	{"server restart", func(f *fleet) func() { s := f.randomServer(); s.crash(); return s.start }},
	{"server list outage", func(f *fleet) func() { return f.cutLinks(f.linksFrom("list")...) }},
}

func (f *fleet) randomInstance() *instance { return f.instances[f.random.IntN(len(f.instances))] }

func (f *fleet) randomServer() *fakeServer { return f.servers[f.random.IntN(len(f.servers))] }

// startIfDown starts the instance again unless it is still up.
func (n *instance) startIfDown() {
	if !n.up {
		n.start()
	}
}

// beginTruncation begins a log outage at whose end all records that any instance
// has read are truncated. TestFleetContinuesAfterTruncationOfUnreadRecord
// covers the truncation of records that no instance has read.
func beginTruncation(f *fleet) func() {
	f.log.dropsAppends = true
	f.after(readTimeout/2, func() { f.log.down = f.log.dropsAppends })
	return func() {
		var oldest uint64
		for _, n := range f.instances {
			if n.up {
				oldest = max(oldest, n.core.State().Next)
			}
		}
		f.log.endOutageAndTruncate(oldest)
	}
}

func beginPause(f *fleet) func() {
	n := f.randomInstance()
	n.paused, n.pausedAt = true, f.now
	incarnation := n.incarnation
	return func() {
		if n.incarnation == incarnation && n.paused {
			n.resume()
		}
	}
}

// beginPermanentLoss crashes an instance that is not started again. It does
// nothing if at most two instances are up.
func beginPermanentLoss(f *fleet) func() {
	n := f.randomInstance()
	up := 0
	for _, o := range f.instances {
		if o.up {
			up++
		}
	}
	if up > 2 {
		n.crash()
	}
	return func() {}
}

// isolate cuts the links between the process called name and all others, in the
// given directions, and returns the function that restores them.
func (f *fleet) isolate(name string, in, out bool) func() {
	var links []link
	if in {
		for _, from := range f.processNames() {
			links = append(links, link{from, name})
		}
	}
	if out {
		links = append(links, f.linksFrom(name)...)
	}
	return f.cutLinks(links...)
}

func (f *fleet) linksFrom(name string) []link {
	var links []link
	for _, to := range f.processNames() {
		links = append(links, link{name, to})
	}
	return links
}

func (f *fleet) processNames() []string {
	names := []string{"log", "list"}
	for _, n := range f.instances {
		names = append(names, n.name)
	}
	for _, s := range f.servers {
		names = append(names, s.name)
	}
	return names
}

func (f *fleet) cutLinks(links ...link) func() {
	for _, l := range links {
		f.cuts[l]++
	}
	return func() {
		for _, l := range links {
			f.cuts[l]--
		}
	}
}

// scheduleFaults schedules the forced faults, further random ones up to count,
// moves of slots and hot keys, and concurrent publications by two operators.
func (f *fleet) scheduleFaults(count int, forced ...string) {
	for i := range count {
		chosen := faults[f.random.IntN(len(faults))]
		if i < len(forced) {
			chosen = faultNamed(forced[i])
		}
		at, length := f.randomDuration(settledAt, lastFaultStart), f.randomDuration(100*time.Millisecond, maxFaultDuration)
		f.scheduledFaults = append(f.scheduledFaults, fmt.Sprintf("%s from %v for %v", chosen.name, at, length))
		f.after(at, func() {
			f.tracef("begin %s", chosen.name)
			end := chosen.begin(f)
			f.after(length, func() {
				f.tracef("end %s", chosen.name)
				f.lastFaultEnd = f.now
				end()
				accepted := f.log.reference.Version()
				f.after(configurationDeadline, func() { f.history.checkConfiguration(f, accepted) })
			})
		})
	}
	for at := settledAt; at < 2*lastFaultStart; at += f.randomDuration(100*time.Millisecond, time.Second) {
		f.after(at, f.appendMove)
	}
	for range 2 {
		at := f.randomDuration(time.Second, 2*lastFaultStart)
		for _, author := range []string{"anna", "boris"} {
			f.after(at+f.randomDuration(0, 10*time.Millisecond), func() { f.publishConfiguration(author, f.log.reference.Version()) })
		}
	}
}

// appendMove appends a record of the coordinator that moves some slots or a hot
// key, unless the log is down.
func (f *fleet) appendMove() {
	if !f.log.down {
		f.log.commit(f.encodeMove())
	}
}

// encodeMove returns a record of the coordinator that moves some slots or a hot
// key to a random backend server. The record is void if that server is not up.
func (f *fleet) encodeMove() []byte {
	v := f.log.reference.Services[serviceName]
	target := f.randomServer().name
	body := record.SlotsAssigned{Service: serviceName, Term: v.Term, Base: v.Version}
	if key := keyspace.Hash(f.random.IntN(keyCount)); key < slotCount {
		last := min(slotCount-1, int(key)+f.random.IntN(4))
		body.Ranges = []record.SlotRange{{First: keyspace.Slot(key), Last: keyspace.Slot(last), Server: target}}
	} else {
		body.Keys = []record.KeyRow{{Hash: key, Server: target}}
	}
	f.moveCount++
	data, err := record.Encode(record.Record{ID: fmt.Sprintf("move/%d", f.moveCount), Writer: v.Coordinator, Body: body})
	if err != nil {
		panic(err)
	}
	return data
}

// runHistory simulates the history of a seed and returns the fleet, whose history
// field holds what was observed. Odd seeds have one fault, even ones two; the
// forced faults come first, the others are random.
func runHistory(seed uint64, m mutant, tracing bool, forced ...string) *fleet {
	f := newFleet(seed, m)
	f.tracing = tracing
	f.scheduleFaults(2-int(seed%2), forced...)
	if m == withLostRecords {
		f.after(f.randomDuration(settledAt, lastFaultStart), f.log.loseNewestRecords)
	}
	for f.runUntil(historyDuration - servedWindow); f.now < historyDuration; f.runUntil(f.now + tickInterval) {
		f.recordServedKeys()
	}
	f.history.checkHistory(f)
	return f
}

func faultNamed(name string) fault {
	return faults[slices.IndexFunc(faults, func(c fault) bool { return c.name == name })]
}

func (f *fleet) report() string {
	var b strings.Builder
	fmt.Fprintf(&b, "faults: %s\n", strings.Join(f.scheduledFaults, "; "))
	for p, detail := range f.history.violations {
		fmt.Fprintf(&b, "violated: %s: %.2000s\n", p, detail)
	}
	b.WriteString(strings.Join(f.traceLines, "\n"))
	return b.String()
}

// TestHistories checks every property over many short simulated histories. Each
// history is simulated in one goroutine, so most invocations need no race
// detector. The flags -first-seed N -seeds 1 -events simulate a single seed and
// print its trace if a property is violated.
func TestHistories(t *testing.T) {
	const shards = 10
	for shard := range shards {
		t.Run(fmt.Sprintf("shard %d", shard), func(t *testing.T) {
			t.Parallel()
			for i := shard; i < *seedCount; i += shards {
				seed := *firstSeed + uint64(i)
				if f := runHistory(seed, correct, *printTrace); len(f.history.violations) > 0 {
					t.Errorf("seed %d\n%s", seed, f.report())
				}
			}
		})
	}
}

// TestMutants checks that each check detects the mutant made for it, and finds
// no violation in the same histories without the mutant.
func TestMutants(t *testing.T) {
	const (
		histories   = 16
		minDetected = 3 // least number of histories that must detect the mutant
	)
	for _, c := range []struct {
		name   string
		mutant mutant
		want   property
		forced []string
	}{
		{"without fencing", withoutFencing, singleOwner, []string{"messages lost, duplicated or delayed"}},
		{"with extended grants", withExtendedGrants, singleOwner, []string{"server partition"}},
		{"without read-back", withoutReadBack, singleOwner, []string{"log appends lost or duplicated"}},
		{"with clock stopped by pause", withClockStoppedByPause, singleSender, []string{"pause", "pause"}},
		{"with lost records", withLostRecords, durableAssignments, nil},
		{"with stale log reads", withStaleLogReads, monotonicConfiguration, []string{"restart"}},
		{"with missed configurations", withMissedConfigurations, timelyConfiguration, nil},
		{"without loss records", withoutLossRecords, keysServed, []string{"loss"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			undetected := 0
			for seed := range uint64(histories) {
				if _, ok := runHistory(seed, c.mutant, false, c.forced...).history.violations[c.want]; !ok {
					undetected++
				}
				if f := runHistory(seed, correct, false, c.forced...); len(f.history.violations) > 0 {
					t.Errorf("seed %d without the mutant\n%s", seed, f.report())
				}
			}
			t.Logf("%s: %q is violated in %d of %d histories", c.name, c.want, histories-undetected, histories)
			if histories-undetected < minDetected {
				t.Errorf("mutant detected in %d histories, want at least %d", histories-undetected, minDetected)
			}
		})
	}
}

// TestFleetContinuesAfterTruncationOfUnreadRecord checks that the fleet continues
// after an outage in which the log truncated a record that no instance had read,
// so that none can have acted on it.
func TestFleetContinuesAfterTruncationOfUnreadRecord(t *testing.T) {
	f := newFleet(1, correct)
	f.runUntil(settledAt)
	f.log.down = true
	f.log.commit(f.encodeMove())
	f.runUntil(2 * settledAt)
	f.log.endOutageAndTruncate(uint64(len(f.log.entries)))
	f.runUntil(historyDuration)
	for _, n := range f.instances {
		if diff := cmp.Diff(uint64(len(f.log.entries)), n.core.State().Next); diff != "" {
			t.Errorf("%s has not read the log to its end (-want offset +got):\n%s", n.name, diff)
		}
	}
}

// TestFleetWaitsForMemberThatReadFurthest truncates a record that a single
// instance has read, while the others cannot reach that instance. The others
// must not continue without the record, because the instance may have acted on
// it. They must continue with it once the instance is reachable again.
func TestFleetWaitsForMemberThatReadFurthest(t *testing.T) {
	f := newFleet(1, correct)
	f.runUntil(settledAt)
	reader, fromLog := f.instances[0].name, []link{}
	var readerLinks []link
	for _, n := range f.instances[1:] {
		fromLog = append(fromLog, link{"log", n.name})
		readerLinks = append(readerLinks, link{reader, n.name}, link{n.name, reader})
	}
	reconnectOthers := f.cutLinks(fromLog...)
	f.log.commit(f.encodeMove())
	f.runUntil(settledAt + time.Second)
	reconnectReader := f.cutLinks(append(readerLinks, link{"log", reader}, link{reader, "log"})...)
	oldest := uint64(len(f.log.entries))
	f.log.endOutageAndTruncate(oldest)
	reconnectOthers()
	f.runUntil(settledAt + 20*time.Second)
	for _, n := range f.instances[1:] {
		if next := n.core.State().Next; next >= oldest {
			t.Errorf("%s continued to offset %d without the records that %s had read up to offset %d", n.name, next, reader, oldest)
		}
	}
	reconnectReader()
	f.runUntil(settledAt + 40*time.Second)
	for _, n := range f.instances {
		if diff := cmp.Diff(uint64(len(f.log.entries)), n.core.State().Next); diff != "" {
			t.Errorf("%s has not read the log to its end (-want offset +got):\n%s", n.name, diff)
		}
	}
}

// TestReportedDownServerIsGrantedNothing checks that a backend server that was
// frozen gets no grant when it responds again while the record that reports it
// down is not in the log yet. That record frees all its slots.
func TestReportedDownServerIsGrantedNothing(t *testing.T) {
	f := newFleet(1, correct)
	f.runUntil(settledAt)
	s := f.servers[0]
	s.frozen, f.log.dropsAppends = true, true
	f.runUntil(2 * settledAt)
	s.unfreeze()
	f.runUntil(3 * settledAt)
	if diff := cmp.Diff(false, s.grantEnd() > f.now); diff != "" {
		t.Errorf("the server holds a grant while it is being reported down (-want +got):\n%s", diff)
	}
}

// TestSubstituteWritesCheckpoint truncates records that only the coordinator has
// not read. The coordinator, which normally writes the checkpoints, then waits
// for one itself, so another member must write it.
func TestSubstituteWritesCheckpoint(t *testing.T) {
	f := newFleet(1, correct)
	f.runUntil(settledAt)
	name := f.log.reference.Services[serviceName].Coordinator.Instance
	reconnect := f.cutLinks(link{"log", name})
	f.appendMove()
	f.runUntil(settledAt + listInterval)
	f.log.endOutageAndTruncate(uint64(len(f.log.entries)))
	reconnect()
	f.runUntil(historyDuration)
	f.history.checkHistory(f)
	if diff := cmp.Diff("", f.history.violations[durableAssignments]); diff != "" {
		t.Errorf("the instances' states differ from the log (-want +got):\n%s", diff)
	}
}

// TestDamagedConfigurationIsSkipped checks that an instance that reads a log
// whose configuration record is damaged skips the record and is not ready.
func TestDamagedConfigurationIsSkipped(t *testing.T) {
	f := newFleet(1, correct)
	f.runUntil(settledAt)
	entries := append([][]byte{[]byte("damaged")}, f.log.entries[1:]...)
	c := control.NewCore(f.instances[0].core.Self(), record.InstanceJoined{})
	for range 2 { // a damaged record is read a second time before it is skipped
		c.Step(control.RecordsRead{Entries: entries, CaughtUp: true}, time.Unix(0, 0))
	}
	if diff := cmp.Diff(false, c.Ready()); diff != "" {
		t.Errorf("ready without a configuration (-want +got):\n%s", diff)
	}
}

// TestSameSeedSameHistory checks that a history is determined by its seed, so
// that a violation can be reproduced.
func TestSameSeedSameHistory(t *testing.T) {
	for seed := range uint64(8) {
		want, got := runHistory(seed, correct, false), runHistory(seed, correct, false)
		if diff := cmp.Diff(want.digest(), got.digest()); diff != "" {
			t.Errorf("seed %d (-first +second):\n%s", seed, diff)
		}
	}
}

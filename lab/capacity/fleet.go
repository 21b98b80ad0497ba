package capacity

import (
	"fmt"

	"bronzewind.example/core/config"
	"bronzewind.example/core/keyspace"
	"bronzewind.example/core/record"
	"bronzewind.example/core/state"
)

// fleet builds the records of a fleet of a given size, as its instances would
// have written them.
type fleet struct {
	writer  record.Writer // coordinator and first dispatcher
	service string
	next    int // of the record IDs
	records []record.Record
}

// newFleet returns a fleet of members, with servers backend servers under the
// first own of them, and slots slots assigned in runs of slotsPerServer.
func newFleet(members, servers, slots int) (*fleet, error) {
	f := &fleet{writer: record.Writer{Instance: name("instance", 0), Incarnation: 1}, service: "ledger"}
	document, err := configuration(slots).Encode()
	if err != nil {
		return nil, err
	}
	f.add(f.writer, record.ConfigurationPublished{Document: document, Author: "capacity"})
	for i := range members {
		w := record.Writer{Instance: name("instance", i), Incarnation: 1}
		f.add(w, record.InstanceJoined{
			Region: "region-1", FailureDomain: name("domain", i%12), Control: "10.0.0.1:8200",
			Forward: "10.0.0.1:8300", Admin: "10.0.0.1:8400", Fingerprint: make([]byte, 32),
		})
	}
	f.add(f.writer, record.CoordinatorClaimed{Service: f.service, Term: 1})
	placed := record.ServersPlaced{Service: f.service, Term: 1}
	for i := range servers {
		placed.Servers = append(placed.Servers, record.ServerRow{
			Name: name("server", i), Address: "10.0.0.1:9000", Region: "region-1", FailureDomain: name("domain", i%12),
			Dispatcher: record.Writer{Instance: name("instance", i%members), Incarnation: 1},
		})
	}
	f.add(f.writer, placed)
	return f, nil
}

func name(what string, i int) string { return fmt.Sprintf("%s-%05d", what, i) }

func (f *fleet) add(w record.Writer, b record.Body) {
	f.next++
	f.records = append(f.records, record.Record{ID: fmt.Sprintf("%s/%d", w, f.next), Writer: w, Body: b})
}

// fold returns the state after the records, all servers up and all slots owned.
func (f *fleet) fold() (*state.State, error) {
	s := state.New()
	for _, r := range f.records {
		if v := s.Apply(s.Next, r); v != state.Accepted {
			return nil, fmt.Errorf("record %s: %s (%s)", r.ID, v, s.Reason())
		}
	}
	for _, r := range f.settle(s) {
		if v := s.Apply(s.Next, r); v != state.Accepted {
			return nil, fmt.Errorf("record %s: %s (%s)", r.ID, v, s.Reason())
		}
	}
	return s, nil
}

// settle returns the records that bring all servers up and assign the slots.
func (f *fleet) settle(s *state.State) []record.Record {
	f.records = nil
	v := s.Services[f.service]
	names := v.ServerNames()
	for _, n := range names {
		server := v.Servers[n]
		f.add(server.Row.Dispatcher, record.ServerReported{Service: f.service, Server: n, Epoch: server.Epoch, Up: true, Incarnation: 1})
	}
	assigned := record.SlotsAssigned{Service: f.service, Term: 1, Base: v.Version + uint64(len(names))}
	for i := 0; i < len(v.Slots); i += slotsPerServer {
		last := min(i+slotsPerServer, len(v.Slots)) - 1
		assigned.Ranges = append(assigned.Ranges, record.SlotRange{
			First: keyspace.Slot(i), Last: keyspace.Slot(last), Server: names[i/slotsPerServer%len(names)],
		})
	}
	f.add(f.writer, assigned)
	return f.records
}

// configuration returns one service of the second user's shape.
func configuration(slots int) *config.Configuration {
	return &config.Configuration{
		Version: 1, Fleet: "capacity",
		Regions: []config.Region{{Name: "region-1", FailureDomains: []string{"domain-00000"}}},
		Timing: config.Timing{
			Lease: millis(460), Heartbeat: millis(115), Grant: millis(370), GrantRenewal: millis(92),
			DriftPerMil: 10,
		},
		Limits: config.Limits{HeaderBytes: 32 << 10, Connections: 10_000, HeaderTimeout: millis(5000), BodyIdleTimeout: millis(30_000), RetryBudgetRatio: 0.1},
		Services: []config.Service{{
			Name: "ledger", PathPrefix: "/ledger/", Key: config.Key{From: config.KeyFromPath}, Slots: slots,
			ServerSlots: 3, Connections: 50, ChecksGrants: true, TrustsRefusals: true,
			Kinds: []config.Kind{{
				Name: "lookup", Method: "GET", Worth: 1, Target: millis(150), Patience: millis(2000),
				ServiceTime: millis(8), Retries: 2, QueueLimit: 96,
			}},
		}},
	}
}

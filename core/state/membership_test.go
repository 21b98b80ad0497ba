package state

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"bronzewind.example/core/record"
)

func run(name string, incarnation uint64) record.Writer {
	return record.Writer{Instance: name, Incarnation: incarnation}
}

func runs(names ...string) []record.Writer {
	var out []record.Writer
	for _, n := range names {
		out = append(out, run(n, 1))
	}
	return out
}

// fleetOf returns a state with members of incarnation 1, of which m has
// witnesses.
func fleetOf(witnesses []record.Writer, names ...string) *State {
	s := New()
	for _, n := range names {
		s.Members[n] = Member{Writer: run(n, 1)}
	}
	s.Members["m"] = Member{Writer: run("m", 1), Witnesses: witnesses, LeaseVersion: 4}
	return s
}

func TestMembershipRecords(t *testing.T) {
	for _, tc := range []struct {
		name   string
		writer record.Writer
		body   record.Body
		want   Verdict
	}{
		{"a new instance joins", run("n", 1), record.InstanceJoined{}, Accepted},
		{"a new run while the earlier one is a member", run("m", 2), record.InstanceJoined{}, Stale},
		{"a loss that builds on the present lease", run("a", 1), record.InstanceLost{Member: run("m", 1), Base: 4}, Accepted},
		{"a loss that a renewal came before", run("a", 1), record.InstanceLost{Member: run("m", 1), Base: 3}, Stale},
		{"a loss of another run", run("a", 1), record.InstanceLost{Member: run("m", 2), Base: 4}, Stale},
		{"a renewal", run("m", 1), record.LeaseRenewed{}, Accepted},
		{"a renewal of a run that is no member", run("m", 2), record.LeaseRenewed{}, Stale},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := fleetOf(runs("a", "b", "c"), "a", "b", "c")
			got := s.Apply(0, record.Record{ID: "r", Writer: tc.writer, Body: tc.body})
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("verdict (-want +got):\n%s", diff)
			}
		})
	}
}

func TestWitnessesKeepMajoritiesMeeting(t *testing.T) {
	for _, tc := range []struct {
		name    string
		members []string // besides m
		present []string
		next    []string
		refused []string
		want    bool
	}{
		{"first ones", []string{"a", "b", "c"}, nil, []string{"a", "b", "c"}, nil, true},
		{"one alone", []string{"a"}, nil, []string{"a"}, nil, false},
		{"a lost one replaced", []string{"a", "b", "d"}, []string{"a", "b", "c"}, []string{"a", "b", "d"}, nil, true},
		{"a living one replaced", []string{"a", "b", "c", "d"}, []string{"a", "b", "c"}, []string{"a", "b", "d"}, nil, false},
		{"one that refused replaced", []string{"a", "b", "c", "d"}, []string{"a", "b", "c"}, []string{"a", "b", "d"}, []string{"c"}, true},
		{"two lost replaced", []string{"a", "d", "e"}, []string{"a", "b", "c"}, []string{"a", "d", "e"}, nil, true},
		{"one more", []string{"a", "b", "c"}, []string{"a", "b"}, []string{"a", "b", "c"}, nil, true},
		{"two more", []string{"a", "b", "c", "d", "e"}, []string{"a", "b", "c"}, []string{"a", "b", "c", "d", "e"}, nil, false},
		{"none while a majority answers", []string{"a", "b"}, []string{"a", "b", "c"}, nil, nil, false},
		{"none once no majority answers", []string{"a"}, []string{"a", "b"}, nil, nil, true},
		{"the member itself", []string{"a", "b"}, nil, []string{"a", "m"}, nil, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := fleetOf(runs(tc.present...), tc.members...)
			row := record.WitnessRow{Member: run("m", 1), Base: 4, Witnesses: runs(tc.next...), Refused: runs(tc.refused...)}
			if diff := cmp.Diff(tc.want, s.MayName(row)); diff != "" {
				t.Errorf("may follow (-want +got):\n%s", diff)
			}
		})
	}
}

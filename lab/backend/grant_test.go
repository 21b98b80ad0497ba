package backend

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	core "bronzewind.example/core/backend"
	"bronzewind.example/core/record"
)

// TestRenewalListsSlotsOnlyWhenTheyChanged sends grants through the client of
// the dispatchers and looks at what crossed the network.
func TestRenewalListsSlotsOnlyWhenTheyChanged(t *testing.T) {
	s := NewServer("b")
	var listed []bool
	h := s.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		listed = append(listed, strings.Contains(string(body), `"slots"`))
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		h.ServeHTTP(w, r)
	}))
	defer server.Close()
	c := core.NewClient()
	ranges := func(last uint32) []record.SlotRange {
		return []record.SlotRange{{First: 0, Last: 0, Server: "b"}, {First: 2, Last: 3}}[:last]
	}
	steps := []struct {
		name     string
		epoch    uint64
		sequence uint64
		slots    []record.SlotRange
		forget   bool // the server forgets which grant listed
		listed   []bool
	}{
		{name: "first", epoch: 1, sequence: 1, slots: ranges(1), listed: []bool{true}},
		{name: "unchanged", epoch: 1, sequence: 2, slots: ranges(1), listed: []bool{false}},
		{name: "changed", epoch: 1, sequence: 3, slots: ranges(2), listed: []bool{true}},
		{name: "unchanged again", epoch: 1, sequence: 4, slots: ranges(2), listed: []bool{false}},
		{name: "server knows another listing", epoch: 1, sequence: 5, slots: ranges(2), forget: true, listed: []bool{false, true}},
		{name: "next dispatcher", epoch: 2, sequence: 1, slots: ranges(2), listed: []bool{true}},
	}
	for _, step := range steps {
		listed = nil
		if step.forget {
			s.listed = 1
		}
		g := core.Grant{Service: "s", Server: "b", Epoch: step.epoch, Sequence: step.sequence, Incarnation: s.incarnation, UntilMicros: 1 << 40, Slots: step.slots}
		a, err := c.Grant(t.Context(), server.Listener.Addr().String(), g, true)
		if err != nil || !a.Accepted {
			t.Fatalf("%s: %+v, %v", step.name, a, err)
		}
		if d := cmp.Diff(step.listed, listed); d != "" {
			t.Errorf("%s: lists sent (-want +got)\n%s", step.name, d)
		}
		if d := cmp.Diff(step.slots, s.granted.Slots); d != "" {
			t.Errorf("%s: slots held (-want +got)\n%s", step.name, d)
		}
	}
}

func TestGrantIsRefusedWhenItsListsAreNotTheLast(t *testing.T) {
	s := NewServer("b")
	slots := []record.SlotRange{{First: 0, Last: 7}}
	grant := func(epoch, sequence, same uint64) core.Grant {
		g := core.Grant{Epoch: epoch, Sequence: sequence, SameAs: same, Incarnation: s.incarnation, UntilMicros: 1 << 40}
		if same == 0 {
			g.Slots = slots
		}
		return g
	}
	tests := []struct {
		name string
		g    core.Grant
		want string
	}{
		{"listing", grant(2, 1, 0), ""},
		{"same as the last listing", grant(2, 2, 1), ""},
		{"same as a renewal that listed nothing", grant(2, 3, 2), "lists of the grant named are not the last ones"},
		{"same, under another epoch", grant(3, 1, 1), "lists of the grant named are not the last ones"},
		{"old epoch", grant(1, 9, 0), "epoch is old"},
		{"old sequence", grant(2, 2, 0), "sequence is old"},
	}
	for _, tt := range tests {
		if d := cmp.Diff(tt.want, s.take(tt.g)); d != "" {
			t.Errorf("%s (-want +got)\n%s", tt.name, d)
		}
	}
	if d := cmp.Diff(slots, s.granted.Slots); d != "" {
		t.Errorf("slots held (-want +got)\n%s", d)
	}
}

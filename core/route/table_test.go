package route

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bronzewind.example/core/config"
	"bronzewind.example/core/keyspace"
	"bronzewind.example/core/state"
)

const (
	benchSlots   = 1 << 16
	benchHotKeys = 50
)

// benchTable returns a snapshot in which even hot keys are not owned with
// their slots, and odd ones have no owner.
func benchTable() *Service {
	c := &config.Configuration{Services: []config.Service{{Name: "proofs", Slots: benchSlots}}}
	v := &state.Service{Name: "proofs", Servers: map[string]state.Server{}, Slots: make(state.Slots, benchSlots), Keys: map[keyspace.Hash]state.SlotRow{}}
	for i := range 16 {
		name := fmt.Sprintf("s%02d", i)
		s := state.Server{Up: true}
		s.Row.Name = name
		v.Servers[name] = s
	}
	for i := range v.Slots {
		v.Slots[i] = state.SlotRow{Owner: fmt.Sprintf("s%02d", i%16), Epoch: uint64(i)}
	}
	for i := range benchHotKeys {
		row := state.SlotRow{Epoch: uint64(i)}
		if i%2 == 0 {
			row.Owner = "s15"
		}
		v.Keys[hotKey(i)] = row
	}
	t := NewTable(&state.State{Configuration: c, Services: map[string]*state.Service{"proofs": v}})
	s, _ := t.Service("proofs")
	return s
}

func hotKey(i int) keyspace.Hash { return keyspace.NewHash(fmt.Sprintf("hot-%d", i)) }

func TestLookupFindsHotKeysAndSlots(t *testing.T) {
	s := benchTable()
	type owner struct {
		Name  string
		Epoch uint64
	}
	find := func(h keyspace.Hash) owner {
		server, epoch, ok := s.Lookup(h)
		if !ok {
			return owner{}
		}
		return owner{server.Name, epoch}
	}
	for i := range benchHotKeys {
		want := owner{}
		if i%2 == 0 {
			want = owner{"s15", uint64(i)}
		}
		if diff := cmp.Diff(want, find(hotKey(i))); diff != "" {
			t.Errorf("hot key %d (-want +got):\n%s", i, diff)
		}
	}
	for i := range 1000 {
		h := keyspace.NewHash(fmt.Sprint(i))
		slot := h.Slot(benchSlots)
		if diff := cmp.Diff(owner{fmt.Sprintf("s%02d", slot%16), uint64(slot)}, find(h)); diff != "" {
			t.Errorf("key %d (-want +got):\n%s", i, diff)
		}
	}
}

func TestLookupDoesNotAllocate(t *testing.T) {
	s, key := benchTable(), "4711"
	if n := testing.AllocsPerRun(1000, func() { s.Lookup(keyspace.NewHash(key)) }); n != 0 {
		t.Errorf("%v allocations a lookup, want 0", n)
	}
}

func BenchmarkLookup(b *testing.B) {
	s := benchTable()
	keys := make([]string, 1<<16)
	for i := range keys {
		keys[i] = fmt.Sprintf("subscriber-%d", i)
		if i%4 == 0 {
			keys[i] = fmt.Sprintf("hot-%d", i%benchHotKeys)
		}
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		s.Lookup(keyspace.NewHash(keys[i&(1<<16-1)]))
		i++
	}
}

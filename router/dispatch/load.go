package dispatch

import (
	"cmp"
	"slices"
	"time"

	"bronzewind.example/core/control"
	"bronzewind.example/core/keyspace"
)

const (
	loadWindow    = 5 * time.Second // a load is the mean over one to two windows, or since the start of the meter if that is shorter
	reportedSlots = 32
	reportedKeys  = 16
	trackedKeys   = 64
)

type (
	// loadMeter measures the load of one backend server by slot and by key.
	loadMeter struct {
		current, previous windowLoad
	}

	// windowLoad holds the slot time of the requests that ended within one window.
	windowLoad struct {
		windowStart time.Time
		slots       map[keyspace.Slot]time.Duration // without hot keys, which have an ownership row of their own
		keys        topKeys
	}

	// topKeys keeps the trackedKeys keys with the most slot time in bounded
	// memory (space-saving algorithm): a new key replaces the one with the least
	// time and inherits its slot time. The true slot time of a key is at least
	// slotTime minus overcount. The zero value is empty.
	topKeys struct{ entries []keyTime }

	keyTime struct {
		hash      keyspace.Hash
		slotTime  time.Duration
		overcount time.Duration // upper bound of the part of slotTime that belongs to other keys
	}
)

func newLoadMeter(now time.Time) loadMeter {
	return loadMeter{current: newWindowLoad(now), previous: newWindowLoad(now)}
}

func newWindowLoad(now time.Time) windowLoad {
	return windowLoad{windowStart: now, slots: map[keyspace.Slot]time.Duration{}}
}

// add counts a request that ran from started until now. hot means that the key
// has an ownership row of its own.
func (m *loadMeter) add(now time.Time, slot keyspace.Slot, h keyspace.Hash, hot bool, started time.Time) {
	m.rollWindow(now)
	slotTime := now.Sub(started)
	if !hot {
		m.current.slots[slot] += slotTime
	}
	m.current.keys.add(h, slotTime)
}

func (m *loadMeter) rollWindow(now time.Time) {
	if now.Sub(m.current.windowStart) >= loadWindow {
		m.previous, m.current = m.current, newWindowLoad(now)
	}
}

// report returns the load as the average number of requests running at once.
func (m *loadMeter) report(now time.Time, service, server string) control.LoadReported {
	m.rollWindow(now)
	out := control.LoadReported{Service: service, Server: server}
	span := now.Sub(m.previous.windowStart)
	if span <= 0 {
		return out
	}
	slots := map[keyspace.Slot]time.Duration{}
	for _, n := range []*windowLoad{&m.previous, &m.current} {
		for slot, slotTime := range n.slots {
			slots[slot] += slotTime
		}
	}
	for slot, slotTime := range slots {
		out.Slots = append(out.Slots, control.SlotLoad{Slot: slot, Load: averageRunning(slotTime, span)})
	}
	slices.SortFunc(out.Slots, func(a, b control.SlotLoad) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Slot, b.Slot))
	})
	for len(out.Slots) > reportedSlots {
		out.Rest += out.Slots[len(out.Slots)-1].Load
		out.Slots = out.Slots[:len(out.Slots)-1]
	}
	out.Keys = m.keyLoads(span)
	return out
}

func (m *loadMeter) keyLoads(span time.Duration) []control.KeyLoad {
	slotTime := map[keyspace.Hash]time.Duration{}
	for _, n := range []*windowLoad{&m.previous, &m.current} {
		for _, k := range n.keys.entries {
			slotTime[k.hash] += k.slotTime - k.overcount
		}
	}
	var out []control.KeyLoad
	for h, b := range slotTime {
		if b > 0 {
			out = append(out, control.KeyLoad{Hash: h, Load: averageRunning(b, span)})
		}
	}
	slices.SortFunc(out, func(a, b control.KeyLoad) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Hash, b.Hash))
	})
	return out[:min(len(out), reportedKeys)]
}

func averageRunning(slotTime, span time.Duration) float32 {
	return float32(slotTime.Seconds() / span.Seconds())
}

func (s *topKeys) add(h keyspace.Hash, slotTime time.Duration) {
	least := 0
	for i := range s.entries {
		if s.entries[i].hash == h {
			s.entries[i].slotTime += slotTime
			return
		}
		if s.entries[i].slotTime < s.entries[least].slotTime {
			least = i
		}
	}
	if len(s.entries) < trackedKeys {
		s.entries = append(s.entries, keyTime{hash: h, slotTime: slotTime})
		return
	}
	over := s.entries[least].slotTime
	s.entries[least] = keyTime{hash: h, slotTime: over + slotTime, overcount: over}
}

// Loads returns the measured load of every backend server to which this
// instance dispatches.
func (s *Dispatchers) Loads() []control.LoadMeasured {
	var out []control.LoadMeasured
	for _, d := range *s.dispatcherMap.Load() {
		out = append(out, control.LoadMeasured{Load: d.measure()})
	}
	return out
}

func (d *Dispatcher) measure() control.LoadReported {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loadMeter.report(d.set.clock.Now(), d.server.Service, d.server.Name)
}

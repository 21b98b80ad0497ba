package control

import (
	"time"

	"bronzewind.example/core/keyspace"
	"bronzewind.example/core/state"
)

// loadLifetime is how long a measured load counts.
const loadLifetime = 30 * time.Second

type (
	// SlotLoad is the load of one slot: requests running at once on average.
	SlotLoad struct {
		_    struct{} `cbor:",toarray"`
		Slot keyspace.Slot
		Load float32
	}

	// KeyLoad is the load of one key: requests running at once on average.
	KeyLoad struct {
		_    struct{} `cbor:",toarray"`
		Hash keyspace.Hash
		Load float32
	}

	// LoadReported tells a coordinator the load of one backend server as its
	// dispatcher measured it.
	LoadReported struct {
		Service string     `cbor:"1,keyasint"`
		Server  string     `cbor:"2,keyasint"`
		Slots   []SlotLoad `cbor:"3,keyasint"` // the most loaded ones, without their hot keys
		Rest    float32    `cbor:"4,keyasint"` // of all other slots together
		Keys    []KeyLoad  `cbor:"5,keyasint"` // the most loaded keys; those without a row count in Slots too
	}

	// LoadMeasured brings the load of a backend server from its dispatcher.
	LoadMeasured struct{ Load LoadReported }

	measuredLoad struct {
		LoadReported
		measuredAt time.Time
	}

	// weights is the load of each slot and hot key of a service, with a base
	// for each slot.
	weights struct {
		slots []float64
		keys  map[keyspace.Hash]float64 // measured; not only those with rows
	}
)

func (LoadMeasured) event()   {}
func (LoadReported) message() {}

// loadMeasured hands a loadMeasured load to the coordinator of its service.
func (c *Core) loadMeasured(e LoadMeasured, now time.Time) []Effect {
	v, ok := c.state.Services[e.Load.Service]
	if !ok || !c.state.IsMember(v.Coordinator) {
		return nil
	}
	if v.Coordinator != c.self {
		return []Effect{SendMessage{To: v.Coordinator, Message: e.Load}}
	}
	c.storeLoad(e.Load, now)
	return nil
}

func (c *Core) storeLoad(l LoadReported, now time.Time) {
	c.loads[serverKey{service: l.Service, server: l.Server}] = measuredLoad{LoadReported: l, measuredAt: now}
}

// weightsOf returns the weights of v's slots and keys from the loads that are not
// out of date. base is the weight of a slot without load.
func (c *Core) weightsOf(v *state.Service, base float64, now time.Time) weights {
	w := weights{slots: make([]float64, len(v.Slots)), keys: map[keyspace.Hash]float64{}}
	for i := range w.slots {
		w.slots[i] = base
	}
	owned := map[string]int{}
	for _, row := range v.Slots {
		owned[row.Owner]++
	}
	rest := map[string]float64{}
	for name := range v.Servers {
		l, ok := c.loads[serverKey{service: v.Name, server: name}]
		if !ok || now.Sub(l.measuredAt) > loadLifetime {
			continue
		}
		rest[name] = 0
		if n := owned[name] - len(l.Slots); n > 0 {
			rest[name] = float64(l.Rest) / float64(n)
		}
		for _, k := range l.Keys {
			w.keys[k.Hash] += float64(k.Load)
		}
	}
	for i, row := range v.Slots {
		w.slots[i] += rest[row.Owner]
	}
	for name := range rest {
		for _, s := range c.loads[serverKey{service: v.Name, server: name}].Slots {
			if int(s.Slot) < len(v.Slots) && v.Slots[s.Slot].Owner == name {
				w.slots[s.Slot] += float64(s.Load) - rest[name]
			}
		}
	}
	return w
}

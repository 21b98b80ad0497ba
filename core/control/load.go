package control

import (
	"time"

	"bronzewind.example/core/keyspace"
	"bronzewind.example/core/state"
)

// loadLifetime is how long a measured load is used.
const loadLifetime = 30 * time.Second

type (
	// SlotLoad is the load of one slot: the mean number of concurrent requests.
	SlotLoad struct {
		_    struct{} `cbor:",toarray"`
		Slot keyspace.Slot
		Load float32
	}

	// KeyLoad is the load of one key: the mean number of concurrent requests.
	KeyLoad struct {
		_    struct{} `cbor:",toarray"`
		Hash keyspace.Hash
		Load float32
	}

	// LoadReported reports the load of one backend server, as measured by its
	// dispatcher, to the coordinator of its service.
	LoadReported struct {
		Service string     `cbor:"1,keyasint"`
		Server  string     `cbor:"2,keyasint"`
		Slots   []SlotLoad `cbor:"3,keyasint"` // the most loaded slots, without the load of their hot keys
		Rest    float32    `cbor:"4,keyasint"` // total of all other slots
		Keys    []KeyLoad  `cbor:"5,keyasint"` // the most loaded keys; those that are not hot are counted in Slots too
	}

	// LoadMeasured delivers the load of a backend server from its dispatcher.
	LoadMeasured struct{ Load LoadReported }

	measuredLoad struct {
		LoadReported
		measuredAt time.Time
	}

	// weights holds the weight of each slot and the load of each measured key of
	// a service. The weight of a slot includes a base weight.
	weights struct {
		slots []float64
		keys  map[keyspace.Hash]float64 // all measured keys, including those without their own row
	}
)

func (LoadMeasured) event()   {}
func (LoadReported) message() {}

// loadMeasured passes a measured load to the coordinator of its service.
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

// weightsOf returns the weights of v's slots and keys from the loads measured
// within loadLifetime. base is the weight of a slot without load.
func (c *Core) weightsOf(v *state.Service, base float64, now time.Time) weights {
	w := weights{slots: make([]float64, len(v.Slots)), keys: map[keyspace.Hash]float64{}}
	for i := range w.slots {
		w.slots[i] = base
	}
	ownedSlots := map[string]int{}
	for _, row := range v.Slots {
		ownedSlots[row.Owner]++
	}
	restPerSlot := map[string]float64{}
	for name := range v.Servers {
		l, ok := c.loads[serverKey{service: v.Name, server: name}]
		if !ok || now.Sub(l.measuredAt) > loadLifetime {
			continue
		}
		restPerSlot[name] = 0
		if n := ownedSlots[name] - len(l.Slots); n > 0 {
			restPerSlot[name] = float64(l.Rest) / float64(n)
		}
		for _, k := range l.Keys {
			w.keys[k.Hash] += float64(k.Load)
		}
	}
	for i, row := range v.Slots {
		w.slots[i] += restPerSlot[row.Owner]
	}
	for name := range restPerSlot {
		for _, s := range c.loads[serverKey{service: v.Name, server: name}].Slots {
			if int(s.Slot) < len(v.Slots) && v.Slots[s.Slot].Owner == name {
				w.slots[s.Slot] += float64(s.Load) - restPerSlot[name]
			}
		}
	}
	return w
}

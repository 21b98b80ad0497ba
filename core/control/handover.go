package control

import (
	"slices"
	"time"

	"bronzewind.example/core/backend"
	"bronzewind.example/core/keyspace"
	"bronzewind.example/core/record"
	"bronzewind.example/core/state"
)

type (
	// serverOwnership is what a backend server owns at a version of its
	// service.
	serverOwnership struct {
		known   bool
		version uint64
		slots   []record.SlotRange
		keys    []keyspace.Hash // hot keys that the server owns
		except  []keyspace.Hash // hot keys of its slots that other servers own
		moving  slotKeySet      // subset of slots and keys that has a next owner
	}

	// slotKeySet is a set of slots and hot keys, each in order.
	slotKeySet struct {
		slots []record.SlotRange
		keys  []keyspace.Hash
	}

	// handover is the planned move of slots and hot keys away from a backend
	// server. New requests for them are paused, those in flight end, a grant
	// without them is accepted, and then their release is recorded. Each slot
	// and key is revoked and released as soon as it has no requests in flight,
	// without waiting for the others. All stay paused, and what is drained stays
	// out of grants, until the state shows the release or the end of the move.
	handover struct {
		slotKeySet        // the paused slots and keys; empty when nothing is being handed over
		pauseID    uint64 // number of the PauseSlots
		pausedAt   time.Time
		drained    slotKeySet // subset of the paused slots and keys that has no requests in flight
		allDrained bool       // drained is everything that is paused
		sequence   uint64     // of the last grant sent before the latest SlotsDrained
		notBefore  time.Time  // requests of an earlier dispatcher may be in flight until then
	}
)

// update recomputes s if the version of v has changed.
func (s *serverOwnership) update(v *state.Service, server string) {
	if s.known && s.version == v.Version {
		return
	}
	*s = serverOwnership{known: true, version: v.Version}
	s.slots = v.OwnedBy(server)
	s.keys, s.except = v.KeysOwnedBy(server)
	for _, r := range s.slots {
		for i := r.First; i <= r.Last; i++ {
			if v.Slots[i].Next != "" {
				s.moving.slots = appendSlot(s.moving.slots, i, server)
			}
		}
	}
	s.moving.keys = v.MovingFrom(server)
}

func (o slotKeySet) empty() bool { return len(o.slots)+len(o.keys) == 0 }

// decideHandover starts to hand over what has a next owner, and drops from the
// handover what has moved or no longer has a next owner.
func (c *Core) decideHandover(v *state.Service, server state.Server, g *grantState, now time.Time) []Effect {
	h := &g.handover
	h.slots = intersect(h.slots, g.owned.moving.slots)
	h.keys = slices.DeleteFunc(slices.Clone(h.keys), func(k keyspace.Hash) bool { return !slices.Contains(g.owned.moving.keys, k) })
	h.drained = h.drainedSubset()
	if !h.empty() || g.owned.moving.empty() || now.Before(h.notBefore) {
		return nil
	}
	return c.pause(v, server, h, g.owned.moving, now)
}

// pause stops new requests for set; SlotsDrained reports when those in flight
// have ended.
func (c *Core) pause(v *state.Service, server state.Server, h *handover, set slotKeySet, now time.Time) []Effect {
	c.lastPauseID++
	h.slotKeySet, h.pauseID, h.pausedAt, h.drained, h.allDrained = set, c.lastPauseID, now, slotKeySet{}, false
	return []Effect{PauseSlots{
		Service: v.Name, Server: server.Row.Name, PauseID: h.pauseID, Ranges: h.slots, Keys: h.keys,
	}}
}

// drainedSubset returns what is paused and has no requests in flight.
func (h *handover) drainedSubset() slotKeySet {
	return slotKeySet{slots: intersect(h.slots, h.drained.slots), keys: commonKeys(h.keys, h.drained.keys)}
}

// slotsDrained revokes slots and keys that have no requests in flight: it sends
// a grant without them. While the dispatcher role is being handed over, the
// grant stays whole (see fillGrant).
func (c *Core) slotsDrained(e SlotsDrained, now time.Time) []Effect {
	g, ok := c.grants[serverKey{service: e.Service, server: e.Server}]
	v, configured := c.state.Services[e.Service]
	if !ok || !configured || !c.holdsLease(now) || e.PauseID != g.handover.pauseID {
		return nil
	}
	h := &g.handover
	before := h.drainedSubset()
	h.drained = slotKeySet{
		slots: subtract(h.slots, subtract(subtract(h.slots, before.slots), e.Ranges)),
		keys:  commonKeys(h.keys, append(slices.Clone(before.keys), e.Keys...)),
	}
	h.allDrained = len(h.drained.keys) == len(h.keys) && len(subtract(h.slots, h.drained.slots)) == 0
	if h.empty() || len(h.drained.keys) == len(before.keys) && slices.Equal(h.drained.slots, before.slots) {
		return nil
	}
	h.sequence = g.sequence
	return []Effect{c.sendGrant(v, v.Servers[e.Server], g, now)}
}

// commonKeys returns the keys of a that are also in b.
func commonKeys(a, b []keyspace.Hash) []keyspace.Hash {
	return slices.DeleteFunc(slices.Clone(a), func(k keyspace.Hash) bool { return !slices.Contains(b, k) })
}

// fillGrantExceptDrained writes owned into grant, except what is drained.
func (h *handover) fillGrantExceptDrained(grant *backend.Grant, owned *serverOwnership, slots int) {
	grant.Slots, grant.Keys, grant.Except = owned.slots, owned.keys, owned.except
	drained := h.drainedSubset()
	if drained.empty() {
		return
	}
	grant.Slots = subtract(owned.slots, drained.slots)
	grant.Keys = slices.DeleteFunc(slices.Clone(owned.keys), func(k keyspace.Hash) bool { return slices.Contains(drained.keys, k) })
	for _, k := range drained.keys {
		if coversSlot(grant.Slots, k.Slot(slots)) {
			grant.Except = append(slices.Clone(grant.Except), k)
		}
	}
}

// revokedBy reports whether the grant was sent after the latest SlotsDrained and
// covers nothing that is drained.
func (h *handover) revokedBy(grant backend.Grant, slots int) bool {
	drained := h.drainedSubset()
	if drained.empty() || grant.Sequence <= h.sequence || !disjoint(grant.Slots, drained.slots) {
		return false
	}
	return !slices.ContainsFunc(drained.keys, func(k keyspace.Hash) bool { return grant.Covers(k, k.Slot(slots)) })
}

// releaseDrained proposes SlotsReleased for what is drained. The caller has
// checked that an accepted grant no longer covers it or, if the server checks no
// grants, that the deadlines of its requests have passed.
func (c *Core) releaseDrained(v *state.Service, server state.Server, g *grantState, now time.Time) []Effect {
	name, drained := server.Row.Name, g.handover.drainedSubset()
	body := record.SlotsReleased{Service: v.Name, Epoch: g.epoch, Ranges: drained.slots, Through: v.Version}
	for _, k := range drained.keys {
		body.Keys = append(body.Keys, record.KeyRow{Hash: k, Server: name})
	}
	return c.propose("release/"+v.Name+"/"+name, body, now)
}

// maxRequestDuration returns the longest Patience of the service's kinds, which
// bounds the time until the deadline of a request.
func (c *Core) maxRequestDuration(service string) time.Duration {
	conf, ok := c.state.Configuration.Service(service)
	if !ok {
		return 0
	}
	longest := time.Duration(0)
	for _, k := range conf.Kinds {
		longest = max(longest, k.Patience.Std())
	}
	return longest
}

func coversSlot(rs []record.SlotRange, slot keyspace.Slot) bool {
	return slices.ContainsFunc(rs, func(r record.SlotRange) bool { return r.First <= slot && slot <= r.Last })
}

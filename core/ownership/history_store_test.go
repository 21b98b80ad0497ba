package ownership

import (
	"slices"
	"time"
)

type (
	// historyStore keeps records in order; the index of a record is its offset.
	historyStore struct {
		historyStoreState
		era      uint64 // how often the store came back from an older copy
		down     bool
		outage   bool                // down before it comes back from an older copy
		past     []historyStoreState // all states so far, in order of time
		heldBack []func()            // calls in flight that are carried out after the outage
	}

	// historyStoreState is what a copy of the store contains. It is never changed.
	historyStoreState struct {
		at      time.Time // of the write that led to this state
		epoch   uint64    // of the last accepted claim
		records []historyRecord
	}

	historyRecord struct {
		event    Event // EpochClaimed, Resigned or PartitionMapRead
		instance int   // index of the granter that wrote it
		sequence int   // of the write of a partition map in its process; repeats have the same one
	}

	// storeResponse is the response to a read, with the state in which it was sent.
	storeResponse struct {
		historyStoreState
		era uint64
	}
)

func (s *historyStore) available() bool { return !s.down && !s.outage }

// write appends a record under epoch.
func (s *historyStore) write(now time.Time, epoch uint64, r historyRecord) {
	s.enter(historyStoreState{at: now, epoch: epoch, records: append(slices.Clone(s.records), r)})
}

// isMapOf reports whether the record is a partition map of epoch.
func (r historyRecord) isMapOf(epoch uint64) bool {
	m, ok := r.event.(PartitionMapRead)
	return ok && m.Map.Epoch == epoch
}

func (s *historyStore) enter(state historyStoreState) {
	s.historyStoreState = state
	s.past = append(s.past, state)
}

// stateAt returns the state that a copy from the given time contains.
func (s *historyStore) stateAt(at time.Time) historyStoreState {
	var out historyStoreState
	for _, state := range s.past {
		if !state.at.After(at) {
			out = state
		}
	}
	return out
}

// newest returns the newest claim, partition map and resignation, in the order in which
// a real store returns them, which is that of their keys.
func (s historyStoreState) newest() []historyRecord {
	var claim, partitionMap, resignation []historyRecord
	for _, r := range s.records {
		switch e := r.event.(type) {
		case EpochClaimed:
			e.Loaded = true
			r.event = e
			claim = []historyRecord{r}
		case PartitionMapRead:
			partitionMap = []historyRecord{r}
		case Resigned:
			resignation = []historyRecord{r}
		}
	}
	return slices.Concat(claim, partitionMap, resignation)
}

// callStore runs do at the store after a network delay, unless the store is down or
// the granter is disconnected from it by then. In a history with restores, some calls
// take longer, and some calls during an outage are carried out after it.
func (g *historyGranter) callStore(do func()) {
	h := g.history
	delay := h.randomDuration(time.Millisecond, 60*time.Millisecond)
	if h.restores != nil && h.chance(slowCallShare) {
		delay = h.randomDuration(0, maxSlowCall)
	}
	h.schedule(delay, func() {
		switch {
		case g.disconnected:
		case h.store.available():
			do()
		case h.store.outage && h.chance(heldBackShare):
			h.store.heldBack = append(h.store.heldBack, do)
		}
	})
}

// writeStore is like callStore, for calls that write.
func (g *historyGranter) writeStore(do func()) {
	g.callStore(func() {
		if !g.refused {
			do()
		}
	})
}

package memory

// The decisions in this file limit the effect of this load: many callers open connections, send a part of a
// request or nothing, and keep them open.
//
//   - Callers' connections leave descriptors to backend servers, the store and peers.
//   - From evictFraction of the limit, each new connection takes the place of an idle one,
//     the one that has been idle longest, or of one with a stalled body.
//   - At the limit, a new connection is closed unread.
//   - Half of the budget is the most that connections may hold. A connection on which a
//     request begins to arrive beyond that is closed with the request unread.

const (
	// ConnectionBytes is what a connection of a caller holds apart from bodies.
	ConnectionBytes = 16 << 10

	// RequestBytes is what a connection holds beside that while requests are under way: the
	// head as it arrives, and the parsed one.
	RequestBytes = 64 << 10

	evictFraction            = 7.0 / 8 // of the limit
	evictedPerAccept         = 8
	callerDescriptorFraction = 3.0 / 4 // of the descriptors for sockets
	connectionMemoryFraction = 1.0 / 4 // of the budget
)

// Eviction is what a new connection leads to.
type Eviction struct {
	Refuse bool // the new connection is closed
	Evict  int  // connections to close, if there are idle or stalled ones
}

// ConnectionLimit returns how many connections callers may have open. The process may
// have the given number of descriptors for sockets; 0 means that only memory limits them.
func (l Limits) ConnectionLimit(descriptors int) int {
	limit := int(connectionMemoryFraction * float64(l.Bytes) / ConnectionBytes)
	if descriptors > 0 {
		limit = min(limit, int(callerDescriptorFraction*float64(descriptors)))
	}
	return max(1, limit)
}

// AdmitConnection decides on a new connection while open others are open.
func AdmitConnection(open, limit int) Eviction {
	switch evictFrom := int(evictFraction * float64(limit)); {
	case open >= limit:
		return Eviction{Refuse: true, Evict: evictedPerAccept}
	case open >= evictFrom:
		return Eviction{Evict: min(evictedPerAccept, 1+open-evictFrom)}
	default:
		return Eviction{}
	}
}

package direct

import "sync"

// maxSplitLead is how many requests a part may be ahead of its share at one
// instance, so that a request can go to the part that serves it nearer.
const maxSplitLead = 2

// splitter deals the requests of split routes to their parts, so that after
// any number of requests each part has its share to within a few requests.
type splitter struct {
	mu      sync.Mutex
	credits map[string][]float64 // by route name: what each part is owed; guarded by mu
}

func newSplitter() *splitter { return &splitter{credits: map[string][]float64{}} }

// nextPart returns the part that the nextPart request of r goes to: the one at the least
// distance, unless it has had more than its share, or else the one that is owed
// most.
func (s *splitter) nextPart(r *Route, distance func(Part) Distance) Part {
	if len(r.Parts) == 1 {
		return r.Parts[0]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	owed := s.credits[r.Name]
	if len(owed) != len(r.Parts) {
		owed = make([]float64, len(r.Parts))
		s.credits[r.Name] = owed
	}
	sum := 0.0
	for _, p := range r.Parts {
		sum += p.Weight
	}
	best := 0
	for i, p := range r.Parts {
		owed[i] += p.Weight / sum
		if owed[i] > owed[best] {
			best = i
		}
	}
	if near, ok := nearerPart(r.Parts, owed, best, distance); ok {
		best = near
	}
	owed[best]--
	return r.Parts[best]
}

// nearerPart returns a part at a smaller distance than the one that is owed most,
// if it is not too far ahead of its share.
func nearerPart(parts []Part, owed []float64, most int, distance func(Part) Distance) (int, bool) {
	best, found := most, false
	least := distance(parts[most])
	for i, p := range parts {
		if p.Weight <= 0 || owed[i]-1 < -maxSplitLead {
			continue
		}
		if d := distance(p); d < least {
			best, least, found = i, d, true
		}
	}
	return best, found
}

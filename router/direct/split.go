package direct

import (
	"slices"
	"sync"
)

// maxSplitLead is how many requests a part may be ahead of its share at one
// instance, so that a request can go to the part whose server is nearer.
const maxSplitLead = 2

// splitter distributes the requests of a route among its parts by weight. No
// part is ever more than maxSplitLead requests ahead of its share; a part may be
// behind its share by as much as the other parts together are ahead of theirs.
type splitter struct {
	mu      sync.Mutex
	credits map[string][]float64 // by route name: requests that each part is behind its share; guarded by mu
}

func newSplitter() *splitter { return &splitter{credits: map[string][]float64{}} }

// nextPart returns the part for the next request of r: the nearest part with a
// weight above 0 that would then be at most maxSplitLead requests ahead of its
// share, if it is nearer than the part with the largest credit; otherwise the
// part with the largest credit.
func (s *splitter) nextPart(r *Route, distance func(Part) Distance) Part {
	if len(r.Parts) == 1 {
		return r.Parts[0]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.credits[r.Name]) != len(r.Parts) {
		s.credits[r.Name] = make([]float64, len(r.Parts))
	}
	return takePart(r, s.credits[r.Name], distance)
}

// peekPart returns what nextPart would return, and counts nothing.
func (s *splitter) peekPart(r *Route, distance func(Part) Distance) Part {
	s.mu.Lock()
	credits := slices.Clone(s.credits[r.Name])
	s.mu.Unlock()
	if len(credits) != len(r.Parts) {
		credits = make([]float64, len(r.Parts))
	}
	return takePart(r, credits, distance)
}

// takePart returns the part for the next request of r and counts the request in credits.
func takePart(r *Route, credits []float64, distance func(Part) Distance) Part {
	total := 0.0
	for _, p := range r.Parts {
		total += p.Weight
	}
	chosen := 0
	for i, p := range r.Parts {
		credits[i] += p.Weight / total
		if credits[i] > credits[chosen] {
			chosen = i
		}
	}
	if nearer, ok := nearerPart(r.Parts, credits, chosen, distance); ok {
		chosen = nearer
	}
	credits[chosen]--
	return r.Parts[chosen]
}

// nearerPart returns the nearest part with a weight above 0 that is nearer than
// parts[reference] and, after one more request, at most maxSplitLead requests
// ahead of its share.
func nearerPart(parts []Part, credits []float64, reference int, distance func(Part) Distance) (int, bool) {
	best, found := reference, false
	smallest := distance(parts[reference])
	for i, p := range parts {
		if p.Weight <= 0 || credits[i]-1 < -maxSplitLead {
			continue
		}
		if d := distance(p); d < smallest {
			best, smallest, found = i, d, true
		}
	}
	return best, found
}

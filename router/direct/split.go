package direct

import "sync"

// splitter deals the requests of split routes to their parts, so that after
// any number of requests each part has its share to within one request.
type splitter struct {
	mu   sync.Mutex
	rows map[string][]float64 // by route name: what each part is owed; guarded by mu
}

func newSplitter() *splitter { return &splitter{rows: map[string][]float64{}} }

// next returns the part that the next request of r goes to.
func (s *splitter) next(r *Route) Part {
	if len(r.Parts) == 1 {
		return r.Parts[0]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	owed := s.rows[r.Name]
	if len(owed) != len(r.Parts) {
		owed = make([]float64, len(r.Parts))
		s.rows[r.Name] = owed
	}
	sum, best := 0.0, 0
	for _, p := range r.Parts {
		sum += p.Weight
	}
	for i, p := range r.Parts {
		owed[i] += p.Weight / sum
		if owed[i] > owed[best] {
			best = i
		}
	}
	owed[best]--
	return r.Parts[best]
}

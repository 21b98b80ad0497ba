package direct

import (
	"math/rand/v2"
	"testing"
)

// TestSplitKeepsShares distributes requests, for two thirds of which part a is
// in another region. Each part has to stay within maxSplitLead+1 requests of
// its share at all times, although nearer parts are preferred.
func TestSplitKeepsShares(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	r := &Route{Name: "r", Parts: []Part{{"a", 70}, {"b", 30}, {"c", 0}}}
	s := newSplitter()
	counts := map[string]float64{}
	otherRegion := 0
	for n := 1.0; n <= 2000; n++ {
		sameDomain := random.IntN(3) == 0
		distance := func(p Part) Distance {
			if p.Service == "a" && !sameDomain {
				return OtherRegion
			}
			return SameDomain
		}
		p := s.nextPart(r, distance)
		counts[p.Service]++
		if distance(p) == OtherRegion {
			otherRegion++
		}
		for _, part := range r.Parts {
			if off := counts[part.Service] - n*part.Weight/100; off > maxSplitLead+1 || off < -maxSplitLead-1 {
				t.Fatalf("after %v requests part %s has %v, which is %v off its share", n, part.Service, counts[part.Service], off)
			}
		}
	}
	if otherRegion > 800 {
		t.Errorf("%d of 2000 requests went to another region, want at most 800; without the preference for nearer parts it would be 933 (2000 * 0.7 * 2/3)", otherRegion)
	}
}

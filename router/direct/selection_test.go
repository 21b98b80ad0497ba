package direct

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestSelectServerByDistanceAndLoad(t *testing.T) {
	sameDomain, sameRegion, otherRegion := &backend{}, &backend{}, &backend{}
	names := map[*backend]string{sameDomain: "same failure domain", sameRegion: "same region", otherRegion: "other region"}
	profile := requestProfile{typicalDuration: 100 * time.Millisecond}
	selected := func(sameDomainLoad, sameRegionLoad float64, profile requestProfile) *backend {
		c := selectServer([]candidate{
			{backend: otherRegion, distance: OtherRegion, slots: 6, slowness: 1, rtt: otherRegionRTT},
			{backend: sameRegion, distance: SameRegion, slots: 6, slowness: 1, rtt: sameRegionRTT, activeRequests: sameRegionLoad},
			{backend: sameDomain, distance: SameDomain, slots: 6, slowness: 1, activeRequests: sameDomainLoad},
		}, profile, 400*time.Millisecond, nil)
		return c.backend
	}
	for _, c := range []struct {
		sameDomainLoad, sameRegionLoad float64
		profile                        requestProfile
		want                           *backend
	}{
		{0, 0, profile, sameDomain},
		{5, 0, profile, sameRegion},
		{30, 30, profile, otherRegion},
		{30, 30, requestProfile{typicalDuration: profile.typicalDuration, bulk: true, bodyBytes: 60_000}, sameDomain},
		{7, 0, requestProfile{typicalDuration: profile.typicalDuration, bulk: true, bodyBytes: 300_000}, sameDomain},
	} {
		if got := selected(c.sameDomainLoad, c.sameRegionLoad, c.profile); got != c.want {
			t.Errorf("load %v in the same failure domain and %v in the same region, %+v: selected the server in the %s, want %s", c.sameDomainLoad, c.sameRegionLoad, c.profile, names[got], names[c.want])
		}
	}
	if c := selectServer([]candidate{{backend: sameDomain, slots: 6, slowness: 1}}, profile, time.Second, []*backend{sameDomain}); c != nil {
		t.Error("a server that already had an attempt was selected again")
	}
	sameDomainEjected := []candidate{{backend: sameDomain, slots: 6, slowness: 1, ejected: true}, {backend: otherRegion, distance: OtherRegion, slots: 6, slowness: 3, rtt: otherRegionRTT}}
	if c := selectServer(sameDomainEjected, profile, time.Second, nil); c.backend != otherRegion {
		t.Error("the ejected server was selected, want the one in another region")
	}
}

// TestSelectServerWithServersOfUnequalSpeed simulates requests to servers of
// unequal speed and compares server selection with the power of two random
// choices by load.
func TestSelectServerWithServersOfUnequalSpeed(t *testing.T) {
	const target = 250 * time.Millisecond
	lateFraction := func(choose func(random *rand.Rand, cs []candidate, profile requestProfile) int) float64 {
		random := rand.New(rand.NewPCG(9, 9))
		slowness := []float64{0.7, 0.7, 1.6, 0.7, 0.7, 1.6}
		type server struct{ slotFreeAt []time.Time }
		servers := make([]server, len(slowness))
		for i := range servers {
			servers[i].slotFreeAt = make([]time.Time, 6)
		}
		profile := requestProfile{typicalDuration: 100 * time.Millisecond}
		now, late := time.Unix(1000, 0), 0
		const requests = 20000
		for range requests {
			now = now.Add(time.Duration(random.ExpFloat64() / 310 * float64(time.Second)))
			cs := make([]candidate, len(slowness))
			for i, s := range servers {
				load := 0.0 // remaining work in requests, at least 1 for each busy slot
				for _, at := range s.slotFreeAt {
					if at.After(now) {
						load += max(1, float64(at.Sub(now))/(float64(profile.typicalDuration)*slowness[i]))
					}
				}
				cs[i] = candidate{backend: &backend{}, slots: 6, slowness: slowness[i], activeRequests: load}
			}
			i := choose(random, cs, profile)
			slot := 0
			for j, at := range servers[i].slotFreeAt {
				if at.Before(servers[i].slotFreeAt[slot]) {
					slot = j
				}
			}
			begin := servers[i].slotFreeAt[slot]
			if begin.Before(now) {
				begin = now
			}
			end := begin.Add(time.Duration(float64(profile.typicalDuration) * slowness[i] * (0.5 + random.Float64())))
			servers[i].slotFreeAt[slot] = end
			if end.Sub(now) > target {
				late++
			}
		}
		return float64(late) / requests
	}
	selected := lateFraction(func(_ *rand.Rand, cs []candidate, profile requestProfile) int {
		c := selectServer(cs, profile, target, nil)
		for i := range cs {
			if cs[i].backend == c.backend {
				return i
			}
		}
		return 0
	})
	twoChoices := lateFraction(func(random *rand.Rand, cs []candidate, _ requestProfile) int {
		a, b := random.IntN(len(cs)), random.IntN(len(cs))
		if cs[b].activeRequests < cs[a].activeRequests {
			return b
		}
		return a
	})
	t.Logf("late fraction: selectServer %.3f, two random choices %.3f", selected, twoChoices)
	if selected > twoChoices/2 {
		t.Errorf("late fraction %.3f with selectServer and %.3f with two random choices, want at most half", selected, twoChoices)
	}
}

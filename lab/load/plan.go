package load

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"bronzewind.example/core/config"
)

const hotKeyStride = 7919 // prime, so that other keys become hot at each move

type (
	// planned is one request that is to be sent at a set time, whatever became
	// of the earlier ones.
	planned struct {
		at      time.Duration // from the start
		id      int           // in order of time
		share   Share
		service *config.Service
		kind    *config.Kind
		key     string
	}

	planner struct {
		profile *Profile
		config  *config.Configuration
		random  *rand.Rand
		zipf    *rand.Zipf // nil for even keys
	}
)

// plan returns all requests of p in order of time; equal profiles give equal
// plans.
func plan(p *Profile, c *config.Configuration) []planned {
	pl := &planner{profile: p, config: c, random: rand.New(rand.NewPCG(p.Seed, 1))}
	if p.Zipf > 1 {
		pl.zipf = rand.NewZipf(pl.random, p.Zipf, 1, uint64(p.Keys-1))
	}
	var out []planned
	total := 0.0
	for _, s := range p.Kinds {
		total += s.Share
	}
	for _, s := range p.Kinds {
		out = pl.arrivals(out, s, 0, p.Duration.Std(), p.Rate*s.Share/total)
	}
	for _, f := range p.Floods {
		s, _ := p.share(f.Service, f.Kind)
		out = pl.arrivals(out, s, f.From.Std(), min(f.From.Std()+f.For.Std(), p.Duration.Std()), f.Rate)
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].at < out[j].at })
	for i := range out {
		out[i].id = i
	}
	return out
}

// arrivals appends the requests of a Poisson process.
func (pl *planner) arrivals(out []planned, s Share, from, to time.Duration, rate float64) []planned {
	service, kind, _ := findKind(pl.config, s.Service, s.Kind)
	for at := from; ; {
		at += time.Duration(pl.random.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return out
		}
		out = append(out, planned{at: at, share: s, service: service, kind: kind, key: pl.key(at)})
	}
}

// key draws a key; which ones are hot changes as the profile says.
func (pl *planner) key(at time.Duration) string {
	n := pl.profile.Keys
	if pl.zipf == nil {
		return fmt.Sprintf("K-%06d", pl.random.IntN(n))
	}
	rank := int(pl.zipf.Uint64())
	if move := pl.profile.HotKeysMove.Std(); move > 0 {
		rank += int(at/move) * hotKeyStride
	}
	return fmt.Sprintf("K-%06d", rank%n)
}

// path returns the path of a request with the key where its service expects it.
func (r *planned) path() string {
	if r.service.Key.From != config.KeyFromPath {
		return r.service.PathPrefix + r.kind.Name + r.kind.PathSuffix
	}
	path := r.service.PathPrefix
	for range r.service.Key.Segment {
		path += "x/"
	}
	return path + r.key + r.kind.PathSuffix
}

package memory

import (
	"slices"
	"time"
)

// episodeEndTime is the time without a further refusal after which an episode has ended.
const episodeEndTime = 5 * time.Second

type (
	// Episodes joins the refusals of each kind to episodes, so that a log has a line for
	// the first refusal and for the end rather than for each one. The zero value is ready
	// to use by one goroutine.
	Episodes struct {
		counts map[string]uint64 // at the last call of Observe
		active map[string]Episode
	}

	// Episode is a period in which asks of one kind were refused.
	Episode struct {
		Kind     string
		Began    time.Time
		Last     time.Time // when a refusal was last observed
		Refusals uint64
	}
)

// Observe takes the number of refusals of each kind since the start. It returns the
// episodes that have begun and those that have ended, by kind.
func (e *Episodes) Observe(counts map[string]uint64, now time.Time) (began, ended []Episode) {
	if e.counts == nil {
		e.counts, e.active = map[string]uint64{}, map[string]Episode{}
	}
	for kind, n := range counts {
		more := n - e.counts[kind]
		e.counts[kind] = n
		episode, active := e.active[kind]
		switch {
		case more > 0 && !active:
			episode = Episode{Kind: kind, Began: now, Last: now, Refusals: more}
			began = append(began, episode)
			e.active[kind] = episode
		case more > 0:
			episode.Last = now
			episode.Refusals += more
			e.active[kind] = episode
		case active && now.Sub(episode.Last) >= episodeEndTime:
			ended = append(ended, episode)
			delete(e.active, kind)
		}
	}
	byKind := func(a, b Episode) int {
		if a.Kind < b.Kind {
			return -1
		}
		return 1
	}
	slices.SortFunc(began, byKind)
	slices.SortFunc(ended, byKind)
	return began, ended
}

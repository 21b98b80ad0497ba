package direct

import (
	"math"
	"time"
)

// Some servers slow down long before their slots are full: above some number of concurrent
// requests, each further one slows all others so much that the server does less work in
// total. What a server takes well is found from the durations that it shows at each level of
// load. All instances see the requests of all in its load reports, so that they find about
// the same without messages.

const (
	loadLevelCount = 4 // equal parts of a server's slots

	// priorSamples is the weight, in samples, of the assumption that the level makes no
	// difference. Single durations differ by as much as their mean.
	priorSamples = 6

	// maxLevelSamples bounds the weight of what was observed at one level, so that it follows
	// changes.
	maxLevelSamples = 24

	// levelHalfLife is the time in which what was observed at a level loses half of its
	// weight. A level that is avoided is tried again then, so that a server can show that it
	// has recovered.
	levelHalfLife = 8 * time.Second

	// maxRelative bounds one sample. A server that has just become slow shows longer
	// durations at every level.
	maxRelative = 3

	// minThroughputGain is how much more work in total a server must do at a level than at a
	// lower one to be used up to there.
	minThroughputGain = 1.02
)

type (
	// loadLevels holds how long requests have taken at each level of a server's load.
	loadLevels struct {
		level [loadLevelCount]loadLevel
		all   loadLevel // of all levels
	}

	loadLevel struct {
		mean    float64   // relative to the server's slowness as it was known
		samples float64   // weight of mean as of at
		at      time.Time // of the last sample
	}
)

// levelOf returns the level at which a server with that many slots runs that many requests.
func levelOf(running, slots float64) int {
	return min(max(int(math.Ceil(running/slots*loadLevelCount))-1, 0), loadLevelCount-1)
}

// weight returns the weight of the level's samples at now.
func (l *loadLevel) weight(now time.Time) float64 {
	if l.samples == 0 {
		return 0
	}
	return l.samples * halved(now.Sub(l.at), levelHalfLife)
}

// halved returns the weight after age of what has lost half of it after halfLife. It is used
// for each server at each request, so that it is not an exponential function.
func halved(age, halfLife time.Duration) float64 {
	return float64(halfLife) / float64(halfLife+max(0, age))
}

// observe adds the duration of one request, relative to the server's slowness, that ended
// while the server was running that many.
func (l *loadLevels) observe(relative float64, running, slots int, now time.Time) {
	l.level[levelOf(float64(running), float64(max(1, slots)))].add(min(relative, maxRelative), now)
	l.all.add(min(relative, maxRelative), now)
}

// add adds one sample.
func (l *loadLevel) add(relative float64, now time.Time) {
	weight := min(l.weight(now), maxLevelSamples-1)
	l.mean = (l.mean*weight + relative) / (weight + 1)
	l.samples, l.at = weight+1, now
}

// relative returns how long requests are expected to take at a level, relative to all levels.
func (l *loadLevels) relative(level int, now time.Time) float64 {
	weight := l.level[level].weight(now)
	if weight == 0 || l.all.mean <= 0 {
		return 1
	}
	return (priorSamples + l.level[level].mean/l.all.mean*weight) / (priorSamples + weight)
}

// distinguishes reports whether each level of a server with that many slots is at least one
// slot wide. Narrower levels would differ by chance alone.
func (l *loadLevels) distinguishes(slots int) bool { return slots >= loadLevelCount }

// concurrency returns how many requests at once the server takes well, from 1 to slots: those
// of the lowest level from which on it does not do more work in total.
func (l *loadLevels) concurrency(slots int, now time.Time) int {
	if !l.distinguishes(slots) {
		return max(1, slots)
	}
	best, most := loadLevelCount-1, 0.0
	for level := range loadLevelCount {
		throughput := float64(level+1) / l.relative(level, now)
		if throughput > most*minThroughputGain {
			best, most = level, throughput
		}
	}
	return max(1, slots*(best+1)/loadLevelCount)
}

package direct

import "time"

// Backend servers that share machines with other work run by turns as usual and several
// times slower, for a fraction of a second each. A moving average of durations takes a server
// with a busy neighbour for a slow one, and a slow server that is observed at a good moment
// for a fast one. Servers that state the contention on their machine let an instance
// distinguish the two.

const (
	contentionWeight = 0.1 // of one report in the moving average of the contention

	// contentionDecayTime is the time in which a reported contention is taken to return to
	// its moving average. It changes within a fraction of a second.
	contentionDecayTime = 500 * time.Millisecond

	// minContention and maxContention bound a reported contention, so that an absurd figure
	// does not outweigh the measured durations.
	minContention = 0.25
	maxContention = 8
)

// contention is how long work takes on a server's machine, relative to the usual, as the
// server has reported it. The zero value is a server that reports none. It is immutable.
type contention struct {
	latest  float64 // 0 if never reported
	average float64
	at      time.Time // of the latest report
}

// withReport returns c after a report; a figure of 0 is none.
func (c contention) withReport(figure float64, now time.Time) contention {
	if figure <= 0 {
		return c
	}
	figure = min(max(figure, minContention), maxContention)
	if c.latest == 0 {
		c.average = 1
	}
	c.latest, c.at = figure, now
	c.average += contentionWeight * (figure - c.average)
	return c
}

// expected returns the contention that a request sent at now is expected to find; 1 if the
// server reports none. The latest report counts less the older it is.
func (c contention) expected(now time.Time) float64 {
	if c.latest == 0 {
		return 1
	}
	age := now.Sub(c.at)
	if age >= contentionDecayTime {
		return c.average
	}
	return c.average + (c.latest-c.average)*(1-float64(max(0, age))/float64(contentionDecayTime))
}

// during returns the contention that a request has found that was sent at sentAt and whose
// response brought the latest report; before is the contention known until then.
func (c contention) during(before contention, sentAt time.Time) float64 {
	if c.latest == 0 {
		return 1
	}
	return (before.expected(sentAt) + c.latest) / 2
}

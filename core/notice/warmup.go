package notice

import "time"

// Warmup is what one instance has found out itself about the warm-up of one incarnation of
// a backend server, besides what the server's record states. The zero value is a server of
// which nothing is known. It is immutable.
type Warmup struct {
	until       time.Time // as inferred from starts
	statedUntil time.Time // as the server stated last
	refused     bool      // connections were refused, and no response has arrived since
}

// WithStart returns the warm-up of a server that was found to have started, and takes
// coldTime to warm up.
func (w Warmup) WithStart(coldTime time.Duration, now time.Time) Warmup {
	if until := now.Add(coldTime); until.After(w.until) {
		w.until = until
	}
	return w
}

// WithRefused returns the warm-up after a connection was refused: the server's process has
// ended. It may start again under the same ID, and is then cold before its new record is
// read.
func (w Warmup) WithRefused() Warmup {
	w.refused = true
	return w
}

// WithResponse returns the warm-up after a response of the server. If it is the first one
// after refused connections, the server has just started.
func (w Warmup) WithResponse(coldTime time.Duration, now time.Time) Warmup {
	if !w.refused {
		return w
	}
	w.refused = false
	return w.WithStart(coldTime, now)
}

// WithStatement returns the warm-up after the server has stated how long it stays cold; 0
// if it is warm. A statement replaces the one before, but does not shorten the time that is
// inferred from a start, since the server may have started after it.
func (w Warmup) WithStatement(left time.Duration, now time.Time) Warmup {
	w.statedUntil = now.Add(left)
	return w
}

// Cold reports whether the server may be cold.
func (w Warmup) Cold(now time.Time) bool {
	return w.refused || now.Before(w.until) || now.Before(w.statedUntil)
}

package notice

import "time"

// replacedTime is how long a server counts as replaced. It outlasts the time in which the
// store removes the record of an ended server, also after an outage, and ends in case the
// response that showed the replacement was wrong.
const replacedTime = time.Minute

// Replaced is what rejected requests have shown of one incarnation of a backend server: that
// another server has its address, so that no request for it may be sent there. It
// covers addresses that are used again while the store can't list the new servers. The zero value
// is a server that has not been replaced.
type Replaced struct {
	shownAt time.Time
}

// Rejection is a response which states that the request was not run.
type Rejection struct {
	Misdirected bool   // the server is not the one that the request names, or does not hold the request's key
	Expected    string // ID of the server that the request names
	Responder   string // ID that the response names; "" if none
	ChecksKeys  bool   // servers of the service reject requests for keys that they do not hold
}

// ShowsReplacement reports whether another server than the expected one has rejected the
// request. A response that names no server shows it only if the expected one checks no keys, and
// so has no other reason to reject the request as misdirected.
func (r Rejection) ShowsReplacement() bool {
	if r.Responder == "" {
		return r.Misdirected && !r.ChecksKeys
	}
	return r.Misdirected && r.Responder != r.Expected
}

// WithRejection returns the state after a request was rejected.
func (p Replaced) WithRejection(r Rejection, now time.Time) Replaced {
	if r.ShowsReplacement() {
		return p.WithReplacement(now)
	}
	return p
}

// WithReplacement returns the state after another instance has reported the replacement.
func (p Replaced) WithReplacement(now time.Time) Replaced {
	if !p.At(now) {
		p.shownAt = now
	}
	return p
}

// At reports whether the server counts as replaced.
func (p Replaced) At(now time.Time) bool {
	return !p.shownAt.IsZero() && now.Sub(p.shownAt) < replacedTime
}

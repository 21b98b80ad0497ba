package state

import (
	"slices"

	"bronzewind.example/core/record"
)

// maxQuarantine bounds the requests in quarantine; the oldest is released
// first.
const maxQuarantine = 1024

func (s *State) quarantine(w record.Writer, b record.Quarantined) Verdict {
	if !s.IsMember(w) {
		return Stale
	}
	s.endQuarantine(b.Service, b.Fingerprint)
	s.Quarantine = append(s.Quarantine, b)
	if over := len(s.Quarantine) - maxQuarantine; over > 0 {
		s.Quarantine = slices.Clone(s.Quarantine[over:])
	}
	return Accepted
}

func (s *State) releaseQuarantine(b record.QuarantineReleased) Verdict {
	if !s.endQuarantine(b.Service, b.Fingerprint) {
		return Stale
	}
	return Accepted
}

// endQuarantine ends a quarantine; it returns false when there is none.
func (s *State) endQuarantine(service string, fingerprint uint64) bool {
	n := len(s.Quarantine)
	s.Quarantine = slices.DeleteFunc(slices.Clone(s.Quarantine), func(q record.Quarantined) bool {
		return q.Service == service && q.Fingerprint == fingerprint
	})
	return len(s.Quarantine) < n
}

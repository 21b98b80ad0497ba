package state

import (
	"slices"

	"bronzewind.example/core/record"
)

// Majority returns the least number of n witnesses that is a majority.
func Majority(n int) int { return n/2 + 1 }

func (s *State) setMember(m Member) {
	s.Members[m.Writer.Instance] = m
	s.MembersChanged = s.Next
}

// join adds w. An earlier run of the instance has to be lost or have left
// first: it may still hold a lease.
func (s *State) join(w record.Writer, b record.InstanceJoined) Verdict {
	if _, ok := s.Members[w.Instance]; ok {
		return Stale
	}
	s.setMember(Member{Writer: w, Joined: b})
	return Accepted
}

func (s *State) lose(b record.InstanceLost) Verdict {
	if !s.IsMember(b.Member) || s.Members[b.Member.Instance].LeaseVersion != b.Base {
		return Stale
	}
	return s.removeMember(b.Member)
}

func (s *State) renewLease(w record.Writer) Verdict {
	m, ok := s.Members[w.Instance]
	if !ok || m.Writer != w {
		return Stale
	}
	m.LeaseVersion++
	s.setMember(m)
	return Accepted
}

func (s *State) startLeaving(w record.Writer) Verdict {
	if !s.IsMember(w) {
		return Stale
	}
	m := s.Members[w.Instance]
	m.Leaving = true
	s.setMember(m)
	return Accepted
}

// nameWitnesses applies the rows that may follow and passes over the others.
func (s *State) nameWitnesses(b record.WitnessesNamed) Verdict {
	verdict := Stale
	for _, row := range b.Rows {
		if !s.MayName(row) {
			continue
		}
		m := s.Members[row.Member.Instance]
		m.Witnesses = row.Witnesses
		m.LeaseVersion++
		s.setMember(m)
		verdict = Accepted
	}
	return verdict
}

// MayName reports whether the witnesses of row may follow the present ones:
// when a majority of the present ones can still answer, all that can are kept,
// and every majority of the new ones meets that majority. An earlier witness
// can answer no more once its membership ended or it refused.
func (s *State) MayName(row record.WitnessRow) bool {
	if !s.IsMember(row.Member) {
		return false
	}
	m := s.Members[row.Member.Instance]
	if m.LeaseVersion != row.Base || !s.areWitnesses(row) {
		return false
	}
	answering, kept := 0, true
	for _, w := range m.Witnesses {
		if s.IsMember(w) && !slices.Contains(row.Refused, w) {
			answering++
			kept = kept && slices.Contains(row.Witnesses, w)
		}
	}
	need := Majority(len(m.Witnesses))
	if len(m.Witnesses) == 0 || answering < need {
		return true
	}
	return kept && need+Majority(len(row.Witnesses)) > len(row.Witnesses)
}

// areWitnesses reports whether the witnesses of row are different members
// other than the row's own, or earlier witnesses that can't be replaced yet.
func (s *State) areWitnesses(row record.WitnessRow) bool {
	earlier := s.Members[row.Member.Instance].Witnesses
	for i, w := range row.Witnesses {
		known := s.IsMember(w) || slices.Contains(earlier, w)
		if !known || w.Instance == row.Member.Instance || slices.Contains(row.Witnesses[:i], w) {
			return false
		}
	}
	return len(row.Witnesses) != 1
}

// releaseDispatcher hands the role on to the row's Next, or leaves it vacant.
func (s *State) releaseDispatcher(w record.Writer, b record.DispatcherReleased) Verdict {
	v, ok := s.Services[b.Service]
	if !ok {
		return Invalid
	}
	server, ok := v.Servers[b.Server]
	if !ok || server.Row.Dispatcher != w || server.Epoch != b.Epoch {
		return Stale
	}
	v.Version++
	next := record.Writer{}
	if s.IsMember(server.Row.Next) {
		next = server.Row.Next
	}
	server.Row.Dispatcher, server.Row.Next = next, record.Writer{}
	server.Epoch, server.Handed = v.Version, true
	v.Servers[b.Server] = server
	return Accepted
}

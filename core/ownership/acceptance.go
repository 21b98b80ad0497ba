package ownership

import "time"

// acceptanceWait is how long keys stay with a server that may own none any more, but
// responds, until it has accepted their fence. It is shorter than the time for which
// instances send requests to such an owner.
const acceptanceWait = 400 * time.Millisecond

// pending reports whether no grant under the fence has a result that shows whether it is in
// force.
func (u *fenceUse) pending() bool { return !u.accepted && !u.lost && u.connectedBy.IsZero() }

// mayOwnNone reports whether the server list has the server as leaving or excluded.
func (s Server) mayOwnNone() bool { return s.Leaving || s.Excluded }

// awaitsAcceptance reports whether the keys of p stay with their owner for the moment,
// although it is leaving or excluded, so that it accepts their fence first. This matters if a
// failure domain is evacuated, or a server leaves, right after its keys got a new fence. A
// release under a fence that the owner never accepted does not end its earlier grants, so no
// server could serve the keys until these have expired.
func (g *Granter) awaitsAcceptance(s *service, p Partition, now time.Time) bool {
	srv := s.server(p.Owner)
	serves := !p.Moving && !srv.unlisted && srv.mayOwnNone() && !s.ended(p.Owner) && !srv.unresponsive(now)
	grantable := !s.inherited(p.Fence) && !g.unused(srv, p.Fence)
	return serves && grantable && srv.use(p.Fence).pending() && now.Sub(srv.mayOwnNoneSince) < acceptanceWait
}

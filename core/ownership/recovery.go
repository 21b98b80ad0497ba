package ownership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// A server that did not respond for some seconds gets no grants once its keys have moved, so
// no grant shows that it responds again. The granter asks it from time to time to release a
// range that it does not hold. Once it answers, keys may move to it.

const (
	// recoveryWait is the time from the move of the server's last key to the first such
	// release, and between two of them. It doubles each time the server stops responding again, up to
	// recoveryWait << maxRecoveryDoublings, so that keys do not move back and forth.
	recoveryWait         = 2 * time.Second
	maxRecoveryDoublings = 4
)

// recoveryRange and recoveryFence are what an unresponsive server is asked to release. The
// fence is the lowest one, so that a later grant which the server may hold is not meant.
var recoveryRange = Range{From: 0, To: 0}

const recoveryFence = 1

// isProbe reports whether e is a release of probeUnresponsive, which belongs to no move.
func (e SendRelease) isProbe() bool { return e.Move == MoveKey{} }

// probeUnresponsive asks the unresponsive servers of s that own no keys, and whose grants have
// all expired, whether they respond again.
func (g *Granter) probeUnresponsive(s *service, now time.Time) []Effect {
	var out []Effect
	for _, inc := range slices.SortedFunc(maps.Keys(s.servers), compareIncarnations) {
		srv := s.servers[inc]
		if !s.eligible(srv) || !srv.unresponsive(now) || len(srv.inFlight) > 0 || s.partitionMap.isOwner(inc) {
			srv.probedAt = now
			continue
		}
		wait := recoveryWait << min(srv.recoveries, maxRecoveryDoublings)
		expired := !now.Before(srv.lastGrantDecidedAt.Add(g.maxGrantLifetime()))
		if !expired || now.Sub(srv.probedAt) < wait {
			continue
		}
		srv.probedAt = now
		out = append(out, SendRelease{Service: s.name, Server: srv.Server, Range: recoveryRange, Fence: recoveryFence})
	}
	return out
}

// recordProbeResult makes a server that has responded to a release of probeUnresponsive a
// target for keys again.
func (s *service) recordProbeResult(e ReleaseCompleted) {
	srv := s.server(e.Release.Server.Incarnation)
	if e.Result == Misdirected {
		srv.replaced = true
	}
	if e.Result != Done || len(srv.inFlight) > 0 {
		return
	}
	srv.failingSince, srv.firstRetry = time.Time{}, time.Time{}
	srv.recoveries++
}

func compareIncarnations(a, b Incarnation) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartedMillis, b.StartedMillis))
}

// isOwner reports whether inc owns a partition of m.
func (m *PartitionMap) isOwner(inc Incarnation) bool {
	return slices.ContainsFunc(m.Partitions, func(p Partition) bool { return p.Owner == inc })
}

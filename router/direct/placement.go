package direct

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"bronzewind.example/core/code"
)

// Placement decides where requests and keys may go. It handles two loads: requests that may
// be served in some regions only, whose home regions are full or lost while other regions
// have room, and a failure domain that the operator has emptied while requests arrive.
// Nothing else compares regions or looks at evacuations. Each way to a server asks again at
// each attempt, so that a change of the routes or an evacuation also binds requests that
// wait.

const (
	// maxEvacuatedOwnerGrace is how long at most the owner of a key still gets requests after
	// its failure domain was first seen as evacuated, while its keys are handed over. It is
	// evacuatedOwnerShare of the time allowed for the evacuation, if that is shorter. The rest
	// is for instances that learn of the evacuation late.
	maxEvacuatedOwnerGrace = 2 * time.Second
	evacuatedOwnerShare    = 0.4

	// placementRetryAfter is the Retry-After time of a request that no server may run at
	// present. Keys move and servers are listed within about this time.
	placementRetryAfter = 500 * time.Millisecond
)

type (
	// placement is where a request may be sent.
	placement struct {
		regions    []string      // regions whose servers may run the request; empty means all
		ownerGrace time.Duration // see maxEvacuatedOwnerGrace
	}

	// OwnerRegions are the regions in which the keys of a service are to be owned, in order;
	// none means all.
	OwnerRegions []string
)

// WithEvacuationTime sets the time within which no more requests may reach the servers of an
// evacuated failure domain.
func WithEvacuationTime(d time.Duration) Option {
	return func(s *Server) {
		s.evacuatedOwnerGrace = min(maxEvacuatedOwnerGrace, time.Duration(evacuatedOwnerShare*float64(d)))
	}
}

// placementOf returns where a request of r may be sent at present: the newest routing table
// binds a request that arrived before it too.
func (s *Server) placementOf(r *Route) placement {
	if t := s.routingTable.Load(); t != nil {
		r = t.current(r)
	}
	return placement{regions: r.Regions, ownerGrace: s.evacuatedOwnerGrace}
}

// current returns the route that t has in place of r, or r if t has none.
func (t *RoutingTable) current(r *Route) *Route {
	if t.own[r] {
		return r
	}
	for _, candidate := range t.hosts[strings.ToLower(r.Host)] {
		if candidate.Name == r.Name {
			return candidate
		}
	}
	return r
}

func (p placement) allowsRegion(region string) bool {
	return len(p.regions) == 0 || slices.Contains(p.regions, region)
}

// allowsServer reports whether a request that any server of its service may run may be sent
// to this one.
func (p placement) allowsServer(info *ServerInfo) bool {
	return takesNewRequests(info) && p.allowsRegion(info.Region)
}

// allowsOwner reports whether a request may be sent to the owner of its key, whose failure
// domain has been seen as evacuated for the given time; negative if it is not evacuated.
func (p placement) allowsOwner(info *ServerInfo, evacuatedFor time.Duration) bool {
	return p.allowsRegion(info.Region) && evacuatedFor < p.ownerGrace
}

// allowsPeer reports whether a request may be sent by way of another instance. Its body must
// not pass through a machine outside the regions of the request. The region of this instance
// is no exception: its caller may have connected to it from another region.
func (p placement) allowsPeer(info *ServerInfo) bool { return p.allowsRegion(info.Region) }

// takesNewRequests reports whether a server gets requests that other servers may run too.
func takesNewRequests(info *ServerInfo) bool { return !info.Leaving && !info.Evacuated }

// placementFailure returns the failure of a request of service that no listed server may
// run because of its regions or of an evacuation. It returns nil if another reason left no
// server.
func (s *Server) placementFailure(service string, p placement, remaining time.Duration) *requestFailure {
	listed := false
	for _, known := range s.servers.Load().incarnations {
		info := known.backend.info.Load()
		if info.Service != service || info.Leaving {
			continue
		}
		if p.allowsServer(info) {
			return nil
		}
		listed = true
	}
	if !listed {
		return nil
	}
	return newFailure(code.NoAllowedServer, placementRetryAfter, remaining)
}

// OwnerRegions returns the regions in which the keys of service should be owned, so that
// the owners may run the requests of its routes. The routes that may be
// served everywhere are served wherever the others are. If no region suits all routes, each
// owner is placed where at least one route may be served. served reports whether a region
// has a server for keys. Without such a server in any of the regions, a service with a route
// that may be served everywhere may have its owners everywhere too.
func (t *RoutingTable) OwnerRegions(service string, served func(region string) bool) OwnerRegions {
	routesIn, bound, free := t.regionsOfRoutes(service)
	if bound == 0 {
		return nil
	}
	var common, some []string
	for region, routes := range routesIn {
		some = append(some, region)
		if routes == bound {
			common = append(common, region)
		}
	}
	out := common
	if len(out) == 0 {
		out = some
	}
	if free && !slices.ContainsFunc(out, served) {
		return nil
	}
	slices.SortFunc(out, cmp.Compare[string])
	return out
}

// Allow reports whether a server of the region may own keys.
func (r OwnerRegions) Allow(region string) bool { return placement{regions: r}.allowsRegion(region) }

// regionsOfRoutes returns in how many of the routes to service each region occurs, how many
// routes are bound to regions, and whether others are free.
func (t *RoutingTable) regionsOfRoutes(service string) (routesIn map[string]int, bound int, free bool) {
	routesIn = map[string]int{}
	for _, routes := range t.hosts {
		for _, r := range routes {
			if !slices.ContainsFunc(r.Parts, func(p Part) bool { return p.Service == service && p.Weight > 0 }) {
				continue
			}
			if len(r.Regions) == 0 {
				free = true
				continue
			}
			bound++
			for _, region := range slices.Compact(slices.Sorted(slices.Values(r.Regions))) {
				routesIn[region]++
			}
		}
	}
	return routesIn, bound, free
}

// Package direct sends each request straight from the instance that received it
// to a backend server. There is no dispatcher in between; the servers
// enforce their own concurrency limit and check their own grants. A request
// with a key goes to the key's owner if its service is exclusive. Any other
// request goes to the server with the lowest cost (see candidate.cost) of those
// expected to meet the target.
//
//	caller --ServeHTTP--> route --> part --> select or owner --> admit --> exchange --> caller
//	                                              ^                            |
//	                                              +------- retry budget <------+
//
// Server selection, admission and the retry budget are decisions without I/O,
// each in a file of its own.
package direct

import (
	"slices"
	"strings"
	"time"
)

type (
	// RoutingTable is the routing table: the services and the routes to them. It is
	// immutable.
	RoutingTable struct {
		Version  uint64
		Services map[string]Service
		Limits   Limits
		hosts    map[string][]*Route // longest prefix first
		own      map[*Route]bool     // the routes in hosts
	}

	// Limits bounds callers' requests and connections. A zero field other than MaxBodyBytes
	// means the listener's default.
	Limits struct {
		MaxBodyBytes int64         // 0 means no limit
		MaxHeadBytes int64         // of a request's head
		HeadTimeout  time.Duration // for a head to arrive
		IdleTimeout  time.Duration // time without a request after which a connection may be closed
	}

	// Service is a set of backend servers that do the same work.
	Service struct {
		Name           string
		Exclusive      bool          // a request with a valid key is served only by the key's owner
		MaxConnections int           // connections that each backend server accepts; an instance opens at most connectionsPerInstance of them; 0 means defaultConnectionLimit for each instance
		ColdTime       time.Duration // how long a server is cold after it starts during traffic; 0 means never
		ColdRate       float64       // requests a second that a cold server takes from all instances together; 0 means no limit
	}

	// Route matches requests by host and path prefix and sets how they are served.
	Route struct {
		Name       string
		Host       string
		Prefix     string        // starts and ends with "/"
		Idempotent bool          // may run more than once
		Bulk       bool          // has large bodies
		Download   bool          // has large responses
		Regions    []string      // regions whose servers may run the requests; empty means all
		Priority   int           // rank; 0 is the most urgent
		Attempts   int           // maximum number of attempts, not counting those that end before a byte is sent (see maxUnsentAttempts); at least 1
		Timeout    time.Duration // upper bound of a request's remaining time; 0 means none
		Target     time.Duration // target response time; at most Timeout
		Parts      []Part        // at least one; weights add up to more than 0
	}

	// Part is one service of a route's traffic split, with its weight.
	Part struct {
		Service string
		Weight  float64 // at least 0
	}
)

// NewRoutingTable returns a routing table with the given routes and services.
func NewRoutingTable(version uint64, routes []Route, services []Service, limits Limits) *RoutingTable {
	t := &RoutingTable{Version: version, Limits: limits, Services: map[string]Service{}, hosts: map[string][]*Route{}, own: map[*Route]bool{}}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		t.hosts[host] = append(t.hosts[host], &routes[i])
		t.own[&routes[i]] = true
	}
	for _, rs := range t.hosts {
		slices.SortStableFunc(rs, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Route returns the route of host with the longest prefix that matches path. A
// port in host is ignored unless a route's host has the same port.
func (t *RoutingTable) Route(host, path string) (*Route, bool) {
	host = strings.ToLower(host)
	routes, ok := t.hosts[host]
	if !ok {
		if i := strings.LastIndexByte(host, ':'); i >= 0 {
			routes = t.hosts[host[:i]]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

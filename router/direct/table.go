// Package direct sends each request straight from the entry to a backend
// server that limits itself and checks its own grants. There is no dispatcher
// between: the owner of the key, or the nearest server with room, gets the
// request from the instance that the caller reached.
//
//	caller --ServeHTTP--> route --> part --> place or owner --> admit --> exchange --> caller
//	                                           ^                            |
//	                                           +------ retry budget <-------+
//
// Place, admit and budget are pure decisions in files of their own.
package direct

import (
	"slices"
	"strings"
	"time"
)

type (
	// Table is what callers may ask for. It is immutable.
	Table struct {
		Version  uint64
		Services map[string]Service
		Limits   Limits
		hosts    map[string][]*Route // longest prefix first
	}

	// Limits bounds what callers may send.
	Limits struct {
		BodyBytes int64         // 0 means no bound
		Idle      time.Duration // after which an unused connection may be closed
	}

	// Service is a set of backend servers that do the same work.
	Service struct {
		Name        string
		Exclusive   bool // a key is served by its one owner
		Connections int  // most connections to one backend server, of all instances together
	}

	// Route is a kind of work.
	Route struct {
		Name       string
		Host       string
		Prefix     string // starts and ends with "/"
		Idempotent bool   // may run more than once
		Bulk       bool   // has large bodies
		Priority   int    // 0 is the most urgent
		Attempts   int    // most backend servers that one request is sent to; at least 1
		Timeout    time.Duration
		Target     time.Duration // wanted response time; at most Timeout
		Parts      []Part        // at least one; weights add up to more than 0
	}

	// Part is a service that gets a share of a route's requests.
	Part struct {
		Service string
		Weight  float64 // at least 0
	}
)

// NewTable returns the table of the given routes and services.
func NewTable(version uint64, routes []Route, services []Service, limits Limits) *Table {
	t := &Table{Version: version, Limits: limits, Services: map[string]Service{}, hosts: map[string][]*Route{}}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		t.hosts[host] = append(t.hosts[host], &routes[i])
	}
	for _, rs := range t.hosts {
		slices.SortStableFunc(rs, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Route returns the route with the longest prefix of path under host.
func (t *Table) Route(host, path string) (*Route, bool) {
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

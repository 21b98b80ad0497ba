package direct

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"bronzewind.example/core/code"
	"bronzewind.example/core/decision"
)

// Query is a request that is explained instead of sent.
type Query struct {
	Host, Path string
	Key        string // value of the key header; "" for none
	Caller     string // IP address; "" for a usual caller
	BodyBytes  int64
	Remaining  time.Duration // time to the deadline; 0 means the default of a request without a deadline header
}

// Explain returns where q would be sent at present. It asks the code that decides on
// requests, and reserves and counts nothing. It can't tell whether a request is quarantined,
// which depends on its body too.
func (s *Server) Explain(q Query, now time.Time) decision.Explanation {
	out := decision.Explanation{Parts: []decision.Part{}, Inputs: s.explainInputs(now)}
	t := s.routingTable.Load()
	if t == nil {
		return out
	}
	out.ConfigVersion = t.Version
	route, ok := t.Route(q.Host, q.Path)
	if !ok {
		return out
	}
	remaining := q.Remaining
	if remaining <= 0 {
		remaining = defaultTimeout
	}
	if route.Timeout > 0 {
		remaining = min(remaining, route.Timeout)
	}
	out.Route, out.Regions, out.Priority = route.Name, s.placementOf(route).regions, route.Priority
	out.TypicalMs, out.TargetMs, out.DeadlineMs = s.typicalDurations.get(route).Milliseconds(), route.Target.Milliseconds(), remaining.Milliseconds()
	r := &request{host: q.Host, requestURI: q.Path, header: http.Header{}, deadline: now.Add(remaining), idempotent: route.Idempotent, callerIP: q.Caller}
	if q.Key != "" {
		r.header.Set(s.protocol.Key, q.Key)
	}
	if peer := s.choosePeer(r, &requestState{route: route}); peer != nil {
		out.ViaPeer = s.peers.peerName(peer)
	}
	next := s.splitter.peekPart(route, s.partDistance(r, s.placementOf(route), now)).Service
	for _, p := range route.Parts {
		part := s.explainPart(r, &requestState{startedAt: now, route: route, service: p.Service}, q.BodyBytes, now)
		part.Weight, part.Next = p.Weight, p.Service == next
		out.Parts = append(out.Parts, part)
	}
	return out
}

// explainPart returns the decision for the case that r goes to the service of state.
func (s *Server) explainPart(r *request, state *requestState, bodyBytes int64, now time.Time) decision.Part {
	profile := requestProfile{typicalDuration: s.typicalDurations.get(state.route), bodyBytes: bodyBytes, bulk: state.route.Bulk, reservedQueue: s.ranks.reservedQueue(state.service, state.route, now)}
	remaining := r.deadline.Sub(now)
	out := decision.Part{Service: state.service, RetriesLeft: s.retryBudget.remaining(state.service, now), Servers: s.explainServers(state, profile, now)}
	var c *candidate
	key, keyed := s.exclusiveKey(r, state.service)
	if !keyed {
		limit, share := s.fairShares.explain(state.service, r.callerIP, now)
		out.CallerLimit = limit
		if share.refused {
			return refused(out, shareFailure(share, remaining, 0))
		}
	}
	if keyed {
		out.Owner = s.explainOwner(state.service, key)
		owner := s.lookupOwner(state.service, key, s.placementOf(state.route), now)
		switch {
		case owner.disallowed:
			return refused(out, newFailure(code.NoAllowedServer, placementRetryAfter, remaining))
		case owner.replaced:
			return refused(out, newFailure(code.NoOwner, ownerWaitTimeout, remaining))
		case owner.backend == nil && owner.grantWait >= remaining:
			return refused(out, newFailure(code.NoOwner, owner.grantWait, remaining))
		case owner.backend == nil:
			out.Verdict, out.WaitMs, out.Reason = decision.Wait, (owner.grantWait + ownerWaitTimeout).Milliseconds(), "the key has no owner at present; this is the longest wait"
			return out
		}
		known := owner.backend.candidate(s.roomTerms(state.service), now)
		c = &known
		out.Reason = "it owns the key"
	} else {
		c = s.selectAnyServer(profile, state.route.Target, state, now)
		out.Reason = "the least cost among those expected to meet the target, or else among all"
	}
	if c == nil {
		if fail := s.placementFailure(state.service, s.placementOf(state.route), remaining); fail != nil {
			return refused(out, fail)
		}
		return refused(out, newFailure(code.BackendUnreachable, minRetryAfter, remaining))
	}
	if !c.held.mayTake(bodyBytes) {
		return refused(out, newFailure(code.ServerBytes, profile.typicalDuration, remaining))
	}
	a := admit(c, profile, state.route.Target, remaining)
	out.ExpectedMs = a.expectedTime.Milliseconds()
	switch {
	case !a.admitted:
		return refused(out, &requestFailure{code: code.TargetUnreachable, retryAfter: a.retryAfter})
	case c.noticeWait > a.maxWait:
		return refused(out, newFailure(code.RateLimited, c.noticeWait, remaining))
	}
	out.Verdict, out.Server = decision.Send, c.backend.info.Load().ID
	if c.noticeWait > 0 {
		out.Verdict, out.WaitMs, out.Reason = decision.Wait, c.noticeWait.Milliseconds(), "the server has stated that it takes no more before"
	}
	return out
}

// refused returns p with the failure that the request would get.
func refused(p decision.Part, fail *requestFailure) decision.Part {
	entry, _ := code.Lookup(fail.code)
	p.Verdict, p.Code, p.Reason, p.RetryAfterMs = decision.Refuse, int(fail.code), entry.Meaning, fail.retryAfter.Milliseconds()
	return p
}

// explainServers returns all listed servers of the service of state, the cheapest first, and
// those that may not be used last.
func (s *Server) explainServers(state *requestState, profile requestProfile, now time.Time) []decision.Server {
	placed := s.placementOf(state.route)
	out := []decision.Server{}
	for _, known := range s.servers.Load().incarnations {
		info := known.backend.info.Load()
		if info.Service != state.service {
			continue
		}
		c := known.backend.candidate(s.roomTerms(state.service), now)
		out = append(out, decision.Server{
			ID: info.ID, Region: info.Region, Distance: info.Distance.String(), Excluded: placed.exclusion(info, known.leavingSince),
			Load: c.activeRequests, Slots: c.slots, Slowness: c.slowness, Failing: c.failureRatio, WaitMs: c.noticeWait.Milliseconds(),
			ExpectedMs: c.responseTime(profile).Milliseconds(), CostMs: c.cost(profile).Milliseconds(), LoadAgeMs: known.backend.loadAge(now),
			Ejected: c.ejected, InFlight: known.backend.inFlight(), Cold: info.Cold,
		})
	}
	slices.SortFunc(out, func(a, b decision.Server) int {
		return cmp.Or(cmp.Compare(a.Excluded, b.Excluded), cmp.Compare(a.CostMs, b.CostMs), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// exclusion returns why a server gets no request that others may run too; "" if it may. An
// unlisted server has a leavingSince without being listed as leaving.
func (p placement) exclusion(info *ServerInfo, leavingSince time.Time) string {
	switch {
	case info.Leaving:
		return "leaving"
	case !leavingSince.IsZero():
		return "no longer listed"
	case info.Evacuated:
		return "evacuated"
	case !p.allowsRegion(info.Region):
		return "outside the regions of the route"
	default:
		return ""
	}
}

// explainOwner returns the owner of key by the newest partition map; nil if there is none.
func (s *Server) explainOwner(service string, key uint32) *decision.Owner {
	o, ok := (*s.ownership.Load())[service]
	if !ok {
		return nil
	}
	p, ok := o.partitionMap.Lookup(key)
	if !ok {
		return nil
	}
	return &decision.Owner{Server: p.Owner.ID, From: p.From, To: p.To, Fence: p.Fence, Moving: p.Moving && !o.grantedMoves[p.MoveKey()], Version: o.partitionMap.Version}
}

// explainInputs returns the ages of the partition maps.
func (s *Server) explainInputs(now time.Time) []decision.Input {
	out := []decision.Input{}
	snapshots := *s.ownership.Load()
	for _, service := range slices.Sorted(maps.Keys(snapshots)) {
		out = append(out, decision.Input{Name: "partition map of " + service, AgeMs: now.Sub(snapshots[service].readAt).Milliseconds()})
	}
	return out
}

// loadAge returns the age of the server's last load report in milliseconds; -1 if there was
// none.
func (b *backend) loadAge(now time.Time) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.load.reportedAt.IsZero() {
		return -1
	}
	return now.Sub(b.load.reportedAt).Milliseconds()
}

// inFlight returns how many requests of this instance are at the server.
func (b *backend) inFlight() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.load.inFlight
}

// ExplainHandler serves Explain as JSON. The query has host, path, and optionally key, caller,
// body-bytes and left-ms; complete adds to the explanation what the caller of
// ExplainHandler knows.
func (s *Server) ExplainHandler(complete func(*decision.Explanation)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		query := Query{Host: q.Get("host"), Path: q.Get("path"), Key: q.Get("key"), Caller: q.Get("caller")}
		leftMs := int64(0)
		for _, field := range []struct {
			name string
			to   *int64
		}{{"body-bytes", &query.BodyBytes}, {"left-ms", &leftMs}} {
			value := q.Get(field.name)
			if value == "" {
				continue
			}
			n, err := strconv.ParseInt(value, 10, 64)
			if err != nil || n < 0 {
				http.Error(w, field.name+" is "+strconv.Quote(value)+", want a number of at least 0", http.StatusBadRequest)
				return
			}
			*field.to = n
		}
		if query.Host == "" || query.Path == "" {
			http.Error(w, "host or path is missing", http.StatusBadRequest)
			return
		}
		query.Remaining = time.Duration(leftMs) * time.Millisecond
		explanation := s.Explain(query, time.Now())
		complete(&explanation)
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(explanation) // fails only if the client has left
	})
}

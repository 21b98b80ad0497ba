// Package generate turns answers into a configuration. The same answers give
// the same bytes.
package generate

import (
	"fmt"
	"math/bits"
	"time"

	"bronzewind.example/core/config"
	"bronzewind.example/operator/answers"
)

const (
	heartbeatsPerLease   = 3
	renewalsPerGrant     = 3
	slotsPerServer       = 64 // of the key space; balance to about 1 in 64
	minSlots             = 1024
	maxSlots             = 1 << 18
	defaultDriftPerMil   = 10
	defaultRetryBudget   = 10 // per cent
	defaultRetries       = 2
	defaultBody          = 64 << 10
	headerBytes          = 32 << 10
	callerConnections    = 10_000
	headerTimeout        = 5 * time.Second
	bodyIdleTimeout      = 30 * time.Second
	queuedPerSlot        = 32
	minQueue             = 64
	defaultLossTarget    = time.Second
	shortestLease        = 300 * time.Millisecond
	shortestGrant        = 250 * time.Millisecond
	roundTripsAfterLapse = 4 // log and spread until a key is served again
)

// defaultFloors are the shares of slot time, in per cent, that the ranks keep.
var defaultFloors = [config.RankCount]int{0, 15, 5}

// Reason says why a value of the configuration is as it is.
type Reason struct {
	Field string
	Value string
	Why   string
}

// Generate returns the configuration for a with the given version, and the
// reasons of the values that the answers left to it.
func Generate(a *answers.Answers, version uint64) (*config.Configuration, []Reason, error) {
	g := &generator{answers: a}
	c := &config.Configuration{Version: version, Fleet: a.Fleet}
	for _, r := range a.Regions {
		c.Regions = append(c.Regions, config.Region(r))
	}
	c.Timing = g.timing()
	c.Limits = g.limits()
	for i := range a.Services {
		c.Services = append(c.Services, g.service(&a.Services[i]))
	}
	c.Callers = g.callers(c.Services)
	if err := c.Check(); err != nil {
		return nil, nil, fmt.Errorf("the answers give a configuration that does not hold: %w", err)
	}
	return c, g.reasons, nil
}

type generator struct {
	answers *answers.Answers
	reasons []Reason
}

func (g *generator) because(field string, value any, why string) {
	g.reasons = append(g.reasons, Reason{Field: field, Value: fmt.Sprint(value), Why: why})
}

// timing splits the time until a lost key is served again: the lease or grant
// lapses, then the log and the spread take some round trips.
func (g *generator) timing() config.Timing {
	target := time.Duration(g.answers.LossTarget)
	if target == 0 {
		target = defaultLossTarget
	}
	rest := roundTripsAfterLapse * 2 * time.Duration(g.answers.Network.BetweenRegions)
	lease := max((target-rest)*6/10, shortestLease).Round(10 * time.Millisecond)
	grant := max(lease*8/10, shortestGrant).Round(10 * time.Millisecond)
	drift := defaultDriftPerMil
	if g.answers.ClockDriftPerMil != nil {
		drift = *g.answers.ClockDriftPerMil
	}
	g.because("timing.lease", lease, fmt.Sprintf("6 parts in 10 of what %s leaves after %s of round trips to the log", target, rest))
	g.because("timing.grant", grant, "shorter than the lease, so that a lost backend server is found no later than a lost instance")
	g.because("timing.drift-per-mil", drift, "bound of the clocks' drift; all waits are longer by it")
	return config.Timing{
		Lease: config.Duration(lease), Heartbeat: config.Duration((lease / heartbeatsPerLease).Truncate(time.Millisecond)),
		Grant: config.Duration(grant), GrantRenewal: config.Duration((grant / renewalsPerGrant).Truncate(time.Millisecond)),
		DriftPerMil: drift,
	}
}

func (g *generator) limits() config.Limits {
	budget := defaultRetryBudget
	if g.answers.RetryBudgetPercent != nil {
		budget = *g.answers.RetryBudgetPercent
	}
	g.because("limits.retry-budget-ratio", float64(budget)/100, "retries add at most this share to the load, so that a failure grows into no storm")
	return config.Limits{
		HeaderBytes: headerBytes, Connections: callerConnections,
		HeaderTimeout: config.Duration(headerTimeout), BodyIdleTimeout: config.Duration(bodyIdleTimeout),
		RetryBudgetRatio: float64(budget) / 100,
	}
}

func (g *generator) service(s *answers.Service) config.Service {
	prefix := s.PathPrefix
	if prefix == "" {
		prefix = "/" + s.Name + "/"
	}
	slots := keySlots(s.BackendServers)
	g.because("services."+s.Name+".slots", slots, fmt.Sprintf("at least %d parts of the key space for each of %d backend servers", slotsPerServer, s.BackendServers))
	out := config.Service{
		Name: s.Name, PathPrefix: prefix,
		Key:   config.Key{From: s.Key.From, Name: s.Key.Name, Segment: s.Key.Segment},
		Slots: slots, ServerSlots: s.SlotsPerServer, Connections: s.Connections,
		ChecksGrants: s.ChecksGrants, TrustsRefusals: s.RefusalsAreTrue, ColdStart: s.ColdStart,
	}
	for i := range s.Kinds {
		out.Kinds = append(out.Kinds, g.kind(s, &s.Kinds[i]))
	}
	return out
}

// keySlots returns the smallest power of two that gives each backend server
// its parts, within bounds.
func keySlots(servers int) int {
	want := min(max(servers*slotsPerServer, minSlots), maxSlots)
	return 1 << bits.Len(uint(want-1))
}

func (g *generator) kind(s *answers.Service, k *answers.Kind) config.Kind {
	at := "services." + s.Name + "." + k.Name
	rank, _ := k.Rank.Number()
	out := config.Kind{
		Name: k.Name, Method: k.Method, PathSuffix: k.PathSuffix, Rank: rank, Worth: k.Worth,
		Target: k.Target, Patience: k.Patience, ServiceTime: k.ServiceTime, OnceOnly: k.OnceOnly,
		BodyBytes:  int64(k.LargestBody),
		QueueLimit: max(s.SlotsPerServer*queuedPerSlot, minQueue),
	}
	if k.LargestBody == 0 && k.Method != "GET" && k.Method != "HEAD" {
		out.BodyBytes = defaultBody
		g.because(at+".body-bytes", out.BodyBytes, "no largest-body was answered")
	}
	switch {
	case k.Retries != nil:
		out.Retries = *k.Retries
	case !k.OnceOnly:
		out.Retries = defaultRetries
		g.because(at+".retries", out.Retries, "idempotent work is tried again, within its patience and the fleet's budget")
	}
	floor := defaultFloors[rank]
	if k.FloorPercent != nil {
		floor = *k.FloorPercent
	} else if floor > 0 {
		floor /= kindsOfRank(s, k.Rank)
		g.because(at+".floor", float64(floor)/100, "the share of slot time that the rank keeps when more urgent work floods, split over its kinds")
	}
	out.Floor = float64(floor) / 100
	return out
}

func kindsOfRank(s *answers.Service, rank answers.Rank) int {
	n := 0
	for _, k := range s.Kinds {
		if k.Rank == rank {
			n++
		}
	}
	return n
}

// callers gives each kind of caller its share of the longest queue.
func (g *generator) callers(services []config.Service) []config.Caller {
	queue := 0
	for _, s := range services {
		total := 0
		for _, k := range s.Kinds {
			total += k.QueueLimit
		}
		queue = max(queue, total)
	}
	var out []config.Caller
	for _, c := range g.answers.Callers {
		share := c.QueueShare
		if share == 0 {
			share = 100
		}
		out = append(out, config.Caller{Name: c.Name, Cap: max(queue*share/100, 1)})
	}
	return out
}

package answers

import (
	"fmt"
	"time"

	"bronzewind.example/core/config"
	"bronzewind.example/core/document"
)

// checkFunc notes a fault of a field when bad.
type checkFunc func(bad bool, field, fault, mend string)

// Check returns all faults and contradictions of a, or nil.
func (a *Answers) Check() error { return a.check(document.NewChecker(nil)) }

func (a *Answers) check(d *document.Checker) error {
	add := d.Check
	add(a.Fleet == "", "fleet", "is missing", "name the fleet")
	add(a.Instances < 1, "instances", "is not positive", "give the number of entry instances")
	a.checkRegions(add)
	add(a.Network.ToClients <= 0, "network.to-clients", "is not positive", "give the one-way delay to clients, such as 1ms")
	add(len(a.Regions) > 1 && a.Network.BetweenRegions <= 0, "network.between-regions", "is not positive", "give the one-way delay between regions, such as 30ms")
	add(len(a.Regions) > 1 && a.Network.LinkMbitPerSecond <= 0, "network.link-mbit-per-second", "is not positive", "give the bandwidth of a link between regions")
	if a.LossTarget != 0 {
		shortest := minLossTarget + 4*a.Network.BetweenRegions
		add(a.LossTarget < shortest, "loss-target", fmt.Sprintf("%s is too short to tell a slow instance from a lost one", a.LossTarget.Std()), fmt.Sprintf("give at least %s, or leave it out for %s", shortest.Std(), defaultLossTarget.Std()))
	}
	drift := a.ClockDriftPerMil
	add(drift != nil && (*drift < 0 || *drift > 100), "clock-drift-per-mil", "is not between 0 and 100", "give the bound of the clocks' drift in thousandths, or leave it out for 10")
	budget := a.RetryBudgetPercent
	add(budget != nil && (*budget < 0 || *budget > 100), "retry-budget-percent", "is not between 0 and 100", "give retries per 100 first tries, or leave it out for 10")
	add(len(a.Callers) == 0, "callers", "is empty", "name at least one kind of caller")
	for i, c := range a.Callers {
		at := fmt.Sprintf("callers[%d]", i)
		add(c.Name == "", at+".name", "is missing", "name the kind of caller")
		add(c.QueueShare < 0 || c.QueueShare > 100, at+".queue-share-percent", "is not between 0 and 100", "give a share, or leave it out for no cap of its own")
	}
	add(len(a.Services) == 0, "services", "is empty", "describe at least one service")
	for i := range a.Services {
		a.checkService(&a.Services[i], fmt.Sprintf("services[%d]", i), add)
	}
	return d.Err()
}

func (a *Answers) checkRegions(add checkFunc) {
	add(len(a.Regions) == 0, "regions", "is empty", "name at least one region")
	known := false
	for i, r := range a.Regions {
		at := fmt.Sprintf("regions[%d]", i)
		add(r.Name == "", at+".name", "is missing", "name the region")
		add(len(r.FailureDomains) == 0, at+".failure-domains", "is empty", "name at least one failure domain")
		known = known || r.Name == a.StoreRegion
	}
	add(!known, "store-region", fmt.Sprintf("%q is none of the regions", a.StoreRegion), "name the region where the log service stands")
}

func (a *Answers) checkService(s *Service, at string, add checkFunc) {
	add(s.Name == "", at+".name", "is missing", "name the service")
	add(s.BackendServers < 1, at+".backend-servers", "is not positive", "give the number of backend servers")
	add(s.SlotsPerServer < 1, at+".slots-per-server", "is not positive", "give the number of requests that one runs at once")
	add(s.Connections < s.SlotsPerServer, at+".connections-per-server", fmt.Sprintf("%d connections can't fill %d slots", s.Connections, s.SlotsPerServer), "give at least slots-per-server")
	add(s.ColdStart < 0, at+".cold-start", "is negative", "give how long a new backend server is slow, or 0s")
	add((s.Key.From == config.KeyFromHeader || s.Key.From == config.KeyFromQuery) && s.Key.Name == "", at+".key.name", "is missing", "name the header or query parameter")
	add(s.Key.From != config.KeyFromPath && s.Key.From != config.KeyFromHeader && s.Key.From != config.KeyFromQuery, at+".key.from", fmt.Sprintf("is %q", s.Key.From), "use path, header or query")
	add(len(s.Kinds) == 0, at+".kinds", "is empty", "describe at least one kind of work")
	floors := 0
	for i := range s.Kinds {
		k := &s.Kinds[i]
		a.checkKind(s, k, fmt.Sprintf("%s.kinds[%d]", at, i), add)
		if k.FloorPercent != nil {
			floors += *k.FloorPercent
		}
	}
	add(floors >= 100, at+".kinds", fmt.Sprintf("keep floors of %d%% together", floors), "lower floor-percent until the sum is below 100")
}

func (a *Answers) checkKind(s *Service, k *Kind, at string, add checkFunc) {
	_, known := k.Rank.Number()
	add(!known, at+".rank", fmt.Sprintf("is %q", k.Rank), "use urgent, normal or bulk")
	add(k.Name == "", at+".name", "is missing", "name the kind of work")
	add(k.Method == "", at+".method", "is missing", "give an HTTP method such as GET")
	add(k.Worth <= 0, at+".worth", "is not positive", "give the worth of one request next to the other kinds'")
	add(k.ServiceTime <= 0, at+".service-time", "is not positive", "give how long a request takes in a slot")
	least := shortestAnswer(a.Network, k)
	add(k.Target < least, at+".target", fmt.Sprintf("%s is below the %s that the network and the work alone take", k.Target.Std(), least.Std()), fmt.Sprintf("raise target to %s or more, or correct service-time and to-clients", least.Std()))
	add(k.Patience < k.Target, at+".patience", fmt.Sprintf("%s is below the target of %s", k.Patience.Std(), k.Target.Std()), "raise patience or lower target")
	add(k.OnceOnly && k.Retries != nil && *k.Retries > 0, at+".retries", "a once-only kind is never run again by the router", "set retries to 0, or once-only to false")
	add(k.Retries != nil && *k.Retries < 0, at+".retries", "is negative", "give 0 or more")
	add(k.FloorPercent != nil && (*k.FloorPercent < 0 || *k.FloorPercent > 99), at+".floor-percent", "is not between 0 and 99", "give the share of slot time kept in a flood")
	body := (k.Method == "GET" || k.Method == "HEAD") && k.LargestBody > 0
	add(body, at+".largest-body", "a "+k.Method+" request has no body", "leave largest-body out or correct the method")
	add(s.BackendServers > 0 && k.OnceOnly && k.Method == "GET", at+".once-only", "a GET request may be sent again by any client or proxy", "use POST, or set once-only to false")
}

// shortestAnswer is the time of an answer from the caller's own failure
// domain without any queue.
func shortestAnswer(n Network, k *Kind) Duration {
	return 2*n.ToClients + k.ServiceTime
}

const (
	defaultLossTarget = Duration(time.Second)
	minLossTarget     = Duration(500 * time.Millisecond)
)

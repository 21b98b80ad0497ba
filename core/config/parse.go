package config

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"

	"bronzewind.example/core/document"
)

// Parse reads and checks a document. Its faults are *document.Problems with
// line, field and mend.
func Parse(data []byte) (*Configuration, error) {
	var c Configuration
	if err := document.Decode(data, &c); err != nil {
		return nil, err
	}
	if err := c.check(document.NewChecker(data)); err != nil {
		return nil, err
	}
	return &c, nil
}

// Encode writes c as YAML; equal configurations give equal bytes.
func (c *Configuration) Encode() ([]byte, error) {
	return yaml.Marshal(c)
}

// Check returns all problems of c, or nil.
func (c *Configuration) Check() error {
	return c.check(document.NewChecker(nil))
}

func (c *Configuration) check(d *document.Checker) error {
	add := d.Check
	add(c.Version == 0, "version", "is 0", "start at 1")
	add(c.Fleet == "", "fleet", "is empty", "give the fleet a name")
	add(len(c.Regions) == 0, "regions", "is empty", "name at least one region")
	add(len(c.Services) == 0, "services", "is empty", "configure at least one service")
	t := c.Timing
	add(t.Lease <= 0, "timing.lease", "is not positive", "give a duration such as 500ms")
	add(t.Heartbeat <= 0 || t.Heartbeat*3 > t.Lease, "timing.heartbeat", "is not within a third of the lease", "lower heartbeat or raise lease")
	add(t.Grant <= 0, "timing.grant", "is not positive", "give a duration such as 400ms")
	add(t.GrantRenewal <= 0 || t.GrantRenewal*3 > t.Grant, "timing.grant-renewal", "is not within a third of the grant", "lower grant-renewal or raise grant")
	add(t.DriftPerMil < 0 || t.DriftPerMil > 100, "timing.drift-per-mil", "is not between 0 and 100", "give the bound of the clock's drift in thousandths")
	for i := range c.Services {
		c.Services[i].check(fmt.Sprintf("services[%d]", i), add)
	}
	c.checkNames(add)
	return d.Err()
}

// checkNames finds names and path prefixes that stand twice.
func (c *Configuration) checkNames(add checkFunc) {
	seen := map[string]bool{}
	once := func(space, name, field string) {
		key := space + " " + name
		add(seen[key], field, fmt.Sprintf("%q stands twice", name), "give each its own")
		seen[key] = true
	}
	for i, r := range c.Regions {
		once("region", r.Name, fmt.Sprintf("regions[%d].name", i))
		for j, f := range r.FailureDomains {
			once("failure domain", f, fmt.Sprintf("regions[%d].failure-domains[%d]", i, j))
		}
	}
	for i, v := range c.Callers {
		once("caller", v.Name, fmt.Sprintf("callers[%d].name", i))
	}
	for i, v := range c.Services {
		once("service", v.Name, fmt.Sprintf("services[%d].name", i))
		once("path", v.PathPrefix, fmt.Sprintf("services[%d].path-prefix", i))
		for j, k := range v.Kinds {
			at := fmt.Sprintf("services[%d].kinds[%d]", i, j)
			once("kind of "+v.Name, k.Name, at+".name")
			once("match of "+v.Name, k.Method+" "+k.PathSuffix, at+".path-suffix")
		}
	}
}

// checkFunc notes a fault of a field when bad.
type checkFunc func(bad bool, field, fault, mend string)

func (s *Service) check(at string, add checkFunc) {
	add(s.Name == "", at+".name", "is empty", "name the service")
	add(!strings.HasPrefix(s.PathPrefix, "/") || !strings.HasSuffix(s.PathPrefix, "/"), at+".path-prefix", "does not start and end with \"/\"", "write it as \"/"+s.Name+"/\"")
	add(s.Slots < 1 || s.Slots > MaxSlots || s.Slots&(s.Slots-1) != 0, at+".slots", "is not a power of two up to 1048576", "choose for example 4096")
	add(s.ServerSlots < 1, at+".server-slots", "is not positive", "give the number of requests that a backend server runs at once")
	add(s.Connections < s.ServerSlots, at+".connections", "is below server-slots", "raise connections")
	add(s.QueueLimit < 0, at+".queue-limit", "is negative", "give the most requests queued at one dispatcher, or 0 for the sum over the kinds")
	add(len(s.Kinds) == 0, at+".kinds", "is empty", "configure at least one kind of work")
	add(s.Balance.Bound < 0 || s.Balance.Bound > 1, at+".balance.bound", "is not from 0 to 1", "give a share of the mean utilisation, for example 0.2")
	add(s.Balance.Settle < 0 || s.Balance.Settle > s.Balance.Bound, at+".balance.settle", "is not from 0 to bound", "lower settle")
	add(s.Balance.Moves < 0, at+".balance.moves", "is negative", "give the most slots that may move in 10 s")
	switch s.Key.From {
	case KeyFromPath:
		add(s.Key.Segment < 0, at+".key.segment", "is negative", "count path segments from 0")
	case KeyFromHeader, KeyFromQuery:
		add(s.Key.Name == "", at+".key.name", "is empty", "name the header or query parameter")
	default:
		add(true, at+".key.from", fmt.Sprintf("is %q", s.Key.From), "use path, header or query")
	}
	for i := range s.Kinds {
		s.Kinds[i].check(fmt.Sprintf("%s.kinds[%d]", at, i), add)
	}
}

func (k *Kind) check(at string, add checkFunc) {
	add(k.Name == "", at+".name", "is empty", "name the kind of work")
	add(k.Method == "", at+".method", "is empty", "give an HTTP method such as GET")
	add(k.Rank < 0 || k.Rank >= RankCount, at+".rank", "is not 0, 1 or 2", "use 0 for urgent, 1 for normal, 2 for bulk")
	add(k.Worth <= 0, at+".worth", "is not positive", "give the worth of one request")
	add(k.Target <= 0, at+".target", "is not positive", "give the wanted response time")
	add(k.Patience < k.Target, at+".patience", "is below the target", "raise patience to at least the target")
	add(k.ServiceTime <= 0, at+".service-time", "is not positive", "give the expected time in a slot")
	add(k.OnceOnly && k.Retries != 0, at+".retries", "is not 0 for once-only work", "set retries to 0, or once-only to false")
	add(k.Retries < 0, at+".retries", "is negative", "use 0 or more")
	add(k.Floor < 0 || k.Floor >= 1, at+".floor", "is not from 0 to below 1", "give a share of slot time")
	add(k.QueueLimit < 1, at+".queue-limit", "is not positive", "give the most requests queued at one dispatcher")
	add(k.BodyBytes < 0, at+".body-bytes", "is negative", "give the largest body in bytes")
}

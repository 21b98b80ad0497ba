// Package config is the format of the published configuration: what the fleet
// serves, for whom, and within which limits. A Configuration is immutable once
// parsed.
package config

import (
	"time"
)

// The ranks of work, most urgent first.
const (
	Urgent Rank = iota
	Normal
	Bulk

	RankCount = 3
)

// MaxSlots is the largest slot count of a service.
const MaxSlots = 1 << 20

// The places where a key can stand in a request.
const (
	KeyFromPath   KeySource = "path"
	KeyFromHeader KeySource = "header"
	KeyFromQuery  KeySource = "query"
)

type (
	// Rank orders kinds of work; a smaller rank is more urgent.
	Rank int

	// KeySource names the part of a request that holds the key.
	KeySource string

	// Configuration is one whole published document.
	Configuration struct {
		Version  uint64    `yaml:"version"` // at least 1; grows by exactly 1
		Fleet    string    `yaml:"fleet"`
		Regions  []Region  `yaml:"regions"` // at least one
		Timing   Timing    `yaml:"timing"`
		Limits   Limits    `yaml:"limits"`
		Callers  []Caller  `yaml:"callers"`
		Services []Service `yaml:"services"` // at least one; path prefixes are unique
	}

	// Region is a place whose failure domains are near each other.
	Region struct {
		Name           string   `yaml:"name"`
		FailureDomains []string `yaml:"failure-domains"` // unique over all regions
	}

	// Timing holds the durations that the safety of ownership rests on.
	Timing struct {
		Lease        Duration `yaml:"lease"`         // time to live of an instance's lease
		Heartbeat    Duration `yaml:"heartbeat"`     // under a third of Lease
		Grant        Duration `yaml:"grant"`         // time to live of a grant
		GrantRenewal Duration `yaml:"grant-renewal"` // under a third of Grant
		DriftPerMil  int      `yaml:"drift-per-mil"` // bound on clock drift, in thousandths
	}

	// Limits bounds what an entry holds for its callers.
	Limits struct {
		HeaderBytes      int      `yaml:"header-bytes"`
		Connections      int      `yaml:"connections"`
		HeaderTimeout    Duration `yaml:"header-timeout"`
		BodyIdleTimeout  Duration `yaml:"body-idle-timeout"`
		RetryBudgetRatio float64  `yaml:"retry-budget-ratio"`  // retries per first try, 0 to 1
		MoveTime         Duration `yaml:"move-time,omitempty"` // before a shutdown, for callers to go elsewhere; 0 means 2s
	}

	// Caller is a kind of caller with its own cap.
	Caller struct {
		Name string `yaml:"name"`
		Cap  int    `yaml:"cap"` // most requests queued at one dispatcher
	}

	// Service is a set of backend servers that own the keys of one key space.
	Service struct {
		Name           string   `yaml:"name"`
		PathPrefix     string   `yaml:"path-prefix"` // starts and ends with "/"
		Key            Key      `yaml:"key"`
		Slots          int      `yaml:"slots"` // of the key space; a power of two
		ServerSlots    int      `yaml:"server-slots"`
		Connections    int      `yaml:"connections"`           // per backend server
		ChecksGrants   bool     `yaml:"checks-grants"`         // refuses work without a valid grant
		TrustsRefusals bool     `yaml:"trusts-refusals"`       // a marked refusal surely did not run
		ColdStart      Duration `yaml:"cold-start"`            // ramp of a new backend server
		QueueLimit     int      `yaml:"queue-limit,omitempty"` // most requests queued at one dispatcher; 0 means the sum over the kinds
		Balance        Balance  `yaml:"balance,omitempty"`
		Kinds          []Kind   `yaml:"kinds"` // at least one
	}

	// Balance bounds how unequal the load of backend servers may be, and how
	// fast ownership may change to mend that.
	Balance struct {
		Bound  float64 `yaml:"bound,omitempty"`  // largest share over or under the mean utilisation; 0 means 0.2
		Settle float64 `yaml:"settle,omitempty"` // share that moves go on to; at most Bound; 0 means a quarter of Bound
		Moves  int     `yaml:"moves,omitempty"`  // most slots and keys moved in 10 s; 0 means a 16th of the slots
	}

	// Key says where the key stands.
	Key struct {
		From    KeySource `yaml:"from"`
		Name    string    `yaml:"name"`    // of the header or query parameter
		Segment int       `yaml:"segment"` // of the path below the prefix, from 0
	}

	// Kind is a kind of work with its rank, worth and limits.
	Kind struct {
		Name        string   `yaml:"name"`
		Method      string   `yaml:"method"`
		PathSuffix  string   `yaml:"path-suffix"` // "" matches any path below the key
		Rank        Rank     `yaml:"rank"`
		Worth       float64  `yaml:"worth"`        // of one request served within its target; above 0
		Target      Duration `yaml:"target"`       // wanted response time
		Patience    Duration `yaml:"patience"`     // longest wait of the caller; at least Target
		ServiceTime Duration `yaml:"service-time"` // expected time in a backend server's slot
		OnceOnly    bool     `yaml:"once-only"`
		Retries     int      `yaml:"retries"` // 0 for once-only work
		BodyBytes   int64    `yaml:"body-bytes"`
		Floor       float64  `yaml:"floor"` // share of slot time kept for the kind in a flood, 0 to 1
		QueueLimit  int      `yaml:"queue-limit"`
	}

	// Duration is a time.Duration written as "150ms" in YAML.
	Duration time.Duration
)

// Std returns d as a standard duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText writes d as Go does, for example "150ms".
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads a duration with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// WithVersion returns a copy of c with version v.
func (c Configuration) WithVersion(v uint64) Configuration {
	c.Version = v
	return c
}

// ServiceFor returns the service whose path prefix matches path.
func (c *Configuration) ServiceFor(path string) (*Service, bool) {
	for i := range c.Services {
		s := &c.Services[i]
		if len(path) >= len(s.PathPrefix) && path[:len(s.PathPrefix)] == s.PathPrefix {
			return s, true
		}
	}
	return nil, false
}

// Service returns the service called name.
func (c *Configuration) Service(name string) (*Service, bool) {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i], true
		}
	}
	return nil, false
}

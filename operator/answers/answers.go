// Package answers is the questionnaire's format: what a team says of its
// callers, services, and kinds of work.
package answers

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"bronzewind.example/core/config"
	"bronzewind.example/core/document"
)

type (
	// Answers are all answers of one team. A value that is left out takes the
	// default that Explain names.
	Answers struct {
		Fleet              string    `yaml:"fleet"`
		Instances          int       `yaml:"instances"`
		Regions            []Region  `yaml:"regions"`
		StoreRegion        string    `yaml:"store-region"` // region of the log service
		Network            Network   `yaml:"network"`
		ClockDriftPerMil   *int      `yaml:"clock-drift-per-mil,omitempty"`
		LossTarget         Duration  `yaml:"loss-target,omitempty"` // longest time until a key is served again
		RetryBudgetPercent *int      `yaml:"retry-budget-percent,omitempty"`
		Callers            []Caller  `yaml:"callers"`
		Services           []Service `yaml:"services"`
	}

	// Duration is a duration with its unit, such as 30ms.
	Duration = config.Duration

	// Region is a place with its failure domains.
	Region struct {
		Name           string   `yaml:"name"`
		FailureDomains []string `yaml:"failure-domains"`
	}

	// Network tells one-way delays and the links between regions.
	Network struct {
		BetweenFailureDomains Duration `yaml:"between-failure-domains"`
		BetweenRegions        Duration `yaml:"between-regions"`
		ToClients             Duration `yaml:"to-clients"`
		LinkMbitPerSecond     int      `yaml:"link-mbit-per-second"`
	}

	// Caller is a kind of caller.
	Caller struct {
		Name       string `yaml:"name"`
		QueueShare int    `yaml:"queue-share-percent,omitempty"` // of one backend server's queue
	}

	// Service is a set of backend servers.
	Service struct {
		Name            string   `yaml:"name"`
		PathPrefix      string   `yaml:"path-prefix,omitempty"`
		Key             Key      `yaml:"key"`
		BackendServers  int      `yaml:"backend-servers"`
		SlotsPerServer  int      `yaml:"slots-per-server"`
		Connections     int      `yaml:"connections-per-server"`
		ConnectionTime  Duration `yaml:"connection-time"`
		ChecksGrants    bool     `yaml:"checks-grants"`
		RefusalsAreTrue bool     `yaml:"refusals-are-true"`
		ColdStart       Duration `yaml:"cold-start"`
		Kinds           []Kind   `yaml:"kinds"`
	}

	// Key says where a request carries its key.
	Key struct {
		From    config.KeySource `yaml:"from"`
		Name    string           `yaml:"name,omitempty"`
		Segment int              `yaml:"segment,omitempty"`
	}

	// Kind is a kind of work.
	Kind struct {
		Name         string   `yaml:"name"`
		Method       string   `yaml:"method"`
		PathSuffix   string   `yaml:"path-suffix,omitempty"`
		Rank         Rank     `yaml:"rank"`
		Worth        float64  `yaml:"worth"`
		Target       Duration `yaml:"target"`
		Patience     Duration `yaml:"patience"`
		ServiceTime  Duration `yaml:"service-time"`
		OnceOnly     bool     `yaml:"once-only"`
		Retries      *int     `yaml:"retries,omitempty"`
		LargestBody  Size     `yaml:"largest-body,omitempty"`
		FloorPercent *int     `yaml:"floor-percent,omitempty"`
	}

	// Rank is urgent, normal or bulk.
	Rank string

	// Size is a number of bytes, written with a unit: 512B, 64KiB, 2MiB, 1GiB.
	Size int64
)

// units of Size, largest first.
var units = []struct {
	name  string
	bytes int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// Load reads the answers in file and checks them; faults are *document.Problems
// with file, line, field and mend.
func Load(file string) (*Answers, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("answers: %w", err)
	}
	a, err := Parse(data)
	return a, document.InFile(file, err)
}

// Parse reads and checks answers in YAML.
func Parse(data []byte) (*Answers, error) {
	var a Answers
	if err := document.Decode(data, &a); err != nil {
		return nil, err
	}
	if err := a.check(document.NewChecker(data)); err != nil {
		return nil, err
	}
	return &a, nil
}

// Number returns the rank's number in the configuration, and whether the rank
// is known.
func (r Rank) Number() (config.Rank, bool) {
	switch r {
	case "urgent":
		return config.Urgent, true
	case "normal":
		return config.Normal, true
	case "bulk":
		return config.Bulk, true
	default:
		return 0, false
	}
}

// MarshalText writes the size with its largest exact unit.
func (s Size) MarshalText() ([]byte, error) {
	for _, u := range units {
		if int64(s)%u.bytes == 0 && int64(s) >= u.bytes {
			return []byte(strconv.FormatInt(int64(s)/u.bytes, 10) + u.name), nil
		}
	}
	return []byte("0B"), nil
}

// UnmarshalText reads a size with its unit.
func (s *Size) UnmarshalText(text []byte) error {
	for _, u := range units {
		number, ok := strings.CutSuffix(string(text), u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil || n < 0 || n > (1<<40)/u.bytes {
			break
		}
		*s = Size(n * u.bytes)
		return nil
	}
	return fmt.Errorf("%q is no size; write for example 64KiB", text)
}

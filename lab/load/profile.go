// Package load puts open-loop load on running instances and checks what became
// of each request.
package load

import (
	"fmt"
	"os"

	"bronzewind.example/core/config"
	"bronzewind.example/core/document"
)

type (
	// Profile says what load is put on.
	Profile struct {
		Seed            uint64          `yaml:"seed"`
		Settle          config.Duration `yaml:"settle"` // after Duration, what is still unanswered is given up
		Duration        config.Duration `yaml:"duration"`
		Rate            float64         `yaml:"rate"` // requests per second of all kinds, without floods
		Keys            int             `yaml:"keys"`
		Zipf            float64         `yaml:"zipf"`           // exponent, above 1; 0 draws keys evenly
		HotKeysMove     config.Duration `yaml:"hot-keys-move"`  // other keys are hot after each; 0 for never
		RepeatOnUnknown bool            `yaml:"repeat-unknown"` // the caller repeats once-only work under the same idempotency key
		Kinds           []Share         `yaml:"kinds"`
		Floods          []Flood         `yaml:"floods"`
	}

	// Share is the part of the load that is of one kind of work.
	Share struct {
		Service string  `yaml:"service"`
		Kind    string  `yaml:"kind"`
		Caller  string  `yaml:"caller"`
		Share   float64 `yaml:"share"` // relative to the other kinds
		Body    int64   `yaml:"body"`  // bytes
	}

	// Flood multiplies the rate of one kind for a time.
	Flood struct {
		Service string          `yaml:"service"`
		Kind    string          `yaml:"kind"`
		From    config.Duration `yaml:"from"`
		For     config.Duration `yaml:"for"`
		Rate    float64         `yaml:"rate"` // requests per second on top
	}
)

// ReadProfile reads and checks the profile in file against the configuration
// that the instances serve.
func ReadProfile(file string, c *config.Configuration) (*Profile, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("profile: %w", err)
	}
	var p Profile
	if err := document.Decode(data, &p); err != nil {
		return nil, document.InFile(file, err)
	}
	return &p, document.InFile(file, p.check(document.NewChecker(data), c))
}

func (p *Profile) check(d *document.Checker, c *config.Configuration) error {
	d.Check(p.Duration <= 0, "duration", "is not positive", "give a duration such as 20s")
	d.Check(p.Settle <= 0, "settle", "is not positive", "give a duration such as 20s")
	d.Check(p.Rate <= 0, "rate", "is not positive", "give requests per second")
	d.Check(p.Keys < 1, "keys", "is not positive", "give the number of keys")
	d.Check(p.Zipf != 0 && p.Zipf <= 1, "zipf", "is not above 1", "give an exponent such as 1.1, or 0 for even keys")
	d.Check(len(p.Kinds) == 0, "kinds", "is empty", "name at least one kind of work")
	for i, s := range p.Kinds {
		at := fmt.Sprintf("kinds[%d]", i)
		_, _, ok := findKind(c, s.Service, s.Kind)
		d.Check(!ok, at+".kind", fmt.Sprintf("service %q has no kind %q", s.Service, s.Kind), "name a kind of the configuration")
		d.Check(s.Share <= 0, at+".share", "is not positive", "give the kind's share")
	}
	for i, f := range p.Floods {
		at := fmt.Sprintf("floods[%d]", i)
		_, ok := p.share(f.Service, f.Kind)
		d.Check(!ok, at+".kind", fmt.Sprintf("%s of %s is not among the kinds", f.Kind, f.Service), "add it to kinds")
		d.Check(f.Rate <= 0, at+".rate", "is not positive", "give requests per second")
	}
	return d.Err()
}

func (p *Profile) share(service, kind string) (Share, bool) {
	for _, s := range p.Kinds {
		if s.Service == service && s.Kind == kind {
			return s, true
		}
	}
	return Share{}, false
}

func findKind(c *config.Configuration, service, kind string) (*config.Service, *config.Kind, bool) {
	s, ok := c.Service(service)
	if !ok {
		return nil, nil, false
	}
	for i := range s.Kinds {
		if s.Kinds[i].Name == kind {
			return s, &s.Kinds[i], true
		}
	}
	return nil, nil, false
}

// Package settings reads what one process needs to know of itself.
package settings

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"

	"bronzewind.example/core/document"
)

// Settings are the settings of one instance. Addresses are IP numbers with a
// port.
type Settings struct {
	Instance      string `yaml:"instance"` // unique in the fleet; never empty
	Region        string `yaml:"region"`
	FailureDomain string `yaml:"failure-domain"`
	Listen        string `yaml:"listen"`     // HTTP for callers
	Admin         string `yaml:"admin"`      // HTTP for probes and metrics
	Control       string `yaml:"control"`    // UDP between instances
	Forward       string `yaml:"forward"`    // QUIC between instances
	Platform      string `yaml:"platform"`   // URL of log service and list
	LogFormat     string `yaml:"log-format"` // text or json
	Trace         string `yaml:"trace"`      // off, stdout, or the URL of an OTLP collector

	// Peers are forward addresses of other instances, which an instance that
	// starts while the log has no whole state asks for theirs. They are not
	// verified.
	Peers []string `yaml:"peers,omitempty"`
}

// Option changes settings after they were read, for flags.
type Option func(*Settings)

// Load reads the settings in file, applies the options, and checks the result.
func Load(file string, options ...Option) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s, err := Parse(data, options...)
	return s, document.InFile(file, err)
}

// Parse reads settings from YAML, applies the options, and checks the result.
func Parse(data []byte, options ...Option) (*Settings, error) {
	s := Settings{LogFormat: "text", Trace: "off"}
	if err := document.Decode(data, &s); err != nil {
		return nil, err
	}
	for _, o := range options {
		o(&s)
	}
	if err := s.check(document.NewChecker(data)); err != nil {
		return nil, err
	}
	return &s, nil
}

func (s *Settings) check(d *document.Checker) error {
	for _, f := range []struct{ name, value string }{
		{"instance", s.Instance}, {"region", s.Region}, {"failure-domain", s.FailureDomain},
	} {
		d.Check(f.value == "", f.name, "is missing", fmt.Sprintf("add a line %q", f.name+": NAME"))
	}
	for _, f := range []struct{ name, value string }{
		{"listen", s.Listen}, {"admin", s.Admin}, {"control", s.Control}, {"forward", s.Forward},
	} {
		err := checkAddress(f.value)
		d.Check(err != nil, f.name, fmt.Sprintf("%q is no address: %v", f.value, err), "write an IP number and a port such as 127.0.0.1:8101")
	}
	u, err := url.Parse(s.Platform)
	d.Check(err != nil || u.Host == "", "platform", fmt.Sprintf("%q is no URL", s.Platform), "write for example http://127.0.0.1:8000")
	d.Check(s.LogFormat != "text" && s.LogFormat != "json", "log-format", fmt.Sprintf("is %q", s.LogFormat), "use text or json")
	return d.Err()
}

func checkAddress(a string) error {
	host, _, err := net.SplitHostPort(a)
	if err != nil {
		return err
	}
	if net.ParseIP(host) == nil {
		return errors.New("host is not an IP number")
	}
	return nil
}

// Overridable returns the names of the settings that a flag may override.
func Overridable() []string {
	return []string{"instance", "region", "failure-domain", "listen", "admin", "control", "forward", "platform", "log-format", "trace"}
}

// With returns the option that sets the field called name to value; an unknown
// name changes nothing.
func With(name, value string) Option {
	return func(s *Settings) {
		fields := map[string]*string{
			"instance": &s.Instance, "region": &s.Region, "failure-domain": &s.FailureDomain,
			"listen": &s.Listen, "admin": &s.Admin, "control": &s.Control, "forward": &s.Forward,
			"platform": &s.Platform, "log-format": &s.LogFormat, "trace": &s.Trace,
		}
		if f, ok := fields[name]; ok {
			*f = value
		}
	}
}

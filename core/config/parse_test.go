package config

import (
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func sample(t testing.TB) string {
	t.Helper()
	data, err := os.ReadFile("testdata/valid.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestParseNamesLineFieldAndMend(t *testing.T) {
	valid := sample(t)
	tests := []struct{ name, old, new, want string }{
		{"unknown field", "fleet: magnolia", "flet: magnolia", `line 2: unknown field "flet"; remove the field or correct its name`},
		{"wrong type", "slots: 1024", "slots: many", "line 25: cannot unmarshal string into Go struct field Configuration.Services of type int; give a value of type int"},
		{"not a power of two", "slots: 1024", "slots: 1000", "line 25: services[0].slots: is not a power of two up to 1048576; choose for example 4096"},
		{"retries of once-only work", "retries: 0", "retries: 3", "line 33: services[0].kinds[1].retries: is not 0 for once-only work; set retries to 0, or once-only to false"},
		{"missing field", "  lease: 500ms\n", "", "line 7: timing.lease: is not positive; give a duration such as 500ms\nline 7: timing.heartbeat: is not within a third of the lease; lower heartbeat or raise lease"},
		{"name twice", "name: press-run", "name: lookup", `line 33: services[0].kinds[1].name: "lookup" stands twice; give each its own`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(valid, tt.old, tt.new, 1)))
			got := ""
			if err != nil {
				got = err.Error()
			}
			if d := cmp.Diff(tt.want, got); d != "" {
				t.Errorf("(-want +got)\n%s", d)
			}
		})
	}
}

func TestEncodedConfigurationParsesToTheSame(t *testing.T) {
	c, err := Parse([]byte(sample(t)))
	if err != nil {
		t.Fatal(err)
	}
	data, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	again, err := Parse(data)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(c, again); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(sample(f)))
	f.Add([]byte("services: [{kinds: [{}]}]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Parse(data)
		if err == nil && c.Check() != nil {
			t.Errorf("accepted, and yet %v", c.Check())
		}
	})
}

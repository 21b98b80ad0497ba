package diff

import (
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzewind.example/core/config"
)

func TestCompareSaysWhatChangesForWhom(t *testing.T) {
	data, err := os.ReadFile("../../examples/magnolia/configuration.yaml")
	if err != nil {
		t.Fatal(err)
	}
	load := func() *config.Configuration {
		c, err := config.Parse(data)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	from, to := load(), load()
	if got := Compare(from, to); got != nil {
		t.Fatalf("equal configurations differ: %v", got)
	}
	to.Version = 2
	to.Timing.Lease = config.Duration(600 * time.Millisecond)
	to.Services[0].Kinds[0].Target = config.Duration(time.Second)
	to.Services[0].ServerSlots = 7
	to.Services = to.Services[:2]
	to.Callers = append(to.Callers, config.Caller{Name: "auditor", Cap: 3})
	want := []Change{
		{"operators", "fleet: lease 460ms -> 600ms"},
		{"callers", "caller auditor: is new"},
		{"backend servers", "service proofs: server-slots 6 -> 7"},
		{"callers", "service proofs, kind proof-lookup: target 250ms -> 1s"},
		{"callers", "service billing: is removed"},
	}
	if d := cmp.Diff(want, Compare(from, to)); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
}

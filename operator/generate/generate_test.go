package generate

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzewind.example/core/config"
	"bronzewind.example/operator/answers"
)

// TestExamplesAreUpToDate also shows that the same answers give the same bytes.
func TestExamplesAreUpToDate(t *testing.T) {
	for _, name := range []string{"magnolia", "harrowmere"} {
		a, err := answers.Load("../../examples/" + name + "/answers.yaml")
		if err != nil {
			t.Fatal(err)
		}
		c, _, err := Generate(a, 1)
		if err != nil {
			t.Fatal(err)
		}
		got, err := c.Encode()
		if err != nil {
			t.Fatal(err)
		}
		committed, err := os.ReadFile("../../examples/" + name + "/configuration.yaml")
		if err != nil {
			t.Fatal(err)
		}
		_, want, _ := strings.Cut(string(committed), "\n")
		if d := cmp.Diff(want, string(got)); d != "" {
			t.Errorf("%s (-committed +generated)\n%s", name, d)
		}
	}
}

// TestLossIsServedWithinTarget adds up the longest way from a loss to the next
// owner: the grant or lease lapses, then four round trips to the log.
func TestLossIsServedWithinTarget(t *testing.T) {
	for _, target := range []time.Duration{0, 800 * time.Millisecond, 3 * time.Second} {
		a, err := answers.Load("../../examples/magnolia/answers.yaml")
		if err != nil {
			t.Fatal(err)
		}
		a.LossTarget = config.Duration(target)
		c, _, err := Generate(a, 1)
		if err != nil {
			t.Fatal(err)
		}
		limit := max(target, 800*time.Millisecond)
		if target == 0 {
			limit = time.Second
		}
		trips := roundTripsAfterLapse * 2 * a.Network.BetweenRegions.Std()
		if got := c.Timing.Lease.Std() + c.Timing.Heartbeat.Std() + trips; got > limit {
			t.Errorf("target %s: a lost instance's keys are served after up to %s", target, got)
		}
		if got := c.Timing.Grant.Std() + c.Timing.GrantRenewal.Std() + trips; got > limit {
			t.Errorf("target %s: a lost backend server's keys are served after up to %s", target, got)
		}
	}
}

package load

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzewind.example/core/code"
	"bronzewind.example/core/config"
	"bronzewind.example/lab/backend"
)

func magnolia(t *testing.T) *config.Configuration {
	t.Helper()
	data, err := os.ReadFile("../../examples/magnolia/configuration.yaml")
	if err != nil {
		t.Fatal(err)
	}
	c, err := config.Parse(data)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestVerifyFindsBrokenInvariants(t *testing.T) {
	serviceOf := map[string]string{"press-1": "press", "press-2": "press"}
	run := func(outcome string) []Outcome {
		return []Outcome{{ID: "r-1", Service: "press", Kind: "press-run", Outcome: outcome}}
	}
	start := func(server string, at, ended int64) backend.Start {
		return backend.Start{Server: server, ID: "r-1", Slot: 3, At: at, Ended: ended}
	}
	tests := []struct {
		name     string
		outcomes []Outcome
		starts   []backend.Start
		want     []string
	}{
		{"all holds", run("done"), []backend.Start{start("press-1", 1, 5)}, []string{}},
		{"unknown, and ran", run("unknown"), []backend.Start{start("press-1", 1, 0)}, []string{}},
		{"ran twice", run("done"), []backend.Start{start("press-1", 1, 5), start("press-1", 6, 9)}, []string{"once-only request r-1 ran 2 times"}},
		{"not run, and ran", run("not-run"), []backend.Start{start("press-1", 1, 5)}, []string{"request r-1 is said not to have run, and ran"}},
		{"done, and never ran", run("done"), nil, []string{"request r-1 is said to be done, and never ran"}},
		{
			"two owners at once", nil,
			[]backend.Start{start("press-1", 1, 5), start("press-2", 4, 9)},
			[]string{"slot 3 of press: press-1 ran r-1 while press-2 ran r-1"},
		},
		{"one owner after the other", nil, []backend.Start{start("press-1", 1, 5), start("press-2", 6, 9)}, []string{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &Summary{Faults: []string{}}
			s.Verify(magnolia(t), tt.outcomes, tt.starts, serviceOf)
			if d := cmp.Diff(tt.want, s.Faults); d != "" {
				t.Errorf("(-want +got)\n%s", d)
			}
		})
	}
}

func TestEqualProfilesGiveEqualPlans(t *testing.T) {
	c := magnolia(t)
	p, err := ReadProfile("../../examples/magnolia/load.yaml", c)
	if err != nil {
		t.Fatal(err)
	}
	first, second := plan(p, c), plan(p, c)
	same := cmp.Comparer(func(a, b planned) bool { return a.at == b.at && a.id == b.id && a.key == b.key && a.kind == b.kind })
	if d := cmp.Diff(first, second, same); d != "" {
		t.Errorf("plans differ: %s", d)
	}
	if want := p.Rate * p.Duration.Std().Seconds(); float64(len(first)) < 0.9*want || float64(len(first)) > 1.1*want {
		t.Errorf("planned %d requests, want about %.0f", len(first), want)
	}
}

func TestLongestGapSpansFailedAndStalledRequests(t *testing.T) {
	at := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	outcomes := []Outcome{
		{Intended: at(0), Ended: at(10), Outcome: "done"},
		{Intended: at(100), Ended: at(150), Outcome: "unknown", Code: int(code.BackendReset)},
		{Intended: at(200), Ended: at(900), Outcome: "done"},
		{Intended: at(300), Ended: at(700), Outcome: "done"},
		{Intended: at(1000), Ended: at(1001), Outcome: "not-run", Code: int(code.QueueFull)},
		{Intended: at(1100), Ended: at(1110), Outcome: "done"},
	}
	var list []attempt
	for _, o := range outcomes {
		list = append(list, attempt{Outcome: o, target: at(50)})
	}
	if d := cmp.Diff(at(800), longestGap(list)); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
}

func TestProfileNamesLineFieldAndMend(t *testing.T) {
	data, err := os.ReadFile("../../examples/magnolia/load.yaml")
	if err != nil {
		t.Fatal(err)
	}
	file := t.TempDir() + "/load.yaml"
	bad := strings.Replace(string(data), "kind: proof-lookup", "kind: prof-lookup", 1)
	if err := os.WriteFile(file, []byte(bad), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err = ReadProfile(file, magnolia(t))
	want := file + `: line 11: kinds[0].kind: service "proofs" has no kind "prof-lookup"; name a kind of the configuration`
	if err == nil || cmp.Diff(want, err.Error()) != "" {
		t.Errorf("got %v, want %s", err, want)
	}
}

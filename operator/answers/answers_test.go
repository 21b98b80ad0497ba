package answers

import (
	"io"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func example(t testing.TB, name string) string {
	t.Helper()
	data, err := os.ReadFile("../../examples/" + name + "/answers.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestParseRejectsContradictions(t *testing.T) {
	magnolia := example(t, "magnolia")
	tests := []struct{ name, old, new, want string }{
		{
			"once-only kind with retries", "        once-only: true\n", "        once-only: true\n        retries: 2\n",
			"line 51: services[0].kinds[1].retries: a once-only kind is never run again by the router; set retries to 0, or once-only to false",
		},
		{
			"target under the network's delay", "target: 250ms", "target: 5ms",
			"line 39: services[0].kinds[0].target: 5ms is below the 12ms that the network and the work alone take; raise target to 12ms or more, or correct service-time and to-clients",
		},
		{
			"patience under the target", "patience: 20s", "patience: 20ms",
			"line 40: services[0].kinds[0].patience: 20ms is below the target of 250ms; raise patience or lower target",
		},
		{
			"fewer connections than slots", "connections-per-server: 100", "connections-per-server: 4",
			"line 29: services[0].connections-per-server: 4 connections can't fill 6 slots; give at least slots-per-server",
		},
		{
			"store in no region", "store-region: east", "store-region: moon",
			`line 12: store-region: "moon" is none of the regions; name the region where the log service stands`,
		},
		{
			"unknown rank", "rank: normal", "rank: hasty",
			`line 37: services[0].kinds[0].rank: is "hasty"; use urgent, normal or bulk`,
		},
		{
			"body of a GET", "service-time: 10ms\n", "service-time: 10ms\n        largest-body: 1KiB\n",
			"line 42: services[0].kinds[0].largest-body: a GET request has no body; leave largest-body out or correct the method",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(magnolia, tt.old, tt.new, 1)))
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

func TestAskKeepsEarlierAnswersOnEmptyLines(t *testing.T) {
	for _, name := range []string{"magnolia", "harrowmere"} {
		want, err := Parse([]byte(example(t, name)))
		if err != nil {
			t.Fatal(err)
		}
		got, err := Ask(strings.NewReader(strings.Repeat("\n", 300)), io.Discard, want)
		if err != nil {
			t.Fatal(err)
		}
		// The prefix that was left out is asked for and then written down.
		for i := range got.Services {
			got.Services[i].PathPrefix = want.Services[i].PathPrefix
		}
		if d := cmp.Diff(want, got); d != "" {
			t.Errorf("%s (-want +got)\n%s", name, d)
		}
	}
}

func TestAskAsksAgainAfterABadAnswer(t *testing.T) {
	var out strings.Builder
	_, err := Ask(strings.NewReader("magnolia\nmany\n9\n"), &out, &Answers{})
	if err == nil || !strings.Contains(err.Error(), "the input ended before the last question") {
		t.Errorf("got error %v, want one of ended input", err)
	}
	if !strings.Contains(out.String(), `"many" is no whole number`) {
		t.Errorf("the bad answer was not refused:\n%s", out.String())
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(example(f, "magnolia")))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := Parse(data)
		if err == nil && a.Check() != nil {
			t.Errorf("accepted, and yet %v", a.Check())
		}
	})
}

package load

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"bronzewind.example/core/code"
	"bronzewind.example/core/config"
	labbackend "bronzewind.example/lab/backend"
)

// unserved is a time, from the start of a run, in which nothing is served.
type unserved struct{ from, to time.Duration }

// runUnserved sends requests for one key at the times given to an entry that answers
// at once with a failure while one of outages lasts.
func runUnserved(t *testing.T, outages []unserved, at ...time.Duration) Unavailable {
	t.Helper()
	c := magnolia(t)
	service, kind, ok := findKind(c, "proofs", "proof-lookup")
	if !ok {
		t.Fatal("the example has no kind proof-lookup")
	}
	p := &Profile{Duration: config.Duration(10 * time.Second)}
	var r *Runner
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		now := time.Since(r.started)
		for _, o := range outages {
			if now >= o.from && now < o.to {
				w.Header().Set(code.OutcomeHeader, code.NotRun.String())
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
		}
		w.Header().Set(code.OutcomeHeader, code.Done.String())
		w.Header().Set(labbackend.IDHeader, hr.Header.Get(labbackend.IDHeader))
		_, _ = io.WriteString(w, "0 bytes read\n")
	}))
	t.Cleanup(entry.Close)
	r = NewRunner(p, c, []string{entry.Listener.Addr().String()}, io.Discard)
	var requests []planned
	for i, d := range at {
		requests = append(requests, planned{at: d, id: i, share: Share{Service: "proofs", Kind: "proof-lookup"}, service: service, kind: kind, key: "K-000001"})
	}
	return unavailable(c, r.run(context.Background(), requests))
}

// TestGapsOfTwoOutagesAreApart has a slot whose only planned requests fall into two
// short outages, as at the two kills of the demo. The time between them was served,
// though no planned request shows it.
func TestGapsOfTwoOutagesAreApart(t *testing.T) {
	second := 1500 * time.Millisecond
	got := runUnserved(t, []unserved{{0, 200 * time.Millisecond}, {second, second + 200*time.Millisecond}},
		100*time.Millisecond, second+100*time.Millisecond)
	if longest := time.Duration(got.LongestMs * float64(time.Millisecond)); longest <= 0 || longest >= time.Second {
		t.Errorf("longest gap of two outages of 200 ms is %s, want one under 1 s", longest)
	}
}

// TestGapOfSlotAskedOnce has an outage of 1.1 s of which the only planned request
// sees the first moment.
func TestGapOfSlotAskedOnce(t *testing.T) {
	const outage = 1100 * time.Millisecond
	got := runUnserved(t, []unserved{{0, outage}}, 0)
	if longest := time.Duration(got.LongestMs * float64(time.Millisecond)); longest < outage {
		t.Errorf("longest gap is %s, want at least %s", longest, outage)
	}
}

package notice

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestReturnBeginsWithOneRequest guards against a server that gets requests while it has
// turned an instance away, and against all waiting requests arriving at once afterwards.
func TestReturnBeginsWithOneRequest(t *testing.T) {
	start := time.Unix(1_790_000_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var a TurnedAway
	type row struct {
		What string
		Wait time.Duration
	}
	var got []row
	look := func(what string, inFlight, ms int) { got = append(got, row{what, a.Wait(inFlight, at(ms))}) }
	look("at first", 3, 0)
	a.Refused(0, 0, at(0))
	look("after a zero", 0, 0)
	a.Refused(2*time.Second, 0.5, at(0))
	look("turned away", 0, 100)
	a.Refused(time.Second, 0, at(200))
	look("an earlier end does not count", 0, 300)
	a.Taken(at(50)) // sent before the refusal
	look("a response to an earlier request", 0, 400)
	look("at the end", 0, 2100)
	look("at the end, another request on its way", 1, 2100)
	a.Refused(time.Second, 0, at(2150))
	look("turned away again", 0, 2150)
	a.Taken(at(3200))
	look("after a request was taken", 7, 3250)
	a.Refused(1000*time.Hour, 0, at(4000))
	look("an absurd time", 0, 4000)
	want := []row{
		{"at first", 0},
		{"after a zero", 0},
		{"turned away", 2 * time.Second},
		{"an earlier end does not count", 1800 * time.Millisecond},
		{"a response to an earlier request", 1700 * time.Millisecond},
		{"at the end", 0},
		{"at the end, another request on its way", returnInterval},
		{"turned away again", time.Second},
		{"after a request was taken", 0},
		{"an absurd time", maxTurnedAway},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

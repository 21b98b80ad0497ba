package notice

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestReusedAddressIsLearntOnce replays lookups for a server whose address another server
// has, while the list still names the former one: only the lookups that were sent before the
// first rejection reach the address. A rejection for a key that the server does not hold
// shows no replacement.
func TestReusedAddressIsLearntOnce(t *testing.T) {
	start := time.Unix(1_790_000_000, 0)
	const roundTrip = 20 * time.Millisecond
	for _, c := range []struct {
		name      string
		rejection Rejection
		want      int // lookups that are sent in ten seconds, one each 10 ms
	}{
		{"another server", Rejection{Misdirected: true, Expected: "a", Responder: "b"}, 3},
		{"the server itself, without the key", Rejection{Misdirected: true, Expected: "a", Responder: "a"}, 1000},
		{"no server named, by one that may lack the key", Rejection{Misdirected: true, Expected: "a", ChecksKeys: true}, 1000},
		{"no server named, of a service without keys", Rejection{Misdirected: true, Expected: "a"}, 3},
		{"another reason", Rejection{Expected: "a", Responder: "b"}, 1000},
	} {
		t.Run(c.name, func(t *testing.T) {
			var state Replaced
			var rejectedAt []time.Time
			for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(10 * time.Millisecond) {
				for _, at := range rejectedAt {
					if !at.After(now) {
						state = state.WithRejection(c.rejection, now)
					}
				}
				if !state.At(now) {
					rejectedAt = append(rejectedAt[max(0, len(rejectedAt)-2):], now.Add(roundTrip+time.Nanosecond))
					c.want--
				}
			}
			if diff := cmp.Diff(0, c.want); diff != "" {
				t.Errorf("lookups missing (-want +got):\n%s", diff)
			}
		})
	}
}

// TestReplacementEnds guards against a server that is out of use for good because of one
// wrong response.
func TestReplacementEnds(t *testing.T) {
	start := time.Unix(1_790_000_000, 0)
	state := Replaced{}.WithReplacement(start).WithReplacement(start.Add(30 * time.Second))
	got := []bool{Replaced{}.At(start), state.At(start), state.At(start.Add(replacedTime - 1)), state.At(start.Add(replacedTime))}
	if diff := cmp.Diff([]bool{false, true, true, false}, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

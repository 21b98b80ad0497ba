package httpresponse

import (
	"errors"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestStatus checks which statuses a response may have, and after which of them another
// response follows.
func TestStatus(t *testing.T) {
	type result struct{ Valid, Interim bool }
	want := map[int]result{
		0: {}, 20: {}, 99: {}, 100: {true, true}, 101: {}, 103: {true, true}, 199: {true, true},
		200: {true, false}, 204: {true, false}, 503: {true, false}, 599: {true, false}, 600: {}, 999: {},
	}
	got := map[int]result{}
	for status := range want {
		err := Check(&http.Response{StatusCode: status})
		if err != nil && !errors.Is(err, ErrInvalid) {
			t.Errorf("status %03d: error %v, want one that wraps ErrInvalid", status, err)
		}
		got[status] = result{err == nil, Interim(status)}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

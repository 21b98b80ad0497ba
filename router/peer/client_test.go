package peer

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bronzewind.example/core/code"
	"bronzewind.example/core/route"
)

// TestRequestToALostMemberFailsAtOnce holds a request at a member that departs:
// one that was lost fails it, one that left by itself may still answer.
func TestRequestToALostMemberFailsAtOnce(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		s := &stalled{release: make(chan struct{})}
		s.began.Add(1)
		client, to := newPair(t, s)
		client.SetMembers([]route.Member{{Fingerprint: to.Fingerprint, Leaving: leaving}})
		result := make(chan error, 1)
		go func() {
			_, err := ask(client, to, http.MethodPut, io.LimitReader(strings.NewReader("tins"), 4), 4)
			result <- err
		}()
		s.began.Wait()
		client.SetMembers(nil)
		if leaving {
			close(s.release)
		}
		var e *code.Error
		got := code.OK
		if err := <-result; errors.As(err, &e) {
			got = e.Code
		}
		want := map[bool]code.Code{false: code.DispatcherLost, true: code.OK}[leaving]
		if d := cmp.Diff(want, got); d != "" {
			t.Errorf("leaving=%t (-want +got)\n%s", leaving, d)
		}
	}
}

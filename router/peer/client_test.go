package peer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bronzewind.example/core/code"
	"bronzewind.example/core/route"
	"bronzewind.example/router/dispatch"
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

// fixedAnswer gives the same answer to every request.
type fixedAnswer struct {
	status int
	header http.Header
}

// Do implements Doer.
func (f fixedAnswer) Do(context.Context, *dispatch.Request) (*dispatch.Response, error) {
	return &dispatch.Response{Status: f.status, Header: f.header, Length: 4, Body: io.NopCloser(strings.NewReader("tins"))}, nil
}

// TestInvalidAnswerOfInstance guards against an invalid answer that another instance, such as
// one of an earlier version, passes on.
func TestInvalidAnswerOfInstance(t *testing.T) {
	for name, c := range map[string]struct {
		answer fixedAnswer
		want   code.Code
	}{
		"valid":        {fixedAnswer{status: 599}, code.OK},
		"no status":    {fixedAnswer{}, code.AnswerCrossed},
		"other status": {fixedAnswer{status: 101}, code.AnswerCrossed},
		"blank":        {fixedAnswer{status: 200, header: http.Header{"X Other": {"o"}}}, code.AnswerCrossed},
		"control byte": {fixedAnswer{status: 200, header: http.Header{"X\r\nOther": {"o"}}}, code.AnswerCrossed},
	} {
		client, to := newPair(t, c.answer)
		_, err := ask(client, to, http.MethodGet, nil, 0)
		var e *code.Error
		got := code.OK
		if errors.As(err, &e) {
			got = e.Code
		}
		if d := cmp.Diff(c.want, got); d != "" {
			t.Errorf("%s (-want +got)\n%s", name, d)
		}
	}
}

package requests

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const sampleLog = `
{"time":"2026-05-14T02:16:38.0Z","level":"INFO","msg":"server-listed","instance":"front-1","server":"i-1","service":"s"}
   0.4 front-1 {"time":"2026-05-14T02:16:39.0Z","level":"INFO","msg":"server-gone","instance":"front-1","server":"i-1","service":"s"}
{"time":"2026-05-14T02:16:39.1Z","level":"INFO","msg":"server-gone","instance":"front-1","server":"i-9","service":"s"}
{"time":"2026-05-14T02:16:39.5Z","level":"INFO","msg":"try-unknown","instance":"front-1","request":"r1","server":"i-1","address":"10.0.0.1:80","code":3001,"reason":"EOF"}
{"time":"2026-05-14T02:16:39.6Z","level":"INFO","msg":"refused-backend-reset","instance":"front-1","request":"r1","status":502,"tries":1,"code":3001}
{"time":"2026-05-14T02:16:39.7Z","level":"INFO","msg":"refused-backend-reset","instance":"front-1","request":"r2","status":502,"tries":1,"code":3001}
{"time":"2026-05-14T02:16:39.8Z","level":"INFO","msg":"refu
`

func TestStory(t *testing.T) {
	var l log
	if err := l.read("a.log", strings.NewReader(sampleLog)); err != nil {
		t.Fatal(err)
	}
	s, err := l.story("r1")
	if err != nil {
		t.Fatal(err)
	}
	events := func(lines []Line) []string {
		var out []string
		for _, l := range lines {
			out = append(out, l.Event)
		}
		return out
	}
	if diff := cmp.Diff([]string{"try-unknown", "refused-backend-reset"}, events(s.Lines)); diff != "" {
		t.Errorf("lines (-want +got)\n%s", diff)
	}
	if diff := cmp.Diff([]string{"server-listed", "server-gone"}, events(s.Beliefs)); diff != "" {
		t.Errorf("beliefs (-want +got)\n%s", diff)
	}
	want := "3001 backend-reset: The connection broke after the first byte was sent.; " +
		"a try at i-1 (10.0.0.1:80) ended with: EOF; 600ms before, front-1: server-gone i-1"
	if diff := cmp.Diff(want, s.Cause); diff != "" {
		t.Errorf("cause (-want +got)\n%s", diff)
	}
	if len(s.Unread) != 1 || !strings.HasPrefix(s.Unread[0], "a.log:8: the line is cut short or foreign") {
		t.Errorf("unread %q", s.Unread)
	}
	if _, err := l.story("r3"); !errors.Is(err, ErrNotFound) {
		t.Errorf("an unknown request: %v", err)
	}
}

package main

import (
	"fmt"
	"io/fs"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bronzewind.example/core/document"
	"bronzewind.example/core/platform"
	"bronzewind.example/operator/publish"
)

func TestExitCodeTellsFailuresApart(t *testing.T) {
	tests := []struct {
		err  error
		want int
	}{
		{nil, exitOK},
		{fmt.Errorf("of another kind"), exitFailed},
		{usage.New("no command"), exitUsage},
		{&document.Problems{List: []document.Problem{{Fault: "is empty"}}}, exitInvalid},
		{&publish.LostRaceError{Base: 1, Now: 2}, exitLostRace},
		{platform.Unreachable.New("silent"), exitUnreachable},
		{&publish.UnknownFateError{Err: platform.Unreachable.New("silent")}, exitUnknownFate},
		{fs.ErrNotExist, exitNoFile},
		{degraded.New("behind"), exitDegraded},
	}
	for _, tt := range tests {
		if d := cmp.Diff(tt.want, exitCode(tt.err)); d != "" {
			t.Errorf("%v (-want +got)\n%s", tt.err, d)
		}
		if tt.err == nil {
			continue
		}
		if d := cmp.Diff(tt.want, exitCode(fmt.Errorf("while it was tried: %w", tt.err))); d != "" {
			t.Errorf("wrapped %v (-want +got)\n%s", tt.err, d)
		}
	}
}

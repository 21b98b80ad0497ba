package caller

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"bronzewind.example/core/code"
)

func TestConcludeKeepsWhatEarlierTriesMayHaveDone(t *testing.T) {
	tests := []struct {
		name  string
		tries []code.Code
		want  code.Code
	}{
		{"may have run, then not run", []code.Code{code.BackendReset, code.BackendUnreachable}, code.BackendReset},
		{"may have run, then too late", []code.Code{code.DispatcherLost, code.TargetUnreachable}, code.DispatcherLost},
		{"unreachable, then too late", []code.Code{code.BackendUnreachable, code.TargetUnreachable}, code.BackendUnreachable},
		{"too late at once", []code.Code{code.TargetUnreachable}, code.TargetUnreachable},
		{"unreachable, then may have run", []code.Code{code.BackendUnreachable, code.BackendReset}, code.BackendReset},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var p past
			var got code.Code
			for _, c := range tt.tries {
				got = p.conclude(code.NewError(c, "")).Code
			}
			if d := cmp.Diff(tt.want, got); d != "" {
				t.Errorf("(-want +got)\n%s", d)
			}
		})
	}
}

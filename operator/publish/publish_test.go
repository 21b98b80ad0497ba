package publish

import (
	"context"
	"errors"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzewind.example/core/config"
	"bronzewind.example/core/platform"
)

// fakeLog is a log in memory whose next append can be disturbed.
type fakeLog struct {
	entries    [][]byte
	loseAnswer bool   // the append takes effect and fails
	refuse     bool   // the append has no effect and fails
	deaf       bool   // reads fail once something was appended
	before     func() // runs once before the next append
}

var errNoAnswer = errors.New("no answer")

func (l *fakeLog) Append(_ context.Context, data []byte) (uint64, error) {
	if f := l.before; f != nil {
		l.before = nil
		f()
	}
	if l.refuse {
		return 0, errNoAnswer
	}
	l.entries = append(l.entries, data)
	if l.loseAnswer {
		return 0, errNoAnswer
	}
	return uint64(len(l.entries) - 1), nil
}

func (l *fakeLog) Read(_ context.Context, offset uint64, _ time.Duration) (platform.Batch, error) {
	if l.deaf && len(l.entries) > 0 {
		return platform.Batch{}, errNoAnswer
	}
	return platform.Batch{First: offset, Entries: l.entries[offset:]}, nil
}

func document(t *testing.T, version uint64) []byte {
	t.Helper()
	data, err := os.ReadFile("../../examples/magnolia/configuration.yaml")
	if err != nil {
		t.Fatal(err)
	}
	c, err := config.Parse(data)
	if err != nil {
		t.Fatal(err)
	}
	next := c.WithVersion(version)
	out, err := next.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func TestPublish(t *testing.T) {
	ctx := t.Context()
	tests := []struct {
		name    string
		log     func(l *fakeLog)
		version uint64
		want    uint64
		err     string
	}{
		{name: "first version", log: func(*fakeLog) {}, version: 1, want: 1},
		{name: "answer lost after effect", log: func(l *fakeLog) { l.loseAnswer = true }, version: 1, want: 1},
		{name: "append refused", log: func(l *fakeLog) { l.refuse = true }, version: 1, err: "not published: no answer"},
		{
			name: "log falls silent", log: func(l *fakeLog) { l.deaf = true }, version: 1,
			err: "it is not known whether the version is in force (no answer); bronzectl status shows it once the log answers, and publishing again does no harm",
		},
		{
			name: "another operator was first",
			log: func(l *fakeLog) {
				l.before = func() {
					if _, err := Publish(ctx, l, document(t, 1), "sam"); err != nil {
						t.Error(err)
					}
				}
			},
			version: 1,
			err:     "version 1 builds on version 0, but sam has put version 1 in force; compare with it (bronzectl diff), then publish version 2",
		},
		{
			name: "version too high", log: func(*fakeLog) {}, version: 5,
			err: "version 5 builds on version 4, but nobody has put version 0 in force; compare with it (bronzectl diff), then publish version 1",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := &fakeLog{}
			tt.log(l)
			got, err := Publish(ctx, l, document(t, tt.version), "kim")
			text := ""
			if err != nil {
				text = err.Error()
			}
			if d := cmp.Diff(tt.err, text); d != "" {
				t.Errorf("(-want +got)\n%s", d)
			}
			if got != tt.want {
				t.Errorf("got version %d, want %d", got, tt.want)
			}
		})
	}
}

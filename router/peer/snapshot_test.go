package peer

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzewind.example/core/config"
)

// serveSnapshots serves at address until the test ends.
func serveSnapshots(t *testing.T, address string, options ...ServerOption) {
	identity, err := NewIdentity()
	if err != nil {
		t.Fatal(err)
	}
	nobody := func([]byte) bool { return false }
	kind := func(string, string) (*config.Kind, bool) { return nil, false }
	s := NewServer(identity, nil, nobody, kind, slog.New(slog.DiscardHandler), options...)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go s.Serve(ctx, address, done)
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

func askSnapshot(t *testing.T, address string) ([]byte, error) {
	identity, err := NewIdentity()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return Snapshot(ctx, identity, address)
}

func TestSnapshotIsServedToInstancesThatAreNoMembers(t *testing.T) {
	want := bytes.Repeat([]byte("state"), 1<<18)
	serveSnapshots(t, "127.0.0.1:21741", WithSnapshot(func(context.Context) ([]byte, error) { return want, nil }))
	got, err := askSnapshot(t, "127.0.0.1:21741")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(len(want), len(got)); diff != "" || !bytes.Equal(want, got) {
		t.Errorf("bytes (-want +got):\n%s", diff)
	}
}

func TestSnapshotThatIsCutOffOrNotServedIsAnError(t *testing.T) {
	none := WithSnapshot(func(context.Context) ([]byte, error) { return nil, errors.New("none") })
	for name, c := range map[string]struct {
		address string
		options []ServerOption
	}{
		"no state":   {address: "127.0.0.1:21742", options: []ServerOption{none}},
		"not served": {address: "127.0.0.1:21743"},
	} {
		t.Run(name, func(t *testing.T) {
			serveSnapshots(t, c.address, c.options...)
			if data, err := askSnapshot(t, c.address); err == nil {
				t.Errorf("got %d bytes, want an error", len(data))
			}
		})
	}
}

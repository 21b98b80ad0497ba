package quarantine

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzewind.example/core/platform"
	"bronzewind.example/core/record"
	"bronzewind.example/core/state"
)

// memoryLog is a log service in memory.
type memoryLog struct{ entries [][]byte }

// Append implements platform.Log.
func (m *memoryLog) Append(_ context.Context, data []byte) (uint64, error) {
	m.entries = append(m.entries, data)
	return uint64(len(m.entries) - 1), nil
}

// Read implements platform.Log.
func (m *memoryLog) Read(_ context.Context, offset uint64, _ time.Duration) (platform.Batch, error) {
	return platform.Batch{First: offset, Entries: m.entries[offset:]}, nil
}

func (m *memoryLog) add(t *testing.T, id string, b record.Body) {
	t.Helper()
	data, err := record.Encode(record.Record{ID: id, Writer: record.Writer{Instance: "a", Incarnation: 1}, Since: uint64(len(m.entries)), Body: b})
	if err != nil {
		t.Fatal(err)
	}
	m.entries = append(m.entries, data)
}

func TestRelease(t *testing.T) {
	log, until := &memoryLog{}, time.Now().Add(time.Hour).Truncate(time.Millisecond).UTC()
	log.add(t, "1", record.InstanceJoined{FailureDomain: "e1"})
	log.add(t, "2", record.Quarantined{Service: "billing", Fingerprint: 255, UntilMillis: until.UnixMilli()})
	s := state.New()
	for i, data := range log.entries {
		r, err := record.Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		s.Apply(uint64(i), r)
	}
	want := []Row{{Service: "billing", Fingerprint: "00000000000000ff", Until: until}}
	if diff := cmp.Diff(want, List(s, time.Now())); diff != "" {
		t.Errorf("list (-want +got):\n%s", diff)
	}
	var got []bool
	for _, fingerprint := range []string{"zz", "00000000000000fe", "00000000000000ff", "00000000000000ff"} {
		got = append(got, Release(t.Context(), log, "billing", fingerprint, "kim") == nil)
	}
	if diff := cmp.Diff([]bool{false, false, true, false}, got); diff != "" {
		t.Errorf("released (-want +got):\n%s", diff)
	}
}

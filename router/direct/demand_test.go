package direct

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"bronzewind.example/core/ownership"
)

func TestDemandRates(t *testing.T) {
	keys := map[uint32]int{5: 1, 300: 4, 301: 2, 65535: 1}
	got := demandRates(keys, 0.5)
	want := []ownership.HotKey{{Key: 300, Rate: 8}, {Key: 301, Rate: 4}}
	if diff := cmp.Diff(want, got.HotKeys); diff != "" {
		t.Errorf("hot keys (-want +got)\n%s", diff)
	}
	if got.Buckets[0] != 2 || got.Buckets[255] != 2 || got.Buckets[1] != 0 {
		t.Errorf("buckets 0, 1 and 255 are %v, %v and %v, want 2, 0 and 2", got.Buckets[0], got.Buckets[1], got.Buckets[255])
	}
}

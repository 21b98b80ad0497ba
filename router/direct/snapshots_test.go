package direct

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestConnectionsOfAllInstances checks how many connections an instance may
// open to the owner of a hot key, when every instance opens as many as it may.
// Where the even share is at least 1 but below minEvenShare, all instances
// together must not exceed the server's limit, because the server resets the
// connections over it. From minEvenShare on, they may exceed it. With more
// instances than connections each instance still opens one.
func TestConnectionsOfAllInstances(t *testing.T) {
	for _, c := range []struct {
		limit, instances, want int
	}{
		{46, 8, 17},
		{110, 8, 41},
		{130, 89, 1},
		{450, 65, 20},
		{50, 200, 1},
		{10, 1, 10},
	} {
		got := connectionsPerInstance(c.limit, c.instances)
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%d connections, %d instances (-want +got):\n%s", c.limit, c.instances, diff)
		}
		if evenShare := c.limit / c.instances; evenShare >= 1 && evenShare < minEvenShare && got*c.instances > c.limit {
			t.Errorf("%d instances may open %d connections each, but the server accepts only %d", c.instances, got, c.limit)
		}
	}
}

package control

import (
	"testing"
	"time"
)

func TestFleetSettles(t *testing.T) {
	for _, n := range []int{1, 2, 3, 8, 16} {
		f, _ := settled(t, n, 6, nil)
		for name, i := range f.instances {
			if !i.core.holdsLease(f.now) {
				t.Errorf("fleet of %d: %s holds no lease", n, name)
			}
		}
		t.Log(n, f.now.Sub(time.Unix(1000, 0)), len(f.entries), f.sent, f.events)
	}
}

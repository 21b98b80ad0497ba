package peer

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain looks for leaks, but for the worker pool that gnet starts when it is
// loaded.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m, goleak.IgnoreCurrent()) }

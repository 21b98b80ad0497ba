package caller_test

import (
	"testing"

	"go.uber.org/goleak"
)

// The event loop's library starts a pool of its own for the whole process when
// it is linked in; no test starts or could end it.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"))
}

package peer

import (
	"bytes"
	"runtime"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bronzewind.example/router/dispatch"
)

// TestFrameClaim announces a frame that never comes: no memory is taken for it.
func TestFrameClaim(t *testing.T) {
	claim := []byte{0, 15, 255, 255, 1}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range 100 {
		if err := readFrame(bytes.NewReader(claim), &requestHead{}); err == nil {
			t.Fatal("a frame that was cut off was read")
		}
	}
	runtime.ReadMemStats(&after)
	if got := (after.TotalAlloc - before.TotalAlloc) / 100; got > 16<<10 {
		t.Errorf("a claim of 1 MB took %d bytes", got)
	}
}

// FuzzFrame reads frames from any bytes; what is read survives writing.
func FuzzFrame(f *testing.F) {
	var seed bytes.Buffer
	_ = writeFrame(&seed, requestHead{Service: "tins", Method: "GET", Inline: []byte("x")})
	f.Add(seed.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 1, 0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		_ = readFrame(bytes.NewReader(data), &answerHead{})
		_ = readFrame(bytes.NewReader(data), &dispatch.PeerCall{})
		var first, second requestHead
		if readFrame(bytes.NewReader(data), &first) != nil {
			return
		}
		var out bytes.Buffer
		if err := writeFrame(&out, first); err != nil {
			t.Fatal(err)
		}
		if err := readFrame(&out, &second); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(first, second); diff != "" {
			t.Errorf("frame after writing (-want +got):\n%s", diff)
		}
	})
}

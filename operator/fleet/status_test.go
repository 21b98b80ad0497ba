package fleet

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestInvalidStatusAnswer guards against an instance that counts as reachable because of bytes
// that are no valid HTTP response.
func TestInvalidStatusAnswer(t *testing.T) {
	for status, want := range map[string]bool{"200": true, "000": false, "600": false} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			body := `{"instance":"front-1"}`
			fmt.Fprintf(c, "HTTP/1.1 %s X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
		}))
		defer server.Close()
		i := Instance{Name: "front-1", Admin: server.Listener.Addr().String()}
		i.ask(t.Context())
		if diff := cmp.Diff(want, i.Reachable); diff != "" {
			t.Errorf("status %s: reachable (-want +got):\n%s", status, diff)
		}
	}
}

// TestEndlessStatusAnswer guards against an instance, or what listens at its address, that sends
// without end: all of it was kept until the timeout.
func TestEndlessStatusAnswer(t *testing.T) {
	const (
		endlessBytes = 256 << 20
		mostBytes    = 16 << 20 // with what the kernel buffers
	)
	written := make(chan int, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n, _ := w.Write([]byte(`{"instance":"`))
		block := bytes.Repeat([]byte("x"), 64<<10)
		for n < endlessBytes {
			m, err := w.Write(block)
			if n += m; err != nil {
				break
			}
		}
		written <- n
	}))
	defer server.Close()
	i := Instance{Name: "front-1", Admin: server.Listener.Addr().String()}
	i.ask(t.Context())
	if n := <-written; i.Reachable || n > mostBytes {
		t.Errorf("reachable %v after %d bytes, want the connection closed before %d", i.Reachable, n, mostBytes)
	}
}

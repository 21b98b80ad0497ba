package fleet

import (
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
			body := `{"name":"front-1"}`
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

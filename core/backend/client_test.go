package backend

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// newRawServer answers every request with raw, on a connection that it closes then.
func newRawServer(t *testing.T, raw string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		fmt.Fprint(c, raw)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().(*net.TCPAddr).String()
}

// TestInvalidGrantAnswer guards against a grant that counts as accepted because of bytes that
// are no valid HTTP response.
func TestInvalidGrantAnswer(t *testing.T) {
	const body = `{"accepted":true,"incarnation":5}`
	for head, want := range map[string]bool{
		"HTTP/1.1 200 X\r\n":               true,
		"HTTP/1.1 000 X\r\n":               false,
		"HTTP/1.1 101 X\r\n":               false,
		"HTTP/1.1 600 X\r\n":               false,
		"HTTP/1.1 200 X\r\nX Other: o\r\n": false,
	} {
		address := newRawServer(t, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body))
		a, err := NewClient().Grant(t.Context(), address, Grant{}, true)
		if d := cmp.Diff(want, a.Accepted && err == nil); d != "" {
			t.Errorf("%q, error %v: accepted (-want +got)\n%s", head, err, d)
		}
	}
}

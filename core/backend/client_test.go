package backend

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// serveRaw answers every request by respond, on a connection that it closes then.
func serveRaw(t *testing.T, respond func(c net.Conn)) (address string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		respond(c)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
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
		address := serveRaw(t, func(c net.Conn) { fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body) })
		a, err := NewClient().Grant(t.Context(), address, Grant{}, true)
		if d := cmp.Diff(want, a.Accepted && err == nil); d != "" {
			t.Errorf("%q, error %v: accepted (-want +got)\n%s", head, err, d)
		}
	}
}

// TestEndlessGrantAnswer guards against a backend server that sends without end in response to a
// grant: the client kept all of it until the grant's deadline.
func TestEndlessGrantAnswer(t *testing.T) {
	const (
		endlessBytes = 256 << 20
		mostBytes    = 16 << 20 // with what the kernel buffers
	)
	for _, head := range []string{
		"HTTP/1.1 200 X\r\n\r\n{\"reason\":\"",
		"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n40000000\r\n[",
		"HTTP/1.1 200 X\r\nX: ",
		"HTTP/1.1 103 X\r\nX: ",
		"",
	} {
		for _, checks := range []bool{true, false} {
			written := make(chan int, 1)
			address := serveRaw(t, func(c net.Conn) {
				n, _ := c.Write([]byte(head))
				block := bytes.Repeat([]byte("x"), 64<<10)
				for n < endlessBytes {
					m, err := c.Write(block)
					if n += m; err != nil {
						break
					}
				}
				written <- n
			})
			a, err := NewClient().Grant(t.Context(), address, Grant{}, checks)
			if a.Accepted || checks && err == nil {
				t.Errorf("%q: answer %+v and error %v, want none accepted", head, a, err)
			}
			if n := <-written; n > mostBytes {
				t.Errorf("%q: the server could send %d bytes, want the connection closed before %d", head, n, mostBytes)
			}
		}
	}
}

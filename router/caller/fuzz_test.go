package caller_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bronzewind.example/core/code"
	"bronzewind.example/router/caller"
	"bronzewind.example/router/dispatch"
)

// inspector is a dispatcher that checks what the entry passes on.
type inspector struct{ t *testing.T }

// Do implements caller.Local.
func (i inspector) Do(_ context.Context, r *dispatch.Request) (*dispatch.Response, error) {
	for name := range r.Header {
		if strings.HasPrefix(http.CanonicalHeaderKey(name), "Bronzewind-") {
			i.t.Errorf("reserved header %q was passed on", name)
		}
	}
	for _, name := range []string{"Connection", "Transfer-Encoding", "Upgrade", "Expect", "Te"} {
		if _, ok := r.Header[name]; ok {
			i.t.Errorf("header %q is for one connection and was passed on", name)
		}
	}
	if r.Kind.OnceOnly && r.IdempotencyKey == "" {
		i.t.Error("once-only work without a key was passed on")
	}
	if r.Body != nil {
		n, err := io.Copy(io.Discard, r.Body)
		if err == nil && r.Length >= 0 && n != r.Length {
			i.t.Errorf("a body of %d bytes was passed on as one of %d", n, r.Length)
		}
	}
	return nil, code.NewError(code.BackendReset, "never answered")
}

// FuzzDoor gives the entry any bytes as a request.
func FuzzDoor(f *testing.F) {
	for _, seed := range []string{
		"GET /tins/1 HTTP/1.1\r\nHost: x\r\n\r\n",
		"POST /tins/1 HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nContent-Length: 3\r\n\r\nabc",
		"PUT /tins/1 HTTP/1.1\r\nHost: x\r\nConnection: close, bronzewind-epoch\r\nBronzewind-Epoch: 9\r\n\r\n",
		"PUT /tins/1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nBronzewind-Slot: 1\r\n\r\n",
		"PUT /tins/1 HTTP/1.0\r\nContent-Length: 70000\r\nExpect: 100-continue\r\n\r\nabc",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c := testConfiguration(fleetOptions{patient: time.Second})
		s := caller.NewServer(entryWriter, inspector{t: t}, nil, slog.New(slog.DiscardHandler))
		s.SetTable(newTable(t, c, "127.0.0.1:1", "", nil, entryWriter).WithSelf(entryWriter))
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(string(data))))
		if err != nil {
			return
		}
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		if w.Header().Get(code.OutcomeHeader) == "" {
			t.Errorf("answer %d names no outcome", w.Code)
		}
	})
}

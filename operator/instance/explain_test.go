package instance

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bronzewind.example/core/decision"
)

// TestExplain checks the query that an instance gets, and that a refused one ends with the
// instance's reason.
func TestExplain(t *testing.T) {
	var path string
	status, body := http.StatusOK, `{"instance":"front-1","route":"r","parts":[{"service":"s","verdict":"refuse","code":2030}]}`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		path = r.URL.String()
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	defer server.Close()
	got, err := Explain(t.Context(), server.URL+"/", Query{Host: "h", Path: "/a b", Key: "7", Caller: "10.0.0.9", LeftMs: 900})
	want := &decision.Explanation{Instance: "front-1", Route: "r", Parts: []decision.Part{{Service: "s", Verdict: decision.Refuse, Code: 2030}}}
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Errorf("error %v; explanation (-want +got):\n%s", err, diff)
	}
	if diff := cmp.Diff("/explain?body-bytes=0&caller=10.0.0.9&host=h&key=7&left-ms=900&path=%2Fa+b", path); diff != "" {
		t.Errorf("query (-want +got):\n%s", diff)
	}
	status, body = http.StatusBadRequest, "host or path is missing\n"
	if _, err := Explain(t.Context(), server.URL, Query{}); err == nil || !strings.Contains(err.Error(), "host or path is missing") {
		t.Errorf("error %v, want the instance's reason", err)
	}
}

// TestEndlessExplanation guards against an instance, or what listens at its address, that sends
// without end: all of it was kept.
func TestEndlessExplanation(t *testing.T) {
	const (
		endlessBytes = 256 << 20
		mostBytes    = 32 << 20 // with what the kernel buffers
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
	if _, err := Explain(t.Context(), server.URL, Query{}); err == nil {
		t.Error("no error for an explanation without end")
	}
	if n := <-written; n > mostBytes {
		t.Errorf("the instance could send %d bytes, want the connection closed before %d", n, mostBytes)
	}
}

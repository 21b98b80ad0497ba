package platform

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// TestEndlessAnswers has the platform send without end. The client must close the connection
// after a bounded number of bytes.
func TestEndlessAnswers(t *testing.T) {
	const (
		endlessBytes = 256 << 20
		mostBytes    = maxAnswerBytes + 16<<20 // with what the kernel buffers
	)
	written := make(chan int, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n, _ := w.Write([]byte(`["`))
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
	if _, err := NewClient(server.URL).List(t.Context()); err == nil {
		t.Error("no error for a list without end")
	}
	if n := <-written; n > mostBytes {
		t.Errorf("the platform could send %d bytes, want the connection closed before %d", n, mostBytes)
	}
}

// TestTricklingList guards against an instance that no longer follows the list of backend
// servers, because the platform sends an answer without end so slowly that it reaches no limit.
func TestTricklingList(t *testing.T) {
	stop := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for {
			_, _ = w.Write([]byte(" "))
			_ = http.NewResponseController(w).Flush()
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}))
	defer server.Close()
	defer close(stop)
	done := make(chan error, 1)
	go func() {
		_, err := NewClient(server.URL).List(t.Context())
		done <- err
	}()
	select {
	case err := <-done:
		if err == nil {
			t.Error("no error for a list without end")
		}
	case <-time.After(10 * time.Second):
		t.Error("the list is still being read after 10 s")
	}
}

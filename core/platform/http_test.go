package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// TestEndlessAnswers has the platform send without end. The client must close the connection
// after a bounded number of bytes.
func TestEndlessAnswers(t *testing.T) {
	const (
		endlessBytes = 256 << 20
		mostBytes    = maxListBytes + 16<<20 // with what the kernel buffers
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

// TestOddRows guards against one odd row, as another writer may leave in the list, that takes
// the other rows out of use: the whole list could not be decoded.
func TestOddRows(t *testing.T) {
	const deep = 100_000
	nested := strings.Repeat("[", deep) + strings.Repeat("]", deep)
	row := func(address, capacity, rest string) string {
		return fmt.Sprintf(`{"name":"odd","service":"s","address":%q,"capacity":%s%s}`, address, capacity, rest)
	}
	good := func(name string) Listed { return Listed{Name: name, Service: "s", Address: "127.0.0.1:80"} }
	for name, odd := range map[string]string{
		"nested array":         nested,
		"nested objects":       strings.Repeat(`{"name":`, deep) + "1" + strings.Repeat("}", deep),
		"nested in another":    row("127.0.0.1:80", "1", `,"later":`+nested),
		"number past 64 bits":  row("127.0.0.1:80", "92233720368547758070", ""),
		"number of 64 bits":    row("127.0.0.1:80", "9223372036854775807", ""),
		"number below 0":       row("127.0.0.1:80", "-1", ""),
		"number with exponent": row("127.0.0.1:80", "1e400", ""),
		"port out of range":    row("127.0.0.1:65536", "1", ""),
		"port 0":               row("127.0.0.1:0", "1", ""),
		"port below 0":         row("127.0.0.1:-1", "1", ""),
		"no port":              row("127.0.0.1", "1", ""),
		"no name":              `{"service":"s","address":"127.0.0.1:80"}`,
		"other types":          `{"name":5,"service":["s"],"address":{}}`,
		"text":                 `"],[{\\\"\\u005d"`,
		"null":                 "null",
	} {
		list := fmt.Sprintf(` [{"name":"a","service":"s","address":"127.0.0.1:80","extra":"],\"{"} , %s,{"name":"b","service":"s","address":"127.0.0.1:80"}]`+"\n", odd)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, list) }))
		rows, err := NewClient(server.URL).List(t.Context())
		server.Close()
		if diff := cmp.Diff([]Listed{good("a"), good("b")}, rows); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
		var unusable *UnusableRowsError
		if !errors.As(err, &unusable) || unusable.Count != 1 || unusable.First == nil {
			t.Errorf("%s: error %v, want one unusable row", name, err)
		}
	}
}

// TestLists checks which documents are lists.
func TestLists(t *testing.T) {
	for list, want := range map[string]bool{
		"[]": true, " [ ] ": true, `[{"name":"a","service":"s","address":"h:1"}]`: true,
		"": false, "null": false, "{}": false, "[": false, "]": false, "[[]": false, `["]`: false, "[]]": false, `["a",]`: false,
	} {
		if _, err := parseList([]byte(list)); (err == nil) != want {
			t.Errorf("%q: error %v, want a list: %v", list, err, want)
		}
	}
}

// FuzzParseList reads arbitrary bytes as a list. What json.Unmarshal takes for rows that can be
// used is read in the same way.
func FuzzParseList(f *testing.F) {
	f.Add([]byte(`[{"name":"a","service":"s","address":"h:1"},[{"]":"\""}],1e400]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := parseList(data)
		var want []Listed
		if err != nil || json.Unmarshal(data, &want) != nil {
			return
		}
		if diff := cmp.Diff(want, got, cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("%q (-want +got):\n%s", data, diff)
		}
	})
}

package caller_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"

	"bronzewind.example/core/code"
)

// testInvalidAnswers has a backend server give answers that are not valid HTTP, each a format
// string for the value of the sequence header. On the way through one instance and through
// two, the caller must learn by the code that the request may have run, and get no byte of
// them.
func testInvalidAnswers(t *testing.T, c code.Code, answers map[string]string) {
	t.Helper()
	want := outcome{Code: int(c), Outcome: code.Unknown.String(), Status: http.StatusBadGateway, Whole: true}
	for name, raw := range answers {
		for _, local := range []bool{true, false} {
			for _, sc := range []scenario{{method: "GET"}, {method: "POST", key: "k"}, {method: "PUT", body: 300 << 10}} {
				t.Run(fmt.Sprintf("%s/local=%t/%s", name, local, sc.method), func(t *testing.T) {
					t.Parallel()
					f := newFleet(t, fleetOptions{local: local, script: func(conn net.Conn, r *http.Request) {
						_, _ = io.Copy(io.Discard, r.Body)
						fmt.Fprintf(conn, raw, r.Header.Get("Bronzewind-Sequence"))
					}})
					if diff := gocmp.Diff(want, ask(t, f, sc)); diff != "" {
						t.Errorf("outcome (-want +got):\n%s", diff)
					}
				})
			}
		}
	}
}

// TestInvalidStatus guards against answers with a status outside of HTTP's range, and against
// a switch to another protocol that nobody asked for.
func TestInvalidStatus(t *testing.T) {
	answers := map[string]string{
		"101 with a protocol": "HTTP/1.1 101 X\r\nConnection: Upgrade\r\nUpgrade: other\r\nBronzewind-Sequence: %s\r\n\r\nbytes",
		"000 after a hint":    "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 000 X\r\nBronzewind-Sequence: %s\r\nContent-Length: 5\r\n\r\nbytes",
	}
	for _, status := range []string{"000", "042", "099", "101", "600", "999"} {
		answers[status] = "HTTP/1.1 " + status + " X\r\nBronzewind-Sequence: %s\r\nContent-Length: 5\r\n\r\nbytes"
	}
	testInvalidAnswers(t, code.AnswerCrossed, answers)
}

// TestInvalidHeaderName guards against names of fields with a blank, which net/http reads and
// drops, and with a control byte, which it refuses, in heads, interim answers and trailers.
func TestInvalidHeaderName(t *testing.T) {
	const (
		whole   = "HTTP/1.1 200 X\r\nBronzewind-Sequence: %s\r\nContent-Length: 5\r\n\r\nwhole"
		chunked = "HTTP/1.1 200 X\r\nBronzewind-Sequence: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"
	)
	blank, control, trailer := map[string]string{}, map[string]string{}, map[string]string{}
	for _, name := range []string{"X-Other ", "X Other", "Content-Length ", "Transfer-Encoding ", "X\x01", "X\tOther", ""} {
		answers := blank
		if !strings.Contains(name, " ") {
			answers = control
		}
		line := name + ": 2\r\n"
		answers[fmt.Sprintf("head, %q", name)] = strings.Replace(whole, "Content-Length", line+"Content-Length", 1)
		answers[fmt.Sprintf("interim answer, %q", name)] = "HTTP/1.1 103 X\r\nLink: l\r\n" + line + "\r\n" + whole
		trailer[fmt.Sprintf("trailer, %q", name)] = chunked + line + "\r\n"
	}
	testInvalidAnswers(t, code.AnswerCrossed, blank)
	testInvalidAnswers(t, code.BackendReset, control)
	testInvalidAnswers(t, code.AnswerCutOff, trailer)
}

// TestEndlessAnswers has a backend server send without end in each part of an answer. The
// connection must be closed after a bounded number of bytes, or at the deadline for a body whose
// caller takes it, and the instance must not keep the bytes.
func TestEndlessAnswers(t *testing.T) {
	const (
		mostBytes  = 128 << 20 // with what the kernel buffers, for all but a body
		mostMemory = 16 << 20  // of the heap, with the server's and the caller's own
	)
	start := "HTTP/1.1 200 X\r\nBronzewind-Sequence: %s\r\n"
	for _, c := range []struct {
		name, begin, repeat string
		code                code.Code
	}{
		{"no status line", "%.0s", "x", code.BackendReset},
		{"header value", start + "X: ", "x", code.BackendReset},
		{"header lines", start, "A: b\r\n", code.BackendReset},
		{"interim answers", "%.0s", "HTTP/1.1 103 X\r\n\r\n", code.AnswerCrossed},
		{"interim answers with long heads", "%.0s", "HTTP/1.1 103 X\r\nX: " + strings.Repeat("x", 32<<10) + "\r\n\r\n", code.AnswerCrossed},
		{"body without a length", start + "\r\n", "x", code.AnswerCutOff},
		{"chunk header", start + "Transfer-Encoding: chunked\r\n\r\n1;", "x", code.AnswerCutOff},
		{"trailer", start + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n", code.AnswerCutOff},
		{"body", start + "Content-Length: 9000000000000\r\n\r\n", "x", code.OK},
		{"chunks", start + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 1<<12) + "\r\n", code.OK},
	} {
		for _, local := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/local=%t", c.name, local), func(t *testing.T) {
				written, patient := make(chan int64, 1), 20*time.Second
				if c.code == code.OK {
					patient = 2 * time.Second // after which the body is broken off
				}
				f := newFleet(t, fleetOptions{local: local, patient: patient, script: func(conn net.Conn, r *http.Request) {
					fmt.Fprintf(conn, c.begin, r.Header.Get("Bronzewind-Sequence"))
					n, block := int64(0), []byte(strings.Repeat(c.repeat, 1+(64<<10)/len(c.repeat)))
					for {
						m, err := conn.Write(block)
						if n += int64(m); err != nil {
							break
						}
					}
					written <- n
					conn.Close()
				}})
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				got := ask(t, f, scenario{method: "GET"})
				n := <-written
				runtime.GC()
				runtime.ReadMemStats(&after)
				want := outcome{Code: int(c.code), Outcome: code.Unknown.String(), Status: http.StatusBadGateway, Whole: true}
				if c.code == code.OK {
					want = outcome{Outcome: code.Done.String(), Status: http.StatusOK}
				}
				if diff := gocmp.Diff(want, got); diff != "" {
					t.Errorf("outcome (-want +got):\n%s", diff)
				}
				if c.code != code.OK && n > mostBytes {
					t.Errorf("the server could send %d bytes, want the connection closed before %d", n, mostBytes)
				}
				if after.HeapAlloc > before.HeapAlloc+mostMemory {
					t.Errorf("the heap grew from %d to %d bytes, want at most %d more", before.HeapAlloc, after.HeapAlloc, mostMemory)
				}
			})
		}
	}
}

package caller_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

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

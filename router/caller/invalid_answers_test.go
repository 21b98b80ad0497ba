package caller_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	gocmp "github.com/google/go-cmp/cmp"

	"bronzewind.example/core/code"
)

// testInvalidAnswers has a backend server give answers that are not valid HTTP, each a format
// string for the value of the sequence header. On the way through one instance and through
// two, the caller must learn that the request may have run, and get no byte of them.
func testInvalidAnswers(t *testing.T, answers map[string]string) {
	t.Helper()
	want := outcome{Code: int(code.AnswerCrossed), Outcome: code.Unknown.String(), Status: http.StatusBadGateway, Whole: true}
	for name, raw := range answers {
		for _, local := range []bool{true, false} {
			for _, sc := range []scenario{{method: "GET"}, {method: "POST", key: "k"}, {method: "PUT", body: 300 << 10}} {
				t.Run(fmt.Sprintf("%s/local=%t/%s", name, local, sc.method), func(t *testing.T) {
					t.Parallel()
					f := newFleet(t, fleetOptions{local: local, script: func(c net.Conn, r *http.Request) {
						_, _ = io.Copy(io.Discard, r.Body)
						fmt.Fprintf(c, raw, r.Header.Get("Bronzewind-Sequence"))
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
	testInvalidAnswers(t, answers)
}

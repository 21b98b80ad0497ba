package caller_test

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"

	"bronzewind.example/core/code"
)

const (
	outcomesPage = "../../docs/OUTCOMES.md"

	// closedAddress refuses connections; the port of a closed listener could be
	// taken by a test that runs beside this one.
	closedAddress = "127.0.0.1:1"
)

type (
	// outcome is what a caller learns of one request.
	outcome struct {
		Code    int // 0 when the answer names none
		Outcome string
		Status  int // 0 when no answer came
		Whole   bool
	}

	// scenario brings one failure about.
	scenario struct {
		options fleetOptions
		remote  bool // only between two instances
		method  string
		key     string
		body    int // bytes
		short   int // bytes of the body that are withheld
		before  func(f *fleet)
		proto   string
	}
)

func hang(f func(net.Conn, *http.Request)) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		f(c, r)
		_, _ = io.Copy(io.Discard, c)
	}
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

func answer(header, body string) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		respond(c, r, "200 OK", header, body)
		c.Close()
	}
}

func chunked(n int, whole bool) func(net.Conn, *http.Request) {
	end := ""
	if whole {
		end = "0\r\n\r\n"
	}
	return answer("Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n%s", n, strings.Repeat("x", n), end))
}

func scenarios() map[string]scenario {
	const large = 300 << 10
	short := time.Second
	refuse := func(c net.Conn, r *http.Request) {
		// The server would read an unread body as the next request and close the
		// connection, to which the router may be writing by then.
		_, _ = io.Copy(io.Discard, r.Body)
		respond(c, r, "503 Service Unavailable", "Bronzewind-Refused: full\r\nContent-Length: 0\r\n", "")
	}
	crossed := func(c net.Conn, _ *http.Request) {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nBronzewind-Sequence: press-1.9.9\r\nContent-Length: 5\r\n\r\nother")
	}
	invalidStatus := func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 000 X\r\nBronzewind-Sequence: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Bronzewind-Sequence"))
	}
	return map[string]scenario{
		"served":                           {options: fleetOptions{script: answerOK}},
		"connection refused":               {options: fleetOptions{address: closedAddress, patient: short}},
		"reset before the body":            {options: fleetOptions{script: func(c net.Conn, _ *http.Request) { reset(c) }}, method: "PUT", body: large},
		"reset during the body":            {options: fleetOptions{script: func(c net.Conn, r *http.Request) { _, _ = io.CopyN(io.Discard, r.Body, 1<<10); reset(c) }}, method: "PUT", body: large},
		"reset after the body":             {options: fleetOptions{script: func(c net.Conn, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body); reset(c) }}, method: "PUT", body: large},
		"closed without an answer":         {options: fleetOptions{script: func(c net.Conn, _ *http.Request) { c.Close() }}, method: "POST", key: "k"},
		"timeout":                          {options: fleetOptions{script: hang(func(net.Conn, *http.Request) {}), patient: short}},
		"answer late":                      {options: fleetOptions{script: hang(func(c net.Conn, r *http.Request) { fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Le") }), patient: short}},
		"answer crossed":                   {options: fleetOptions{script: crossed}},
		"answer with an invalid status":    {options: fleetOptions{script: invalidStatus}},
		"answer with an invalid name":      {options: fleetOptions{script: answer("Content-Length : 5\r\n", "whole")}},
		"answer cut off, length known":     {options: fleetOptions{script: answer("Content-Length: 9\r\n", "cut")}},
		"answer cut off, chunked":          {options: fleetOptions{script: chunked(9, false)}},
		"answer ends with its connection":  {options: fleetOptions{script: answer("Connection: close\r\n", "cut?")}},
		"large answer cut off":             {options: fleetOptions{script: answer("Content-Length: 900000\r\n", strings.Repeat("x", large))}},
		"large answer cut off, chunked":    {options: fleetOptions{script: chunked(large, false)}},
		"HTTP/1.0 caller, whole":           {options: fleetOptions{script: chunked(large, true)}, proto: "HTTP/1.0"},
		"HTTP/1.0 caller, cut off":         {options: fleetOptions{script: chunked(large, false)}, proto: "HTTP/1.0"},
		"marked refusal, trusted":          {options: fleetOptions{script: refuse, trusted: true, patient: short}, method: "POST", key: "k"},
		"marked refusal, not trusted":      {options: fleetOptions{script: refuse}, method: "POST", key: "k"},
		"upload cut off by the caller":     {options: fleetOptions{script: answerOK, body: 300 * time.Millisecond}, method: "PUT", body: large, short: 100},
		"small body too slow":              {options: fleetOptions{script: answerOK, body: 300 * time.Millisecond}, method: "PUT", body: 1000, short: 100},
		"dispatcher unreachable":           {options: fleetOptions{script: answerOK, noHop: true, patient: short}, remote: true},
		"dispatcher lost with the request": {options: fleetOptions{script: hang(func(net.Conn, *http.Request) {})}, remote: true, method: "POST", key: "k", before: func(f *fleet) { f.backend.onStart(f.loseHop) }},
		"entry draining":                   {options: fleetOptions{script: answerOK}, before: func(f *fleet) { f.entry.Drain() }},
	}
}

// TestOutcomesPage walks the table of docs/OUTCOMES.md: each row is brought
// about on the way through one instance and through two.
func TestOutcomesPage(t *testing.T) {
	all, rows := scenarios(), outcomeRows(t)
	for name, want := range rows {
		sc, ok := all[name]
		if !ok {
			t.Errorf("row %q has no scenario", name)
			continue
		}
		for _, local := range []bool{true, false} {
			if local && sc.remote {
				continue
			}
			t.Run(fmt.Sprintf("%s/local=%t", name, local), func(t *testing.T) {
				t.Parallel()
				sc := sc
				sc.options.local = local
				f := newFleet(t, sc.options)
				if sc.before != nil {
					sc.before(f)
				}
				got := ask(t, f, sc)
				f.backend.close()
				if diff := gocmp.Diff(want, got); diff != "" {
					t.Errorf("outcome (-want +got):\n%s", diff)
				}
			})
		}
	}
	for name := range all {
		if _, ok := rows[name]; !ok {
			t.Errorf("scenario %q is not on the page", name)
		}
	}
}

// ask sends the request of sc over a raw connection.
func ask(t *testing.T, f *fleet, sc scenario) outcome {
	t.Helper()
	c, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	r := newRequest(t, cmp.Or(sc.method, "GET"), f.url+"/tins/k1", bytes.NewReader(make([]byte, sc.body)), sc.key)
	head := fmt.Sprintf("%s /tins/k1 %s\r\nHost: x\r\nContent-Length: %d\r\n", cmp.Or(sc.method, "GET"), cmp.Or(sc.proto, "HTTP/1.1"), sc.body)
	if sc.key != "" {
		head += "Idempotency-Key: " + sc.key + "\r\n"
	}
	go func() { _, _ = c.Write(append([]byte(head+"\r\n"), make([]byte, sc.body-sc.short)...)) }()
	return readOutcome(c, r)
}

func readOutcome(c net.Conn, r *http.Request) outcome {
	resp, err := http.ReadResponse(bufio.NewReader(c), r)
	if err != nil {
		return outcome{}
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	got := outcome{Outcome: resp.Header.Get(code.OutcomeHeader), Status: resp.StatusCode}
	got.Code, _ = strconv.Atoi(resp.Header.Get(code.Header))
	// Without a length or chunks the end of a body proves nothing.
	got.Whole = err == nil && (resp.ContentLength == n || len(resp.TransferEncoding) > 0)
	return got
}

// outcomeRows reads the table of the page.
func outcomeRows(t *testing.T) map[string]outcome {
	t.Helper()
	page, err := os.ReadFile(outcomesPage)
	if err != nil {
		t.Fatal(err)
	}
	rows := map[string]outcome{}
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(strings.TrimSpace(line), "|")
		if len(cells) != 8 || strings.Contains(line, "---") || strings.TrimSpace(cells[1]) == "failure" {
			continue
		}
		for i := range cells {
			cells[i] = strings.Trim(strings.TrimSpace(cells[i]), "`")
		}
		want := outcome{Outcome: strings.TrimPrefix(cells[2], "-"), Whole: cells[5] == "whole"}
		want.Code, _ = strconv.Atoi(cells[3])
		want.Status, _ = strconv.Atoi(cells[4])
		rows[cells[1]] = want
	}
	return rows
}

package httpresponse

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestStatus checks which statuses a response may have, and after which of them another
// response follows.
func TestStatus(t *testing.T) {
	type result struct{ Valid, Interim bool }
	want := map[int]result{
		0: {}, 20: {}, 99: {}, 100: {true, true}, 101: {}, 103: {true, true}, 199: {true, true},
		200: {true, false}, 204: {true, false}, 503: {true, false}, 599: {true, false}, 600: {}, 999: {},
	}
	got := map[int]result{}
	for status := range want {
		err := Check(&http.Response{StatusCode: status})
		if err != nil && !errors.Is(err, ErrInvalid) {
			t.Errorf("status %03d: error %v, want one that wraps ErrInvalid", status, err)
		}
		got[status] = result{err == nil, Interim(status)}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// TestNames checks which names of fields a head and a trailer may have.
func TestNames(t *testing.T) {
	type result struct{ Head, Trailer bool }
	want, got := map[string]result{}, map[string]result{}
	for name, valid := range map[string]bool{
		"X-Other": true, "x!#$%&'*+-.^_`|~09": true, "X Other": false, "X-Other ": false, " X": false, "X\t": false,
		"X\x00Y": false, "X\x7f": false, "X(y)": false, "": false, "Größe": false,
	} {
		want[name] = result{valid, valid}
		head := CheckFinal(http.StatusOK, http.Header{name: nil})
		body := io.NopCloser(strings.NewReader("body"))
		resp := &http.Response{StatusCode: http.StatusOK, TransferEncoding: []string{"chunked"}, Body: body}
		if err := Check(resp); err != nil {
			t.Fatal(err)
		}
		resp.Trailer = http.Header{name: nil}
		_, trailer := io.ReadAll(resp.Body)
		got[name] = result{head == nil, trailer == nil}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// FuzzCheck reads arbitrary bytes as a response. One that is accepted has a status in HTTP's
// range and no name that a caller could read in another way.
func FuzzCheck(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok")
	f.Add("HTTP/1.1 000 OK\r\nX: y\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX y: z\r\n\r\n")
	f.Fuzz(func(t *testing.T, raw string) {
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(raw)), nil)
		if err != nil || Check(resp) != nil {
			return
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return
		}
		if resp.StatusCode < 100 || resp.StatusCode > 599 || resp.StatusCode == 101 {
			t.Errorf("status %d accepted", resp.StatusCode)
		}
		for _, fields := range []http.Header{resp.Header, resp.Trailer} {
			for name := range fields {
				if strings.ContainsAny(name, " \t\r\n\x00:") || name == "" {
					t.Errorf("name %q accepted", name)
				}
			}
		}
	})
}

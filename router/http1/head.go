package http1

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"bronzewind.example/core/code"
)

// refusal is a response to a request that no handler can serve. It closes the connection.
type refusal struct {
	status int
	code   code.Code
	reason string
}

// Error implements error.
func (r *refusal) Error() string { return r.reason }

// ServeHTTP implements http.Handler.
func (r *refusal) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Connection", "close")
	w.Header().Set(code.Header, fmt.Sprint(int(r.code)))
	w.WriteHeader(r.status)
}

func malformed(format string, args ...any) *refusal {
	return &refusal{http.StatusBadRequest, code.MalformedRequest, fmt.Sprintf(format, args...)}
}

// readRequest reads the head of the next request, whose body can then be read. The error is
// a *refusal, or that of the connection.
func (c *conn) readRequest() (*http.Request, error) {
	head, err := c.readHead()
	if err != nil {
		return nil, err
	}
	// The head goes back in front of what was read behind it, for http.ReadRequest, and of
	// bytes that were put back for an earlier request and did not fit into the buffer.
	rest, _ := c.in.Peek(c.in.Buffered()) // can't fail: the bytes are there
	c.source.unread = append(append(head, rest...), c.source.unread...)
	c.in.Reset(&c.source)
	hr, err := http.ReadRequest(c.in)
	if err != nil {
		return nil, malformed("%v", err)
	}
	if err := checkRequest(hr, head); err != nil {
		return nil, err
	}
	return hr, nil
}

// readHead reads up to the empty line that ends a head, and returns it in a new slice.
func (c *conn) readHead() ([]byte, error) {
	head := make([]byte, 0, c.in.Buffered()) // also room for what follows the head
	for {
		limit := c.server.maxHeadBytes() // may be raised while the head arrives
		line, err := c.in.ReadSlice('\n')
		head = append(head, line...)
		switch {
		case len(head) > limit:
			return nil, &refusal{http.StatusRequestHeaderFieldsTooLarge, code.HeaderTooLarge, fmt.Sprintf("the head exceeds %d bytes", limit)}
		case err == nil && len(bytes.TrimRight(line, "\r\n")) == 0:
			return head, nil
		case errors.Is(err, os.ErrDeadlineExceeded) && c.extendRead(c.headSince, c.server.callerLimits().HeadTimeout):
		case errors.Is(err, io.EOF) && len(head) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil && !isBufferFull(err):
			return nil, err
		}
	}
}

// checkRequest checks what http.ReadRequest leaves to net/http's server. Two recipients
// could take an ambiguous head for different requests.
func checkRequest(hr *http.Request, head []byte) error {
	if hr.ProtoMajor != 1 {
		return &refusal{http.StatusHTTPVersionNotSupported, code.MalformedRequest, fmt.Sprintf("the version is %s, want HTTP/1.0 or HTTP/1.1", hr.Proto)}
	}
	if hasHeader(head, "Transfer-Encoding") && (!hr.ProtoAtLeast(1, 1) || hasHeader(head, "Content-Length")) {
		return malformed("the head has a Transfer-Encoding in HTTP/1.0, or beside a Content-Length")
	}
	hosts := 0
	for line := range bytes.Lines(head) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if !bytes.EqualFold(name, []byte("Host")) {
			continue
		}
		hosts++
		if !validHost(string(bytes.Trim(value, " \t\r\n"))) {
			return malformed("the Host header is malformed")
		}
	}
	if hosts > 1 || hosts == 0 && hr.ProtoAtLeast(1, 1) {
		return malformed("the head has %d Host headers, want 1", hosts)
	}
	for name, values := range hr.Header {
		if !validToken(name) {
			return malformed("the header name %q is malformed", name)
		}
		for _, v := range values {
			if strings.ContainsFunc(v, isControl) {
				return malformed("the header %s has a control character", name)
			}
		}
	}
	if expect := hr.Header.Get("Expect"); expect != "" && !strings.EqualFold(expect, expectContinue) {
		return &refusal{http.StatusExpectationFailed, code.MalformedRequest, fmt.Sprintf("the expectation %q is not known", expect)}
	}
	return nil
}

func hasHeader(head []byte, name string) bool {
	for line := range bytes.Lines(head) {
		if field, _, found := bytes.Cut(line, []byte(":")); found && strings.EqualFold(string(bytes.TrimSpace(field)), name) {
			return true
		}
	}
	return false
}

func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// validToken reports whether s is a token (RFC 9110, 5.6.2).
func validToken(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool {
		return r <= ' ' || r >= 0x7f || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, r)
	})
}

// validHost reports whether s has only characters of a host and port.
func validHost(s string) bool {
	return !strings.ContainsFunc(s, func(r rune) bool {
		return r <= ' ' || r >= 0x7f || strings.ContainsRune(`"#/<>?@\^{}|`+"`", r)
	})
}

// Package httpresponse checks HTTP responses. net/http reads some heads that are not valid in
// HTTP/1.1, and whoever passes such a response on, or acts on it, takes bytes for a response
// that its sender may never have meant.
package httpresponse

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

const (
	minStatus      = 100
	minFinalStatus = 200
	maxStatus      = 599

	// tokenSymbols are the characters of a field name besides letters and digits (RFC 9110,
	// section 5.6.2).
	tokenSymbols = "!#$%&'*+-.^_`|~"
)

// ErrInvalid is wrapped by all errors of this package.
var ErrInvalid = errors.New("not a valid response")

// trailerChecker is a chunked body that fails at its end if its trailer is not valid.
type trailerChecker struct {
	io.ReadCloser
	response *http.Response // whose trailer is set when the body has been read to its end
}

// Check returns an error if resp, as net/http has read it, is not a valid response. It
// accepts interim responses too. The body of resp fails at its end if an invalid trailer
// follows.
func Check(resp *http.Response) error {
	if len(resp.TransferEncoding) > 0 && resp.Body != http.NoBody {
		resp.Body = &trailerChecker{resp.Body, resp}
	}
	if Interim(resp.StatusCode) {
		return CheckNames(resp.Header)
	}
	return CheckFinal(resp.StatusCode, resp.Header)
}

// CheckFinal returns an error unless status and header are those of a final response. A
// switch to another protocol (101) is not valid, since no instance asks for one.
func CheckFinal(status int, header http.Header) error {
	if status < minFinalStatus || status > maxStatus {
		return fmt.Errorf("%w: its status is %03d, want %d to %d", ErrInvalid, status, minFinalStatus, maxStatus)
	}
	return CheckNames(header)
}

// CheckNames returns an error if the name of a field is not a token. net/http keeps a field
// with a blank in its name under that name: "Content-Length : 5" does not give the body its
// length.
func CheckNames(header http.Header) error {
	for name := range header {
		if name == "" || strings.ContainsFunc(name, notInToken) {
			return fmt.Errorf("%w: a field has the name %q, want letters, digits and %s alone", ErrInvalid, name, tokenSymbols)
		}
	}
	return nil
}

// Interim reports whether status is informational, so that a final response follows.
func Interim(status int) bool {
	return status >= minStatus && status < minFinalStatus && status != http.StatusSwitchingProtocols
}

// SelfDelimited reports whether resp itself shows where its body ends: its length is known, or
// it is chunked. Otherwise the end of the connection ends the body, which a reader can't always
// distinguish from a broken connection.
func SelfDelimited(resp *http.Response) bool {
	return resp.Body == http.NoBody || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// Read implements io.Reader.
func (c *trailerChecker) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if invalid := CheckNames(c.response.Trailer); invalid != nil {
			return n, invalid
		}
	}
	return n, err
}

func notInToken(r rune) bool {
	letterOrDigit := 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9'
	return !letterOrDigit && !strings.ContainsRune(tokenSymbols, r)
}

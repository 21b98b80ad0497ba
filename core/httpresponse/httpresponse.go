// Package httpresponse checks HTTP responses. net/http reads some heads that are not valid in
// HTTP/1.1, and whoever passes such a response on, or acts on it, takes bytes for a response
// that its sender may never have meant.
package httpresponse

import (
	"errors"
	"fmt"
	"net/http"
)

const (
	minStatus      = 100
	minFinalStatus = 200
	maxStatus      = 599
)

// ErrInvalid is wrapped by all errors of this package.
var ErrInvalid = errors.New("not a valid response")

// Check returns an error if resp, as net/http has read it, is not a valid response. It
// accepts interim responses too.
func Check(resp *http.Response) error {
	if Interim(resp.StatusCode) {
		return nil
	}
	return CheckFinal(resp.StatusCode)
}

// CheckFinal returns an error unless status is that of a final response. A switch to another
// protocol (101) is not valid, since no instance asks for one.
func CheckFinal(status int) error {
	if status < minFinalStatus || status > maxStatus {
		return fmt.Errorf("%w: its status is %03d, want %d to %d", ErrInvalid, status, minFinalStatus, maxStatus)
	}
	return nil
}

// Interim reports whether status is informational, so that a final response follows.
func Interim(status int) bool {
	return status >= minStatus && status < minFinalStatus && status != http.StatusSwitchingProtocols
}

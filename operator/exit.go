package main

import (
	"errors"
	"io/fs"

	"github.com/joomcode/errorx"

	"bronzewind.example/core/document"
	"bronzewind.example/core/platform"
	"bronzewind.example/operator/publish"
)

// The exit codes; docs/CODES.md lists them with their mends.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitInvalid     = 3
	exitLostRace    = 4
	exitUnreachable = 5
	exitUnknownFate = 6
	exitNoFile      = 7
	exitDegraded    = 8
)

var (
	failures = errorx.NewNamespace("bronzectl").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

	// usage is the type of errors of the command line.
	usage = failures.NewType("usage")
	// degraded is the type of errors of a fleet that is not as it should be.
	degraded = failures.NewType("degraded")
)

// exitCode returns the exit code for err.
func exitCode(err error) int {
	var problems *document.Problems
	var race *publish.LostRaceError
	var fate *publish.UnknownFateError
	switch {
	case err == nil:
		return exitOK
	case isOfType(err, usage):
		return exitUsage
	case errors.As(err, &problems):
		return exitInvalid
	case errors.As(err, &race):
		return exitLostRace
	case errors.As(err, &fate):
		return exitUnknownFate
	case isOfType(err, platform.Unreachable):
		return exitUnreachable
	case errors.Is(err, fs.ErrNotExist):
		return exitNoFile
	case isOfType(err, degraded):
		return exitDegraded
	default:
		return exitFailed
	}
}

// isOfType reports whether err is of type t, or wraps one that is; errorx itself
// does not look through errors that other packages wrapped.
func isOfType(err error, t *errorx.Type) bool {
	var e *errorx.Error
	return errors.As(err, &e) && e.IsOfType(t)
}

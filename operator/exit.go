package main

import (
	"errors"
	"io/fs"

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
	// errUsage means that the command line is not complete.
	errUsage = errors.New("name a command; bronzectl --help shows them")
	// errDegraded means that an instance is not ready or behind.
	errDegraded = errors.New("not every instance is ready with the newest version")
)

// exitCode returns the exit code for err.
func exitCode(err error) int {
	var problems *document.Problems
	var race *publish.LostRaceError
	var fate *publish.UnknownFateError
	var unreachable *platform.UnreachableError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errUsage):
		return exitUsage
	case errors.As(err, &problems):
		return exitInvalid
	case errors.As(err, &race):
		return exitLostRace
	case errors.As(err, &fate):
		return exitUnknownFate
	case errors.As(err, &unreachable):
		return exitUnreachable
	case errors.Is(err, fs.ErrNotExist):
		return exitNoFile
	case errors.Is(err, errDegraded):
		return exitDegraded
	default:
		return exitFailed
	}
}

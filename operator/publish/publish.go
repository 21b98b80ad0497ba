// Package publish puts a configuration in force through the log.
package publish

import (
	"context"
	"fmt"
	"time"

	"bronzewind.example/core/config"
	"bronzewind.example/core/platform"
	"bronzewind.example/core/record"
	"bronzewind.example/core/state"
	"bronzewind.example/operator/fleet"
)

const readWait = 200 * time.Millisecond

// LostRaceError means that another version came first.
type LostRaceError struct {
	Base   uint64 // the version that the document builds on
	Now    uint64 // the version in force
	Author string // who published it
}

// Error says who won and how to go on.
func (e *LostRaceError) Error() string {
	who := e.Author
	if who == "" {
		who = "nobody"
	}
	return fmt.Sprintf("version %d builds on version %d, but %s has put version %d in force; compare with it (bronzectl diff), then publish version %d",
		e.Base+1, e.Base, who, e.Now, e.Now+1)
}

// UnknownFateError means that the record may or may not be in the log.
type UnknownFateError struct{ Err error }

// Error says how to find out.
func (e *UnknownFateError) Error() string {
	return fmt.Sprintf("it is not known whether the version is in force (%v); bronzectl status shows it once the log answers, and publishing again does no harm", e.Err)
}

// Unwrap returns the cause.
func (e *UnknownFateError) Unwrap() error { return e.Err }

// Publish appends document and reads the log back until its fate is known. It
// returns the version in force.
func Publish(ctx context.Context, log platform.Log, document []byte, author string) (uint64, error) {
	c, err := config.Parse(document)
	if err != nil {
		return 0, err
	}
	s, err := fleet.Read(ctx, log)
	if err != nil {
		return 0, err
	}
	if s.Version() != c.Version-1 {
		return 0, &LostRaceError{Base: c.Version - 1, Now: s.Version(), Author: s.Author}
	}
	w := record.Writer{Instance: "operator/" + author, Incarnation: uint64(time.Now().UnixNano())}
	r := record.Record{
		ID: fmt.Sprintf("%s/publish", w), Writer: w, Since: s.Next,
		Body: record.ConfigurationPublished{Base: c.Version - 1, Document: document, Author: author},
	}
	data, err := record.Encode(r)
	if err != nil {
		return 0, err
	}
	_, appendErr := log.Append(ctx, data)
	return confirm(ctx, log, s, r, appendErr)
}

// confirm folds the log until r or a rival has taken the version.
func confirm(ctx context.Context, log platform.Log, s *state.State, r record.Record, appendErr error) (uint64, error) {
	base := s.Version()
	for {
		b, err := log.Read(ctx, s.Next, readWait)
		if err != nil {
			return 0, &UnknownFateError{Err: err}
		}
		for i, data := range b.Entries {
			id, verdict := fleet.Fold(s, b.First+uint64(i), data)
			switch {
			case id == r.ID && verdict == state.Accepted:
				return s.Version(), nil
			case id == r.ID && verdict == state.Invalid:
				return 0, fmt.Errorf("not published: %s", s.Reason())
			}
		}
		if s.Version() != base {
			return 0, &LostRaceError{Base: base, Now: s.Version(), Author: s.Author}
		}
		if len(b.Entries) == 0 && appendErr != nil {
			return 0, fmt.Errorf("not published: %w", appendErr)
		}
	}
}

// Package fleet asks the log and the running instances for the state of the
// fleet.
package fleet

import (
	"context"
	"errors"
	"fmt"

	"bronzewind.example/core/platform"
	"bronzewind.example/core/record"
	"bronzewind.example/core/state"
)

// errNoCheckpoint means that the log's oldest records have lapsed.
var errNoCheckpoint = errors.New("the log's oldest records have lapsed and it holds no whole checkpoint yet; try again, the fleet writes one within seconds")

// Read folds the log up to its present end. When the log's oldest records have
// lapsed, it starts from the last whole checkpoint.
func Read(ctx context.Context, log platform.Log) (*state.State, error) {
	f := state.NewFollower()
	for {
		next := f.Next()
		b, err := log.Read(ctx, next, 0)
		var truncated *platform.TruncatedError
		switch {
		case errors.As(err, &truncated) && truncated.Oldest > next:
			f.Truncated(truncated.Oldest)
			continue
		case err != nil:
			return nil, fmt.Errorf("the log can't be read: %w", err)
		}
		end := b.First + uint64(len(b.Entries))
		if len(b.Entries) > 0 {
			end++ // there may be more to read
		}
		f.Read(b.First, end, b.Entries)
		switch {
		case len(b.Entries) > 0 || f.Next() != next:
		case !f.Whole():
			return nil, errNoCheckpoint
		default:
			return f.State, nil
		}
	}
}

// Fold applies one entry of the log; an entry that can't be read is passed
// over. It returns the record's ID and what became of it.
func Fold(s *state.State, offset uint64, data []byte) (string, state.Verdict) {
	r, err := record.Decode(data)
	if err != nil {
		s.Skip(offset)
		return "", state.Invalid
	}
	return r.ID, s.Apply(offset, r)
}

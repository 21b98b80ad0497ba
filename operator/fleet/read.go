// Package fleet asks the log and the running instances for the state of the
// fleet.
package fleet

import (
	"context"
	"fmt"

	"bronzewind.example/core/platform"
	"bronzewind.example/core/record"
	"bronzewind.example/core/state"
)

// Read folds the log up to its present end.
func Read(ctx context.Context, log platform.Log) (*state.State, error) {
	s := state.New()
	for {
		b, err := log.Read(ctx, s.Next, 0)
		if err != nil {
			return nil, fmt.Errorf("the log can't be read: %w", err)
		}
		if len(b.Entries) == 0 {
			return s, nil
		}
		for i, data := range b.Entries {
			Fold(s, b.First+uint64(i), data)
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

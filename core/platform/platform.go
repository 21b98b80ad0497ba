// Package platform speaks to the services that the platform gives: the
// append-only log and the list of backend servers. Swapping the adapter
// touches this package alone.
package platform

import (
	"context"
	"fmt"
	"time"

	"github.com/joomcode/errorx"
)

type (
	// Log is the platform's append-only log service.
	Log interface {
		// Append adds data and returns its offset. After an error the data may
		// or may not have been added.
		Append(ctx context.Context, data []byte) (offset uint64, err error)
		// Read returns the records from offset on, waiting up to wait for the
		// first. It returns a *TruncatedError when offset is no longer kept.
		Read(ctx context.Context, offset uint64, wait time.Duration) (Batch, error)
	}

	// Batch is a run of records; Entries[i] has offset First+i.
	Batch struct {
		Oldest  uint64 // offset of the oldest record still kept
		End     uint64 // offset after the newest record at the time of the answer
		First   uint64
		Entries [][]byte
	}

	// Listing is the platform's list of backend servers; it lags.
	Listing interface {
		// List returns an *UnusableRowsError beside the rows that can be used if
		// there are others.
		List(ctx context.Context) ([]Listed, error)
	}

	// Listed is one row of the list.
	Listed struct {
		Name          string `json:"name"`
		Service       string `json:"service"`
		Address       string `json:"address"`
		Region        string `json:"region"`
		FailureDomain string `json:"failure-domain"`
		Leaving       bool   `json:"leaving"`
		Capacity      int    `json:"capacity,omitempty"` // requests run at once; 0 means as configured
	}
)

var (
	failures = errorx.NewNamespace("platform").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

	// Unreachable is the type of errors of a platform that did not answer; a
	// change may have taken effect all the same.
	Unreachable = failures.NewType("unreachable", errorx.Temporary())
)

// TruncatedError means that the log no longer keeps the offset asked for.
type TruncatedError struct {
	Oldest uint64 // offset of the oldest record still kept
}

// Error names the oldest record.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("the log no longer keeps this offset; its oldest record is %d", e.Oldest)
}

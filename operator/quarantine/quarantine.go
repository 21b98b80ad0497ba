// Package quarantine shows and releases requests that crashed backend servers.
package quarantine

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"bronzewind.example/core/platform"
	"bronzewind.example/core/record"
	"bronzewind.example/core/state"
	"bronzewind.example/operator/fleet"
)

const (
	readWait        = 200 * time.Millisecond
	fingerprintBase = 16
)

// Row is one request in quarantine.
type Row struct {
	Service     string    `json:"service"`
	Fingerprint string    `json:"fingerprint"` // 16 hexadecimal digits
	Until       time.Time `json:"until"`
}

// List returns the requests of s that are in quarantine at now.
func List(s *state.State, now time.Time) []Row {
	rows := []Row{}
	for _, q := range s.Quarantine {
		if until := time.UnixMilli(q.UntilMillis); until.After(now) {
			rows = append(rows, Row{Service: q.Service, Fingerprint: fmt.Sprintf("%016x", q.Fingerprint), Until: until.UTC()})
		}
	}
	return rows
}

// Release lets a request run again, and returns once the log says so.
func Release(ctx context.Context, log platform.Log, service, fingerprint, author string) error {
	n, err := strconv.ParseUint(fingerprint, fingerprintBase, 64)
	if err != nil {
		return fmt.Errorf("fingerprint %q: not a hexadecimal number", fingerprint)
	}
	s, err := fleet.Read(ctx, log)
	if err != nil {
		return err
	}
	w := record.Writer{Instance: "operator/" + author, Incarnation: uint64(time.Now().UnixNano())}
	r := record.Record{
		ID: fmt.Sprintf("%s/release", w), Writer: w, Since: s.Next,
		Body: record.QuarantineReleased{Service: service, Fingerprint: n},
	}
	data, err := record.Encode(r)
	if err != nil {
		return err
	}
	_, appendErr := log.Append(ctx, data)
	return confirm(ctx, log, s, r.ID, appendErr)
}

// confirm folds the log until the record with id was read back.
func confirm(ctx context.Context, log platform.Log, s *state.State, id string, appendErr error) error {
	for {
		b, err := log.Read(ctx, s.Next, readWait)
		if err != nil {
			return fmt.Errorf("it is not known whether the request is released: %w", err)
		}
		for i, data := range b.Entries {
			got, verdict := fleet.Fold(s, b.First+uint64(i), data)
			switch {
			case got == id && verdict == state.Accepted:
				return nil
			case got == id:
				return fmt.Errorf("not released: no such request is in quarantine")
			}
		}
		if len(b.Entries) == 0 && appendErr != nil {
			return fmt.Errorf("not released: %w", appendErr)
		}
	}
}

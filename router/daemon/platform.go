package daemon

import (
	"context"
	"errors"
	"time"

	"bronzewind.example/core/control"
	"bronzewind.example/core/platform"
	"bronzewind.example/core/record"
)

const (
	readWait      = 500 * time.Millisecond
	readTimeout   = 2 * time.Second
	appendTimeout = time.Second
	grantTimeout  = 200 * time.Millisecond
	retryPause    = 100 * time.Millisecond
	loadInterval  = 2 * time.Second

	// unnamedRun stands for the run of a backend server that checks no grants
	// and names no run of its own.
	unnamedRun = 1

	appendBurst = 16 // of one instance
)

// followLog reads the log from its oldest record on, or from where control
// asks.
func (d *Daemon) followLog(ctx context.Context) error {
	var next uint64
	for ctx.Err() == nil {
		select {
		case next = <-d.readFrom:
		default:
		}
		b, err := d.readLog(ctx, next)
		var truncated *platform.TruncatedError
		switch {
		case errors.As(err, &truncated):
			d.post(ctx, control.LogTruncated{Oldest: truncated.Oldest})
			next = truncated.Oldest
			pause(ctx, retryPause)
			continue
		case err != nil:
			d.log.Debug("log not read", "error", err)
			pause(ctx, retryPause)
			continue
		}
		next = b.First + uint64(len(b.Entries))
		e := control.RecordsRead{First: b.First, Entries: b.Entries, CaughtUp: next >= b.End, Oldest: b.Oldest}
		if !d.post(ctx, e) {
			return nil
		}
	}
	return nil
}

// readLogFrom has the log read from an offset on; the last call counts.
func (d *Daemon) readLogFrom(offset uint64) {
	select {
	case <-d.readFrom:
	default:
	}
	d.readFrom <- offset
}

func (d *Daemon) readLog(ctx context.Context, next uint64) (platform.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return d.platform.Read(ctx, next, readWait)
}

// writeLog appends records one after the other, and no faster than the
// instance's share of what the log takes. What fails is proposed again by
// control once it was not read back.
func (d *Daemon) writeLog(ctx context.Context) error {
	tokens := newBucket(appendBurst, d.clock.Now())
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-d.appends:
			pause(ctx, tokens.take(d.appendInterval(), d.clock.Now()))
			if err := d.append(ctx, r); err != nil {
				d.log.Warn("append failed", "record", r.ID, "error", err)
			}
		}
	}
}

// appendInterval returns the time between two appends at the instance's share.
func (d *Daemon) appendInterval() time.Duration {
	members := 1
	if st := d.status.Load(); st != nil {
		members = max(members, len(st.Members))
	}
	return time.Duration(members) * time.Second / control.MaxFleetAppendsPerSecond
}

// bucket lets a burst through and then one at each interval. It is not safe
// for concurrent use.
type bucket struct {
	burst int
	tat   time.Time // time at which the bucket is full again
}

func newBucket(burst int, now time.Time) *bucket { return &bucket{burst: burst, tat: now} }

// take returns the wait before the next may go.
func (b *bucket) take(interval time.Duration, now time.Time) time.Duration {
	if b.tat.Before(now) {
		b.tat = now
	}
	b.tat = b.tat.Add(interval)
	return max(0, b.tat.Sub(now)-time.Duration(b.burst)*interval)
}

// followLoad brings the measured loads to control.
func (d *Daemon) followLoad(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, loadInterval)
		for _, e := range d.dispatch.Loads() {
			if !d.post(ctx, e) {
				return nil
			}
		}
	}
	return nil
}

func (d *Daemon) append(ctx context.Context, r record.Record) error {
	data, err := record.Encode(r)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = d.platform.Append(ctx, data)
	return err
}

// followList reads the list of backend servers. Rows that can't be used are left out, and
// logged when they change.
func (d *Daemon) followList(ctx context.Context) error {
	logged := ""
	for ctx.Err() == nil {
		rows, err := d.platform.List(ctx)
		reason := ""
		var unusable *platform.UnusableRowsError
		if errors.As(err, &unusable) {
			reason, err = unusable.Error(), nil
		}
		if reason != "" && reason != logged {
			d.log.Warn("list of backend servers", "reason", reason)
		}
		logged = reason
		if err == nil && !d.post(ctx, control.ServersListed{Rows: rows}) {
			return nil
		}
		pause(ctx, listInterval)
	}
	return nil
}

// sendGrant sends one grant and brings the answer to control.
func (d *Daemon) sendGrant(ctx context.Context, g control.SendGrant) {
	e := control.GrantCompleted{
		Service: g.Grant.Service, Server: g.Grant.Server, Epoch: g.Grant.Epoch,
		Sent: d.clock.Now(), Grant: g.Grant,
	}
	limited, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	answer, err := d.grants.Grant(limited, g.Address, g.Grant, g.ChecksGrants)
	if !g.ChecksGrants && err == nil && answer.Incarnation == 0 {
		answer.Incarnation = unnamedRun
	}
	e.Response = answer
	if err != nil {
		e.Err = err.Error()
	}
	d.post(ctx, e)
}

// post hands an event to control; it returns false when ctx ended first.
func (d *Daemon) post(ctx context.Context, e control.Event) bool {
	select {
	case <-ctx.Done():
		return false
	case d.events <- e:
		return true
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

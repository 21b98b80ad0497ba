package daemon

import (
	"context"
	"errors"
	"time"

	"bronzewind.example/core/control"
	"bronzewind.example/core/state"
	"bronzewind.example/router/peer"
)

const (
	peerWait    = 3 * time.Second // without a state before peers are asked
	peerTimeout = 2 * time.Second
)

// errNotReady means that the instance has no state to give.
var errNotReady = errors.New("the instance has no state yet")

// encodedState is the state as bytes, or why there is none.
type encodedState struct {
	data   []byte
	offset uint64
	err    error
}

// encode returns the state as bytes; the control goroutine calls it.
func (d *Daemon) encode() encodedState {
	s := d.core.State()
	if s.Configuration == nil {
		return encodedState{err: errNotReady}
	}
	if d.last.data == nil || d.last.offset != s.Next {
		data, err := state.Encode(s)
		d.last = encodedState{data: data, offset: s.Next, err: err}
	}
	return d.last
}

// snapshot returns the state as bytes.
func (d *Daemon) snapshot(ctx context.Context) ([]byte, error) {
	answer := make(chan encodedState, 1)
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case d.encoded <- answer:
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case e := <-answer:
		return e.data, e.err
	}
}

// askPeers asks the configured peers for their state while the log gives none;
// control takes the latest.
func (d *Daemon) askPeers(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, peerWait)
		if d.table.Load() != nil {
			continue
		}
		for _, address := range d.settings.Peers {
			data, err := d.askPeer(ctx, address)
			if err != nil {
				d.log.Debug("no state from peer", "error", err)
				continue
			}
			if !d.post(ctx, control.SnapshotReceived{Data: data}) {
				return nil
			}
		}
	}
	return nil
}

func (d *Daemon) askPeer(ctx context.Context, address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return peer.Snapshot(ctx, d.identity, address)
}

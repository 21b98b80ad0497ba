package granting

import (
	"context"
	"errors"
	"time"

	"bronzewind.example/core/ownership"
)

// writeRetryDelay is the time between two attempts of one write.
const writeRetryDelay = 200 * time.Millisecond

// mapWrite is a partition map to be written under an epoch.
type mapWrite struct {
	epoch        uint64
	partitionMap ownership.PartitionMap
}

// runWrites carries out the writes in order. Their sequence numbers start at 1 under
// each epoch.
func (l *Loop) runWrites(ctx context.Context, done chan<- error) {
	defer func() { done <- nil }()
	var epoch, sequence uint64
	for {
		select {
		case <-ctx.Done():
			return
		case write := <-l.writes:
			if write.epoch != epoch {
				epoch, sequence = write.epoch, 0
			}
			if l.writeWithRetry(ctx, write, sequence+1) {
				sequence++
			}
		}
	}
}

// writeWithRetry carries out write and reports whether it is known to be done. A write
// whose outcome is unknown is repeated until it is done or fenced, or until ctx ends.
// If it ends fenced or with ctx, an earlier attempt may have been carried out. The store
// recognises repeats by their sequence number. If the store refuses the first attempt,
// the write was not done and is given up.
func (l *Loop) writeWithRetry(ctx context.Context, write mapWrite, sequence uint64) bool {
	unanswered := false
	sent := l.clock.Now() // a later attempt may get the response to the first one
	for ctx.Err() == nil {
		err := l.store.Write(ctx, write.epoch, sequence, write.partitionMap)
		if err == nil {
			l.Post(ctx, ownership.EpochConfirmed{SentAt: sent, Era: ownership.EraOf(write.epoch)})
			l.Post(ctx, ownership.PartitionMapWritten{Service: write.partitionMap.Service, Epoch: write.partitionMap.Epoch, Version: write.partitionMap.Version})
			return true
		}
		l.log.Limited("write-failed", "epoch", write.epoch, "service", write.partitionMap.Service, "version", write.partitionMap.Version, "reason", err.Error())
		refused := errors.Is(err, ErrRefused) && !unanswered
		if refused || errors.Is(err, ErrFenced) {
			l.Post(ctx, ownership.PartitionMapWritten{Service: write.partitionMap.Service, Epoch: write.partitionMap.Epoch, Version: write.partitionMap.Version, Failed: true})
			return false
		}
		unanswered = unanswered || !errors.Is(err, ErrRefused)
		timer := time.NewTimer(writeRetryDelay)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
	return false
}

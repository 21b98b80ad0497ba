package dispatch

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bronzewind.example/core/clock"
	"bronzewind.example/core/code"
	"bronzewind.example/core/record"
	"bronzewind.example/core/route"
)

const (
	peerCallTimeout        = 250 * time.Millisecond // for one call to a peer
	replicaCount           = 2                      // peers to which each record is sent
	handOverConcurrency    = 16                     // records that are handed over at once
	maxCallerClockSkew     = 5 * time.Second        // difference between a caller's clock and the clock of this instance
	endReplicationAttempts = 3                      // of replicateEnd
	contactInterval        = 500 * time.Millisecond // time between two rounds of contactMembers
	peerRetryDelay         = 200 * time.Millisecond // time without calls to a member after a failed call
)

// Operations of a PeerCall.
const (
	// FindRecord asks for the record with the record key of the call.
	FindRecord CallOperation = iota + 1
	// PutRecord asks for a record to be stored, or for the result of its
	// execution to be added.
	PutRecord
	// DropRecord withdraws the record of an execution that did not happen.
	DropRecord
	// ExchangeDepartures does nothing but exchange departure reports, which every
	// call and reply carries.
	ExchangeDepartures
	// ReportSuspect reports a request that was in flight when a backend server
	// crashed.
	ReportSuspect
	// HandedOver reports that the sender has handed over all its records to
	// others.
	HandedOver
)

type (
	// CallOperation is the operation that a PeerCall requests.
	CallOperation uint8

	// PeerCall is one call from an instance to another about idempotency records,
	// departures or suspect requests.
	PeerCall struct {
		Operation  CallOperation     `cbor:"1,keyasint"`
		From       record.Writer     `cbor:"2,keyasint"`
		Record     IdempotencyRecord `cbor:"3,keyasint"`
		Departures departureReport   `cbor:"4,keyasint"`
		Suspect    SuspectUpdate     `cbor:"5,keyasint"`
	}

	// PeerReply is the reply to a PeerCall.
	PeerReply struct {
		Found      *IdempotencyRecord `cbor:"1,keyasint,omitempty"` // FindRecord: the record with the record key; PutRecord: the record of another execution; nil if there is none
		Code       code.Code          `cbor:"2,keyasint,omitempty"` // why the call was refused
		Departures departureReport    `cbor:"3,keyasint"`
	}

	// PeerCaller calls other instances.
	PeerCaller interface {
		CallPeer(ctx context.Context, to route.Member, call PeerCall) (PeerReply, error)
	}

	// peerCalls makes and handles the calls between this instance and its peers:
	// it replicates and finds idempotency records, reports suspect requests and
	// exchanges departure reports.
	peerCalls struct {
		clock       clock.Clock
		peers       PeerCaller // nil when there are none
		records     *RecordTable
		departures  *departureHistory
		suspects    *suspectTable
		contactOnce sync.Once
		stop        chan struct{} // closed when the instance stops

		mu                sync.Mutex
		closed            bool                        // guarded by mu
		unresponsiveUntil map[record.Writer]time.Time // time until which a member is not called; guarded by mu
		tasks             sync.WaitGroup              // calls in the background, for which close waits; none is added after close
	}
)

// handle executes a call of a peer.
func (p *peerCalls) handle(c PeerCall) PeerReply {
	p.departures.merge(c.From, c.Departures)
	reply := PeerReply{Departures: p.departures.report()}
	switch c.Operation {
	case FindRecord:
		reply.Found = p.records.find(c.Record.RecordKey)
	case PutRecord:
		var err error
		reply.Found, err = p.records.put(c.Record)
		var e *code.Error
		if errors.As(err, &e) {
			reply.Code = e.Code
		}
	case DropRecord:
		p.records.drop(c.Record)
	case ReportSuspect:
		p.suspects.merge(c.Suspect)
	case HandedOver:
		p.departures.setHandedOver(c.From)
	}
	return reply
}

func (p *peerCalls) call(ctx context.Context, to route.Member, op CallOperation, rec IdempotencyRecord) (PeerReply, error) {
	return p.send(ctx, to, PeerCall{Operation: op, Record: rec})
}

func (p *peerCalls) send(ctx context.Context, to route.Member, c PeerCall) (PeerReply, error) {
	c.From, c.Departures = p.departures.selfWriter(), p.departures.report()
	if p.isUnresponsive(to.Writer) {
		return PeerReply{}, errors.New("not called: a call to " + to.Writer.Instance + " failed less than " + peerRetryDelay.String() + " ago")
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	reply, err := p.peers.CallPeer(ctx, to, c)
	if err != nil {
		p.setUnresponsive(to.Writer)
		return reply, err
	}
	p.departures.merge(to.Writer, reply.Departures)
	if reply.Code != 0 {
		return reply, code.NewError(reply.Code, "refused by "+to.Writer.Instance)
	}
	return reply, nil
}

// contactMembers exchanges departure reports with each member of the first
// routing table that contains this instance, until the member has replied or
// called. If the member departs before that, records may have been lost.
func (p *peerCalls) contactMembers() {
	if p.peers == nil || len(p.departures.uncontactedMembers()) == 0 {
		return
	}
	p.contactOnce.Do(func() {
		p.background(func() {
			for {
				to := p.departures.uncontactedMembers()
				if len(to) == 0 {
					return
				}
				p.callAll(context.Background(), to, ExchangeDepartures, IdempotencyRecord{})
				timer := p.clock.NewTimer(contactInterval)
				select {
				case <-p.stop:
					timer.Stop()
					return
				case <-timer.C:
				}
			}
		})
	})
}

// close stops the background calls and waits for them to end.
func (p *peerCalls) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	close(p.stop)
	p.tasks.Wait()
}

// background runs f in a goroutine that close waits for; after close it does
// nothing.
func (p *peerCalls) background(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.tasks.Go(f)
	}
}

// isUnresponsive reports whether a call to w failed within the last
// peerRetryDelay.
func (p *peerCalls) isUnresponsive(w record.Writer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.clock.Now().Before(p.unresponsiveUntil[w])
}

func (p *peerCalls) setUnresponsive(w record.Writer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for other, until := range p.unresponsiveUntil {
		if now.After(until) {
			delete(p.unresponsiveUntil, other)
		}
	}
	p.unresponsiveUntil[w] = now.Add(peerRetryDelay)
}

// callAll calls all members of to concurrently and returns the replies and
// errors in the same order.
func (p *peerCalls) callAll(ctx context.Context, to []route.Member, op CallOperation, rec IdempotencyRecord) ([]PeerReply, []error) {
	replies, errs := make([]PeerReply, len(to)), make([]error, len(to))
	var wg sync.WaitGroup
	for i, member := range to {
		wg.Go(func() { replies[i], errs[i] = p.call(ctx, member, op, rec) })
	}
	wg.Wait()
	return replies, errs
}

// find asks every other member for the record with rec's record key. Records of
// rec's own epoch are skipped, since they were created by this dispatcher, whose
// own table was searched before. A record with the result of its execution is
// preferred to one without. find returns an error when a record may exist only at
// members to which the call failed.
func (p *peerCalls) find(ctx context.Context, rec IdempotencyRecord) (*IdempotencyRecord, error) {
	others := p.departures.otherMembers()
	replies, errs := p.callAll(ctx, others, FindRecord, rec)
	var (
		found        *IdempotencyRecord
		unresponsive []route.Member
	)
	for i, r := range replies {
		if errs[i] != nil {
			unresponsive = append(unresponsive, others[i])
		} else if r.Found != nil && r.Found.Epoch != rec.Epoch && (found == nil || found.Code == 0) {
			found = r.Found
		}
	}
	if found == nil && !p.departures.allRecordsReachable(unresponsive) {
		return nil, code.NewError(code.MarkNotReplicated, "too few instances answered whether they store an idempotency record: "+errors.Join(errs...).Error())
	}
	return found, nil
}

// put sends rec to its replica holders. It returns once an instance of another
// failure domain has stored rec, or any other instance when there is no other
// failure domain. If a replica holder has a record of another execution, put
// returns that record. Without other members, rec may be a weak record that has
// no replica at all.
func (p *peerCalls) put(ctx context.Context, rec IdempotencyRecord) (*IdempotencyRecord, error) {
	self := p.departures.selfMember()
	to := replicaHolders(p.departures.otherMembers(), self, rec)
	hasOtherDomain := len(to) > 0 && to[0].FailureDomain != self.FailureDomain
	if !hasOtherDomain && !p.departures.recordWeakIfAllowed() {
		return nil, code.NewError(code.MarkNotReplicated, "no instance of another failure domain is a member")
	}
	if len(to) == 0 {
		return nil, nil
	}
	type result struct {
		found  *IdempotencyRecord
		err    error
		enough bool
	}
	results := make(chan result, len(to))
	for _, member := range to {
		p.background(func() {
			reply, err := p.call(ctx, member, PutRecord, rec)
			results <- result{found: reply.Found, err: err, enough: !hasOtherDomain || member.FailureDomain != self.FailureDomain}
		})
	}
	var errs []error
	for range to {
		select {
		case r := <-results:
			if r.found != nil || (r.err == nil && r.enough) {
				return r.found, nil
			}
			errs = append(errs, r.err)
		case <-p.stop:
			return nil, code.NewError(code.MarkNotReplicated, "the instance is stopping")
		}
	}
	return nil, code.NewError(code.MarkNotReplicated, errors.Join(errs...).Error())
}

// replicaHolders returns the members that store replicas of rec: members of
// other failure domains first, then members of the same region first; ties are
// broken by rendezvous hashing of instance, service and request key, which
// spreads the records. It reorders others.
func replicaHolders(others []route.Member, self route.Member, rec IdempotencyRecord) []route.Member {
	rendezvousHash := func(o route.Member) uint64 {
		return xxhash.Sum64String(fmt.Sprintf("%s/%s/%d", o.Writer.Instance, rec.Service, rec.Hash))
	}
	slices.SortFunc(others, func(a, b route.Member) int {
		return cmp.Or(
			compareBool(a.FailureDomain != self.FailureDomain, b.FailureDomain != self.FailureDomain),
			compareBool(a.Region == self.Region, b.Region == self.Region),
			cmp.Compare(rendezvousHash(a), rendezvousHash(b)))
	})
	return others[:min(replicaCount, len(others))]
}

// compareBool orders true before false.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// replicateEnd sends the result of rec's execution, or its withdrawal, to the
// replica holders, in the background: the response is not delayed until the
// calls have ended. The attempts follow each other without a wait, so an attempt
// less than peerRetryDelay after a failed call to a member does not call that
// member again. After failed calls, the next dispatcher answers a repeat with the
// code mark-lost if it finds the record only without a result: in its own table
// or, if that has no such record, at the members that answer.
func (p *peerCalls) replicateEnd(op CallOperation, rec IdempotencyRecord) {
	if p.peers == nil {
		return
	}
	to := replicaHolders(p.departures.otherMembers(), p.departures.selfMember(), rec)
	p.background(func() {
		for range endReplicationAttempts {
			_, errs := p.callAll(context.Background(), to, op, rec)
			if errors.Join(errs...) == nil {
				return
			}
		}
	})
}

// broadcastSuspect sends update to all other members.
func (p *peerCalls) broadcastSuspect(update SuspectUpdate) {
	if p.peers == nil {
		return
	}
	for _, to := range p.departures.otherMembers() {
		p.background(func() { _, _ = p.send(context.Background(), to, PeerCall{Operation: ReportSuspect, Suspect: update}) })
	}
}

// handOver sends all records to other instances of the same failure domain, or
// to any if there are none, and then notifies all members, so that leaving
// loses no records.
func (p *peerCalls) handOver(ctx context.Context) error {
	others, self := p.departures.otherMembers(), p.departures.selfMember()
	if p.peers == nil || len(others) == 0 {
		return nil
	}
	var receivers []route.Member
	for _, o := range others {
		if o.FailureDomain == self.FailureDomain {
			receivers = append(receivers, o)
		}
	}
	if len(receivers) == 0 {
		receivers = others
	}
	records, semaphore := p.records.snapshot(), make(chan struct{}, handOverConcurrency)
	errs := make([]error, len(records))
	var wg sync.WaitGroup
	for i, rec := range records {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			_, errs[i] = p.call(ctx, receivers[int(uint64(rec.Hash)%uint64(len(receivers)))], PutRecord, rec)
		})
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("idempotency records not handed over: %w", err)
	}
	_, all := p.callAll(ctx, others, HandedOver, IdempotencyRecord{})
	return errors.Join(all...)
}

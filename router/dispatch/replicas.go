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
	peerCallTimeout     = 250 * time.Millisecond // for one call to a peer
	replicaCount        = 2                      // peers that are sent each mark
	handOverConcurrency = 16                     // marks that are handed over at once
	maxCallerClockSkew  = 5 * time.Second        // of a caller's clock against ours
	endAttempts         = 3
	contactInterval     = 500 * time.Millisecond
	peerRetryDelay      = 200 * time.Millisecond // without a call, after one that failed
)

// The operations of a MarkCall.
const (
	// FindRecord asks for the mark of a key.
	FindRecord RecordOperation = iota + 1
	// PutRecord asks for a mark to be kept, or for the end of its run to be noted.
	PutRecord
	// DropRecord takes back the mark of a run that did not happen.
	DropRecord
	// ExchangeDepartures tells and asks what the instances know of departures.
	ExchangeDepartures
	// ReportSuspect tells of a request that was in flight at a crash.
	ReportSuspect
	// HandedOver says that the caller has given all its marks to others.
	HandedOver
)

type (
	// RecordOperation is what a MarkCall asks for.
	RecordOperation uint8

	// MarkCall is one call between the mark tables of two instances.
	MarkCall struct {
		Operation  RecordOperation   `cbor:"1,keyasint"`
		From       record.Writer     `cbor:"2,keyasint"`
		Record     IdempotencyRecord `cbor:"3,keyasint"`
		Departures departureReport   `cbor:"4,keyasint"`
		Suspect    SuspectUpdate     `cbor:"5,keyasint"`
	}

	// MarkReply answers a MarkCall.
	MarkReply struct {
		Found      *IdempotencyRecord `cbor:"1,keyasint,omitempty"` // of the key, when it is of another run
		Code       code.Code          `cbor:"2,keyasint,omitempty"` // why the call was refused
		Departures departureReport    `cbor:"3,keyasint"`
	}

	// MarkPeers reaches the mark tables of other instances.
	MarkPeers interface {
		CallMark(ctx context.Context, to route.Member, call MarkCall) (MarkReply, error)
	}

	// replicas keeps copies of this instance's marks at its peers.
	replicas struct {
		clock       clock.Clock
		peers       MarkPeers // nil when there are none
		records     *RecordTable
		departures  *departureHistory
		suspects    *suspectTable
		contactOnce sync.Once
		stop        chan struct{} // closed at the end of the instance

		mu                sync.Mutex
		closed            bool                        // guarded by mu
		unresponsiveUntil map[record.Writer]time.Time // until when a member is not called; guarded by mu
		tasks             sync.WaitGroup              // calls whose answer nobody waits for; none is added once closed
	}
)

// handle answers a call of a peer.
func (p *replicas) handle(c MarkCall) MarkReply {
	p.departures.merge(c.From, c.Departures)
	reply := MarkReply{Departures: p.departures.report()}
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

func (p *replicas) call(ctx context.Context, to route.Member, op RecordOperation, m IdempotencyRecord) (MarkReply, error) {
	return p.send(ctx, to, MarkCall{Operation: op, Record: m})
}

func (p *replicas) send(ctx context.Context, to route.Member, c MarkCall) (MarkReply, error) {
	c.From, c.Departures = p.departures.selfWriter(), p.departures.report()
	if p.isUnresponsive(to.Writer) {
		return MarkReply{}, errors.New(to.Writer.Instance + " did not answer just before")
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	reply, err := p.peers.CallMark(ctx, to, c)
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

// contactMembers hears each member of the first table once, so that its departure later
// leaves no doubt.
func (p *replicas) contactMembers() {
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

// close ends what runs in the background and waits for it.
func (p *replicas) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	close(p.stop)
	p.tasks.Wait()
}

// background runs f, for which nobody waits but close.
func (p *replicas) background(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.tasks.Go(f)
	}
}

// isUnresponsive reports whether w did not answer a call just before.
func (p *replicas) isUnresponsive(w record.Writer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.clock.Now().Before(p.unresponsiveUntil[w])
}

func (p *replicas) setUnresponsive(w record.Writer) {
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

// callAll calls all of to at once and returns the replies and errors in order.
func (p *replicas) callAll(ctx context.Context, to []route.Member, op RecordOperation, m IdempotencyRecord) ([]MarkReply, []error) {
	replies, errs := make([]MarkReply, len(to)), make([]error, len(to))
	var wg sync.WaitGroup
	for i, member := range to {
		wg.Go(func() { replies[i], errs[i] = p.call(ctx, member, op, m) })
	}
	wg.Wait()
	return replies, errs
}

// find asks every other member for the mark of m's key. It returns an error
// when a mark may stand only at members that did not answer.
func (p *replicas) find(ctx context.Context, m IdempotencyRecord) (*IdempotencyRecord, error) {
	others := p.departures.otherMembers()
	replies, errs := p.callAll(ctx, others, FindRecord, m)
	var (
		found  *IdempotencyRecord
		silent []route.Member
	)
	for i, r := range replies {
		if errs[i] != nil {
			silent = append(silent, others[i])
		} else if r.Found != nil && r.Found.Epoch != m.Epoch && (found == nil || found.Code == 0) {
			found = r.Found
		}
	}
	if found == nil && !p.departures.coveredWithout(silent) {
		return nil, code.NewError(code.MarkNotReplicated, "too few instances said whether they keep a mark: "+errors.Join(errs...).Error())
	}
	return found, nil
}

// put places copies of m and returns once an instance of another failure
// domain keeps one, or any other instance when there is no other domain.
func (p *replicas) put(ctx context.Context, m IdempotencyRecord) (*IdempotencyRecord, error) {
	self := p.departures.selfMember()
	to := replicaHolders(p.departures.otherMembers(), self, m)
	apart := len(to) > 0 && to[0].FailureDomain != self.FailureDomain
	if !apart && !p.departures.allowWeakRecord() {
		return nil, code.NewError(code.MarkNotReplicated, "no instance of another failure domain is a member")
	}
	if len(to) == 0 {
		return nil, nil
	}
	type answer struct {
		found  *IdempotencyRecord
		err    error
		enough bool
	}
	answers := make(chan answer, len(to))
	for _, member := range to {
		p.background(func() {
			reply, err := p.call(ctx, member, PutRecord, m)
			answers <- answer{found: reply.Found, err: err, enough: !apart || member.FailureDomain != self.FailureDomain}
		})
	}
	var errs []error
	for range to {
		select {
		case a := <-answers:
			if a.found != nil || (a.err == nil && a.enough) {
				return a.found, nil
			}
			errs = append(errs, a.err)
		case <-p.stop:
			return nil, code.NewError(code.MarkNotReplicated, "the instance is stopping")
		}
	}
	return nil, code.NewError(code.MarkNotReplicated, errors.Join(errs...).Error())
}

// replicaHolders returns the members that keep copies of m: of other failure domains
// first, near ones before far ones, and spread by key.
func replicaHolders(others []route.Member, self route.Member, m IdempotencyRecord) []route.Member {
	weight := func(o route.Member) uint64 {
		return xxhash.Sum64String(fmt.Sprintf("%s/%s/%d", o.Writer.Instance, m.Service, m.Hash))
	}
	slices.SortFunc(others, func(a, b route.Member) int {
		return cmp.Or(
			compareBool(a.FailureDomain != self.FailureDomain, b.FailureDomain != self.FailureDomain),
			compareBool(a.Region == self.Region, b.Region == self.Region),
			cmp.Compare(weight(a), weight(b)))
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

// replicateEnd sends the end of m's run, or its withdrawal, to the keepers. Nobody
// waits for it: without it a repeat after a takeover is answered unknown.
func (p *replicas) replicateEnd(op RecordOperation, m IdempotencyRecord) {
	if p.peers == nil {
		return
	}
	to := replicaHolders(p.departures.otherMembers(), p.departures.selfMember(), m)
	p.background(func() {
		for range endAttempts {
			_, errs := p.callAll(context.Background(), to, op, m)
			if errors.Join(errs...) == nil {
				return
			}
		}
	})
}

// broadcastSuspect sends n to all other members.
func (p *replicas) broadcastSuspect(n SuspectUpdate) {
	if p.peers == nil {
		return
	}
	for _, to := range p.departures.otherMembers() {
		p.background(func() { _, _ = p.send(context.Background(), to, MarkCall{Operation: ReportSuspect, Suspect: n}) })
	}
}

// handOver gives all marks to other instances of the own failure domain, or to
// any, and tells everyone, so that leaving loses none.
func (p *replicas) handOver(ctx context.Context) error {
	others, self := p.departures.otherMembers(), p.departures.selfMember()
	if p.peers == nil || len(others) == 0 {
		return nil
	}
	var near []route.Member
	for _, o := range others {
		if o.FailureDomain == self.FailureDomain {
			near = append(near, o)
		}
	}
	if len(near) == 0 {
		near = others
	}
	marks, width := p.records.snapshot(), make(chan struct{}, handOverConcurrency)
	errs := make([]error, len(marks))
	var wg sync.WaitGroup
	for i, m := range marks {
		width <- struct{}{}
		wg.Go(func() {
			defer func() { <-width }()
			_, errs[i] = p.call(ctx, near[int(uint64(m.Hash)%uint64(len(near)))], PutRecord, m)
		})
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("marks not handed over: %w", err)
	}
	_, all := p.callAll(ctx, others, HandedOver, IdempotencyRecord{})
	return errors.Join(all...)
}

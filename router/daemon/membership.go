package daemon

import (
	"context"
	"time"

	"bronzewind.example/core/control"
	"bronzewind.example/core/record"
	"bronzewind.example/router/peer"
)

// leavePoll is the time between looks at how far a leave has come.
const leavePoll = 10 * time.Millisecond

type (
	// outbox holds the messages of one step by peer, in order.
	outbox []peerMessages

	peerMessages struct {
		to       record.Writer
		messages []control.Message
	}
)

func (o *outbox) add(m control.SendMessage) {
	for i := range *o {
		if (*o)[i].to == m.To {
			(*o)[i].messages = append((*o)[i].messages, m.Message)
			return
		}
	}
	*o = append(*o, peerMessages{to: m.To, messages: []control.Message{m.Message}})
}

// received brings a message to control, or drops it when control is behind.
func (d *Daemon) received(from record.Writer, m control.Message) {
	select {
	case d.events <- control.MessageReceived{From: from, Message: m}:
	default:
		d.control.Counters().Add("messages-dropped", 1)
	}
}

// setPeers tells the control transport the members when they have changed.
func (d *Daemon) setPeers() {
	s := d.core.State()
	version := peersVersion{self: d.core.Self(), changed: s.MembersChanged}
	if version == d.peers {
		return
	}
	d.peers = version
	peers := make([]peer.ControlPeer, 0, len(s.Members))
	for _, m := range s.Members {
		if m.Writer != version.self {
			peers = append(peers, peer.ControlPeer{Run: m.Writer, Address: m.Joined.Control, Key: m.Joined.ControlKey})
		}
	}
	d.control.SetPeers(version.self, peers)
}

// endRun joins again as a new run, unless the instance leaves.
func (d *Daemon) endRun() {
	if d.leaving.Load() {
		close(d.left)
		return
	}
	d.log.Warn("membership ended, joining again")
	d.core = d.core.NextIncarnation(uint64(d.clock.Now().UnixNano()))
}

// handOver gives all roles to other instances, while callers are still served.
func (d *Daemon) handOver(ctx context.Context) {
	d.log.Info("handing over")
	d.leaving.Store(true)
	if !d.post(ctx, control.LeaveRequested{}) {
		return
	}
	for limit := d.clock.Now().Add(leaveLimit); d.clock.Now().Before(limit); pause(ctx, leavePoll) {
		if st := d.status.Load(); st != nil && st.handedOver {
			return
		}
	}
	d.log.Warn("roles not handed over in time", "limit", leaveLimit)
}

// endMembership records that the instance has left, when it is a member.
func (d *Daemon) endMembership(ctx context.Context) {
	st := d.status.Load()
	if st == nil || !st.member || !d.post(ctx, control.TrafficStopped{}) {
		return
	}
	timer := d.clock.NewTimer(leftLimit)
	defer timer.Stop()
	select {
	case <-d.left:
	case <-timer.C:
		d.log.Warn("leave not recorded in time", "limit", leftLimit)
	}
}

package peer

import (
	"context"
	"log/slog"

	"github.com/quic-go/quic-go"

	"bronzewind.example/core/route"
	"bronzewind.example/router/dispatch"
)

// CallHandler answers calls of other instances' mark tables.
type CallHandler interface {
	HandlePeerCall(c dispatch.PeerCall) dispatch.PeerReply
}

// CallPeer implements dispatch.PeerCaller.
func (c *Client) CallPeer(ctx context.Context, to route.Member, call dispatch.PeerCall) (dispatch.PeerReply, error) {
	var reply dispatch.PeerReply
	stream, err := c.open(ctx, endpoint{forward: to.Forward, fingerprint: string(to.Fingerprint)}, markStream)
	if err != nil {
		return reply, err
	}
	defer stream.CancelRead(streamFailed)
	stop := context.AfterFunc(ctx, func() { abort(stream) })
	defer stop()
	if err := writeFrame(stream, call); err != nil {
		return reply, err
	}
	stream.Close()
	return reply, readFrame(stream, &reply)
}

func serveMark(m CallHandler, stream *quic.Stream, log *slog.Logger) {
	defer stream.CancelRead(streamFailed)
	var call dispatch.PeerCall
	err := readFrame(stream, &call)
	if err == nil {
		err = writeFrame(stream, m.HandlePeerCall(call))
	}
	if err != nil {
		log.Debug("mark call failed", "error", err)
		stream.CancelWrite(streamFailed)
		return
	}
	stream.Close()
}

package peer

import (
	"context"
	"log/slog"

	"github.com/quic-go/quic-go"

	"bronzewind.example/core/route"
	"bronzewind.example/router/dispatch"
)

// MarkServer answers calls of other instances' mark tables.
type MarkServer interface {
	ServeMark(c dispatch.MarkCall) dispatch.MarkReply
}

// CallMark implements dispatch.MarkPeers.
func (c *Client) CallMark(ctx context.Context, to route.Member, call dispatch.MarkCall) (dispatch.MarkReply, error) {
	var reply dispatch.MarkReply
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

func serveMark(m MarkServer, stream *quic.Stream, log *slog.Logger) {
	defer stream.CancelRead(streamFailed)
	var call dispatch.MarkCall
	err := readFrame(stream, &call)
	if err == nil {
		err = writeFrame(stream, m.ServeMark(call))
	}
	if err != nil {
		log.Debug("mark call failed", "error", err)
		stream.CancelWrite(streamFailed)
		return
	}
	stream.Close()
}

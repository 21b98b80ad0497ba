package direct

import (
	"context"
	"net"

	"bronzewind.example/core/tcp"
)

// callerConnKey is the key of a caller's connection in the context of its requests.
type callerConnKey struct{}

// WithCallerConn is the ConnContext of the http.Server that serves a Server's callers.
// The Server then sends nothing for a caller that has closed its connection, even if the
// goroutine that would notice the close has not run yet, as in an overloaded process.
func WithCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// callerGone reports whether the caller of the request with context ctx has
// disconnected.
func callerGone(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c, ok := ctx.Value(callerConnKey{}).(net.Conn)
	return ok && tcp.ClosedByPeer(c)
}

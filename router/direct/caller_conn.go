package direct

import (
	"context"
	"net"
	"net/http"
	"time"

	"bronzewind.example/core/tcp"
)

type (
	// callerConnKey is the key of a caller's connection in the context of its requests.
	callerConnKey struct{}

	// holdingWriter is an http.ResponseWriter for one of several pipelined responses. Its
	// connection limits the bytes of responses that wait for earlier responses.
	holdingWriter interface {
		// Hold counts n more bytes, or fewer if n is negative.
		Hold(n int64)
		// TryHold counts n more bytes if the limit of the connection allows it, and reports
		// whether it did.
		TryHold(n int64) bool
	}

	// unboundedWriter stands for an http.ResponseWriter whose response never waits.
	unboundedWriter struct{}

	// arrivalKey is the key of the time at which a request arrived, in its context.
	arrivalKey struct{}
)

// WithCallerConn returns a context of the requests on a caller's connection.
// The Server then sends nothing for a caller that has closed its connection, even if the
// goroutine that would notice the close has not run yet, as in an overloaded process.
func WithCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// WithArrival returns a context of a request that arrived at the given time. Its deadline runs
// from then, even if it has waited behind another request of its connection.
func WithArrival(ctx context.Context, at time.Time) context.Context {
	return context.WithValue(ctx, arrivalKey{}, at)
}

// arrival returns when the request with context ctx arrived; now if that is not known.
func arrival(ctx context.Context, now time.Time) time.Time {
	if at, ok := ctx.Value(arrivalKey{}).(time.Time); ok && at.Before(now) {
		return at
	}
	return now
}

// MayRunBeside reports whether hr may run while earlier requests of its connection do: its
// route is idempotent.
func (s *Server) MayRunBeside(hr *http.Request) bool {
	t := s.routingTable.Load()
	if t == nil {
		return false
	}
	path, ok := routablePath(hr)
	if !ok {
		return false
	}
	route, ok := t.Route(hr.Host, path)
	return ok && route.Idempotent
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

// holdingWriterOf returns the holdingWriter that w is or wraps.
func holdingWriterOf(w http.ResponseWriter) holdingWriter {
	for {
		if h, ok := w.(holdingWriter); ok {
			return h
		}
		wrapper, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			return unboundedWriter{}
		}
		w = wrapper.Unwrap()
	}
}

// Hold implements holdingWriter.
func (unboundedWriter) Hold(int64) {}

// TryHold implements holdingWriter.
func (unboundedWriter) TryHold(int64) bool { return true }

package direct

import "time"

// The decisions in this file handle large responses to callers that read slowly, some
// hundreds of them at once: a slow caller delays the reads from its server, but not for
// longer than the server waits before it closes the connection.

const (
	streamStep = 16 << 10 // read from a server at once

	// streamWindow is what is held of a response while its caller does not read. It is
	// reserved before the response begins to be read.
	streamWindow = bodySegmentBytes

	// Servers cut off a response that stays unread for some seconds. One that waits for
	// unreadTimeout, or whose response is not read to its end within streamReadTime, is
	// therefore read on, and what is held grows by streamWindow at a time.
	unreadTimeout  = 500 * time.Millisecond
	streamReadTime = 1500 * time.Millisecond

	// callerStallTimeout is how long a caller may take for streamStep bytes of its response.
	callerStallTimeout = 10 * time.Second

	// streamEndTimeout is how long after its deadline a response may still be written to a
	// caller that keeps reading.
	streamEndTimeout = 30 * time.Second

	streamCheckInterval = 100 * time.Millisecond // while the window is full
)

const (
	streamReadOn   streamDecision = iota // the window has room
	streamWait                           // until the caller has read
	streamTakeMore                       // reserve more memory and read on; wait if there is none
)

type (
	// streamDecision is whether more of a response is read from its server.
	streamDecision int

	// streamState is what the decision depends on.
	streamState struct {
		held, window int64         // bytes
		unread       time.Duration // since the last read
		age          time.Duration // since the first read
	}
)

// decide returns whether the next part of the response is read.
func (s streamState) decide() streamDecision {
	switch {
	case s.held+streamStep <= s.window:
		return streamReadOn
	case s.unread >= unreadTimeout || s.age >= streamReadTime:
		return streamTakeMore
	default:
		return streamWait
	}
}

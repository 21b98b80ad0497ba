package direct

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"bronzewind.example/core/code"
	"bronzewind.example/core/memory"
)

const (
	// bodySegmentBytes is the largest part of a body that is allocated at once, so that a
	// body takes memory as it arrives and never has to be copied to grow.
	bodySegmentBytes = 64 << 10

	firstChunkedSegment = 4 << 10 // of a body without an announced length; each further segment is twice as long
)

type (
	// body is a request's or a response's body in segments.
	body struct {
		segments [][]byte
		length   int64
		pool     *segmentPool // where segments come from; nil if they are allocated
	}

	// segmentPool holds segments of bodies that were refused, for further bodies, so that a
	// crowd of refused bodies leaves little garbage. A body that was passed on is left to the
	// garbage collector, since its writing may still be in progress. The zero value is ready
	// to use.
	segmentPool struct{ free sync.Pool }

	// closeDelimitedBody is the body of a response without a length or chunks, which the end of
	// the connection completes. A reset of the connection is no such end, but the kernel reports
	// it only once: if the concurrent writing of the request got the error, reading ends as if
	// the server had closed the connection.
	closeDelimitedBody struct {
		io.ReadCloser
		conn  *conn
		write *requestWrite
	}

	// bodyReader reads a body; it also writes its segments to a writer as they are.
	bodyReader struct {
		segments [][]byte // of which nothing, or only a part of the first one, has been read
		offset   int      // in the first segment
	}
)

// get returns a segment of the given size.
func (p *segmentPool) get(size int) []byte {
	if p != nil && size == bodySegmentBytes {
		if segment, ok := p.free.Get().(*[bodySegmentBytes]byte); ok {
			return segment[:]
		}
	}
	return make([]byte, size)
}

// take takes the segments of b, which must not be used any more.
func (p *segmentPool) take(b *body) {
	for _, segment := range b.segments {
		if cap(segment) == bodySegmentBytes {
			p.free.Put((*[bodySegmentBytes]byte)(segment[:bodySegmentBytes]))
		}
	}
	*b = body{}
}

// prefix returns the first n bytes, or all if there are fewer.
func (b *body) prefix(n int) []byte {
	if len(b.segments) == 1 {
		return b.segments[0][:min(n, len(b.segments[0]))]
	}
	var out []byte
	for _, s := range b.segments {
		out = append(out, s[:min(n-len(out), len(s))]...)
		if len(out) == n {
			break
		}
	}
	return out
}

// reader returns a reader of the whole body.
func (b *body) reader() *bodyReader { return &bodyReader{segments: b.segments} }

// WriteTo implements io.WriterTo.
func (b *body) WriteTo(w io.Writer) (int64, error) { return b.reader().WriteTo(w) }

// WriteTo implements io.WriterTo.
func (r *bodyReader) WriteTo(w io.Writer) (int64, error) {
	written := int64(0)
	for ; len(r.segments) > 0; r.segments = r.segments[1:] {
		n, err := w.Write(r.segments[0][r.offset:])
		written += int64(n)
		if err != nil {
			return written, err
		}
		r.offset = 0
	}
	return written, nil
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	if len(r.segments) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.segments[0][r.offset:])
	if r.offset += n; r.offset == len(r.segments[0]) {
		r.segments, r.offset = r.segments[1:], 0
	}
	return n, nil
}

// Read implements io.Reader.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && b.write.failed(b.conn) {
		return n, errWriteFailed
	}
	return n, err
}

// readAnnounced reads exactly n bytes of in, for which there is room.
func (b *body) readAnnounced(in io.Reader, n int64, received func(int)) error {
	for b.length < n {
		if err := b.readSegment(in, int(min(bodySegmentBytes, n-b.length)), received); err != nil {
			if errors.Is(err, io.EOF) {
				return io.ErrUnexpectedEOF
			}
			return err
		}
	}
	return nil
}

// readChunked reads in to its end and takes room for each segment before it is read. It
// stops after limit+1 bytes if limit is above 0.
func (b *body) readChunked(in io.Reader, limit int64, grow func(int64) error, received func(int)) error {
	for size := int64(firstChunkedSegment); ; size = min(2*size, bodySegmentBytes) {
		if limit > 0 {
			size = min(size, limit+1-b.length)
		}
		if size == 0 {
			return nil
		}
		if err := grow(size); err != nil {
			return err
		}
		switch err := b.readSegment(in, int(size), received); {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// readSegment reads the next segment of up to size bytes. It returns io.EOF if in ends
// within the segment.
func (b *body) readSegment(in io.Reader, size int, received func(int)) error {
	segment := b.pool.get(size)
	filled := 0
	var err error
	for filled < size && err == nil {
		var n int
		n, err = in.Read(segment[filled:])
		filled += n
		received(n)
	}
	if filled > 0 {
		b.segments = append(b.segments, segment[:filled])
		b.length += int64(filled)
	}
	if filled == size {
		return nil // an error comes again with the next read
	}
	return err
}

// readRequestBody reads the whole body before anything is sent, so that no server has
// started the request if the upload fails. A body that is refused is not read to its end,
// and its memory is given back at once.
func (s *Server) readRequestBody(w http.ResponseWriter, hr *http.Request, r *request, limit int64, now time.Time) *requestFailure {
	if limit > 0 && hr.ContentLength > limit {
		return &requestFailure{code: code.BodyTooLarge}
	}
	fail := s.receiveBody(w, hr, r, limit, now)
	if fail != nil {
		s.segments.take(&r.body)
		r.room.Close(time.Now())
	}
	return fail
}

// receiveBody reads the body. The room for an announced one is taken before it is read.
func (s *Server) receiveBody(w http.ResponseWriter, hr *http.Request, r *request, limit int64, now time.Time) *requestFailure {
	conn, _ := hr.Context().Value(callerConnKey{}).(net.Conn)
	// It holds until the body's end, and replaces none that is set when the body is given up.
	// Without it, as in a test, the body may come late.
	_ = http.NewResponseController(w).SetReadDeadline(r.deadline)
	r.room = s.openRequestRoom(r, conn, now)
	r.body.pool = &s.segments
	err := r.room.Grow(max(hr.ContentLength, 0), now)
	if err == nil {
		received := func(n int) { r.room.Received(n, time.Now()) }
		if hr.ContentLength > 0 {
			err = r.body.readAnnounced(hr.Body, hr.ContentLength, received)
		} else {
			err = r.body.readChunked(hr.Body, limit, func(n int64) error { return r.room.Grow(n, time.Now()) }, received)
		}
	}
	kept := r.room.Keep()
	var refusal *memory.Refusal
	switch {
	case errors.As(err, &refusal):
		return newFailure(code.NoRoom, refusal.RetryAfter, time.Until(r.deadline))
	case err != nil && !kept:
		return newFailure(code.NoRoom, minRetryAfter, time.Until(r.deadline))
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &requestFailure{code: code.SlowCaller}
	case err != nil:
		// The upload broke off, so the request counts as cancelled before it was sent.
		return &requestFailure{code: code.CancelledInQueue}
	case limit > 0 && r.body.length > limit:
		return &requestFailure{code: code.BodyTooLarge}
	default:
		return nil
	}
}

// openRequestRoom returns the room for the body of r. Without a connection whose read can
// be ended, the body is not given up.
func (s *Server) openRequestRoom(r *request, conn net.Conn, now time.Time) *memory.Room {
	cause := memory.RequestBody
	if r.forwarded {
		cause = memory.ForwardedBody
	}
	var giveUp func()
	if conn != nil {
		giveUp = func() { _ = conn.SetReadDeadline(expiredDeadline) } // fails only if it is closed
	}
	return s.memory.Open(cause, r.callerIP, r.deadline, now, giveUp)
}

// releaseBody gives the memory of the request's body back, once no attempt is made any
// more.
func (r *request) releaseBody(now time.Time) {
	if r.room != nil {
		r.body = body{}
		r.room.Close(now)
	}
}

// releaseMemory gives all memory held for the request back.
func (r *request) releaseMemory(now time.Time) {
	r.releaseBody(now)
	closeRoom(r.responses, now)
	closeRoom(r.kept, now)
}

// releaseResponses releases the memory of the responses of earlier attempts, except that of
// kept, which may be nil.
func (r *request) releaseResponses(kept *response, now time.Time) {
	if kept != nil && kept.room == r.responses {
		r.responses, r.kept = r.kept, r.responses
	}
	closeRoom(r.responses, now)
	r.responses = nil
}

func closeRoom(room *memory.Room, now time.Time) {
	if room != nil {
		room.Close(now)
	}
}

// refusesBody reports whether the request fails with a part of its body unread, so that
// its connection can't carry another request.
func (f *requestFailure) refusesBody() bool {
	switch f.code {
	case code.BodyTooLarge, code.NoRoom, code.SlowCaller, code.CancelledInQueue:
		return true
	default:
		return false
	}
}

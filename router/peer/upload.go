package peer

import (
	"errors"
	"io"
	"sync/atomic"
)

// upload streams the body of a request once the dispatcher asks for it.
type upload struct {
	stream *countedStream
	body   io.Reader
	done   chan struct{} // closed at the end of the goroutine; nil before start
	broken atomic.Bool
}

func newUpload(stream *countedStream, body io.Reader) *upload {
	return &upload{stream: stream, body: body}
}

// start begins to send the body; a second call does nothing.
func (u *upload) start() {
	if u.done != nil || u.body == nil {
		return
	}
	u.done = make(chan struct{})
	go u.run(u.done)
}

func (u *upload) run(done chan<- struct{}) {
	defer close(done)
	buf := make([]byte, uploadBufferBytes)
	if _, err := io.CopyBuffer(u.stream, u, buf); err != nil {
		u.stream.CancelWrite(streamFailed)
		return
	}
	u.stream.Close()
}

// stop ends the upload and waits for its goroutine.
func (u *upload) stop() {
	if u.done == nil {
		return
	}
	select {
	case <-u.done:
		return
	default:
	}
	u.stream.CancelWrite(streamFailed)
	if c, ok := u.body.(io.Closer); ok {
		_ = c.Close()
	}
	<-u.done
}

// Read implements io.Reader for the body.
func (u *upload) Read(p []byte) (int, error) {
	n, err := u.body.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		u.broken.Store(true)
	}
	return n, err
}

// failed reports whether the body could not be read to its end.
func (u *upload) failed() bool { return u.broken.Load() }

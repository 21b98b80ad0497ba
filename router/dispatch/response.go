package dispatch

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"bronzewind.example/core/code"
)

// maxBufferedBytes is the size below which a response is read completely
// before it is passed on, so that a slow caller does not occupy a slot of the
// backend server.
const maxBufferedBytes = 64 << 10

type (
	// responseBody is the body of a response that ends the job when it is closed.
	responseBody struct {
		source     io.Reader
		closer     io.Closer
		onEnd      func(readFailed bool)
		readFailed bool // a read failed before the response was complete
	}

	// lengthCheckedReader fails with io.ErrUnexpectedEOF when its source yields
	// fewer or more bytes than expected.
	lengthCheckedReader struct {
		source    io.Reader
		remaining int64
	}
)

// NewLengthCheckedReader returns a reader of source that ends with io.EOF only after
// exactly length bytes; a negative length disables the check.
func NewLengthCheckedReader(source io.Reader, length int64) io.Reader {
	if length < 0 {
		return source
	}
	return &lengthCheckedReader{source: source, remaining: length}
}

// HasBody reports whether a response to method with status carries a body.
func HasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// Read implements io.Reader.
func (w *lengthCheckedReader) Read(p []byte) (int, error) {
	n, err := w.source.Read(p)
	w.remaining -= int64(n)
	if (errors.Is(err, io.EOF) && w.remaining != 0) || w.remaining < 0 {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.readFailed = true
	}
	return n, err
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	err := b.closer.Close()
	b.onEnd(b.readFailed)
	return err
}

// readPrefix returns the first maxBufferedBytes of the body of resp, or the
// whole body if it is shorter.
func readPrefix(resp *http.Response) ([]byte, error) {
	if resp.ContentLength < 0 || resp.ContentLength >= maxBufferedBytes || resp.Body == http.NoBody {
		return io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes))
	}
	prefix := make([]byte, resp.ContentLength)
	_, err := io.ReadFull(resp.Body, prefix)
	return prefix, err
}

// newResponse reads up to maxBufferedBytes of resp. It calls onEnd, which frees
// the slot, before it returns, unless the response has at least that many bytes:
// then onEnd is called when the response's body is closed.
func newResponse(resp *http.Response, onEnd func(readFailed bool)) (*Response, error) {
	a := &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength}
	prefix, err := readPrefix(resp)
	if err != nil {
		resp.Body.Close()
		onEnd(true)
		return nil, code.NewError(code.AnswerCutOff, "the response was cut off: "+err.Error())
	}
	if len(prefix) < maxBufferedBytes {
		resp.Body.Close()
		onEnd(false)
		if resp.ContentLength < 0 {
			a.Length = int64(len(prefix))
		}
		a.Body, a.Buffered = io.NopCloser(bytes.NewReader(prefix)), prefix
		return a, nil
	}
	a.Body = &responseBody{
		source: io.MultiReader(bytes.NewReader(prefix), resp.Body),
		closer: resp.Body, onEnd: onEnd,
	}
	return a, nil
}

package dispatch

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"bronzewind.example/core/code"
)

// maxBufferedBytes is the size up to which an answer is read at once, so that a
// slow caller doesn't hold a slot of the backend server.
const maxBufferedBytes = 64 << 10

type (
	// responseBody ends the job when it is closed.
	responseBody struct {
		source   io.Reader
		closer   io.Closer
		onEnd    func(broke bool)
		connLost bool // the connection broke before the answer was whole
	}

	// lengthCheckedReader fails with io.ErrUnexpectedEOF when its source ends before
	// length bytes.
	lengthCheckedReader struct {
		source    io.Reader
		remaining int64
	}
)

// NewWholeReader returns a reader of source that ends with io.EOF only after
// exactly length bytes; a negative length is not checked.
func NewWholeReader(source io.Reader, length int64) io.Reader {
	if length < 0 {
		return source
	}
	return &lengthCheckedReader{source: source, remaining: length}
}

// HasBody reports whether an answer to method with status carries a body.
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
		b.connLost = true
	}
	return n, err
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	err := b.closer.Close()
	b.onEnd(b.connLost)
	return err
}

// selfDelimited reports whether the end of resp can be told from a connection that
// broke: its length is known, or it comes in chunks.
func selfDelimited(resp *http.Response) bool {
	return resp.Body == http.NoBody || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// readPrefix returns the first bytes of the body of resp, or all of it when it is
// shorter than what is kept.
func readPrefix(resp *http.Response) ([]byte, error) {
	if resp.ContentLength < 0 || resp.ContentLength >= maxBufferedBytes || resp.Body == http.NoBody {
		return io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes))
	}
	head := make([]byte, resp.ContentLength)
	_, err := io.ReadFull(resp.Body, head)
	return head, err
}

// newResponse reads the first bytes of resp. One that is whole by then frees the
// slot at once; end is called for any other when its body is closed, or here
// when there is no answer.
func newResponse(resp *http.Response, end func(broke bool)) (*Answer, error) {
	a := &Answer{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength}
	head, err := readPrefix(resp)
	if err != nil {
		resp.Body.Close()
		end(true)
		return nil, code.NewError(code.AnswerCutOff, "the answer ended early: "+err.Error())
	}
	if len(head) < maxBufferedBytes {
		resp.Body.Close()
		end(false)
		if resp.ContentLength < 0 {
			a.Length = int64(len(head))
		}
		a.Body, a.Whole = io.NopCloser(bytes.NewReader(head)), head
		return a, nil
	}
	a.Body = &responseBody{
		source: io.MultiReader(bytes.NewReader(head), resp.Body),
		closer: resp.Body, onEnd: end,
	}
	return a, nil
}

package peer

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net/http"

	"github.com/fxamacker/cbor/v2"

	"bronzewind.example/core/code"
)

const maxFrameBytes = 1 << 20

// The kinds of streams, told by their first byte.
const (
	requestStream streamKind = iota + 1
	markStream
)

type (
	streamKind byte

	// requestHead opens a stream; a body that is not inline follows once the
	// dispatcher asks for it.
	requestHead struct {
		Service        string      `cbor:"1,keyasint"`
		Kind           string      `cbor:"2,keyasint"`
		Server         string      `cbor:"3,keyasint"`
		Hash           uint64      `cbor:"4,keyasint"`
		Method         string      `cbor:"5,keyasint"`
		Target         string      `cbor:"6,keyasint"`
		Header         http.Header `cbor:"7,keyasint"`
		Length         int64       `cbor:"8,keyasint"`
		Inline         []byte      `cbor:"9,keyasint,omitempty"`
		Streams        bool        `cbor:"10,keyasint,omitempty"` // the body follows
		LeftMillis     int64       `cbor:"11,keyasint"`           // until the deadline
		Caller         string      `cbor:"12,keyasint"`
		IdempotencyKey string      `cbor:"13,keyasint,omitempty"`
	}

	// answerHead is sent by the dispatcher: either it asks for the body, or it
	// is the answer, whose body follows up to the end of the stream.
	answerHead struct {
		WantsBody bool        `cbor:"1,keyasint,omitempty"`
		Code      code.Code   `cbor:"2,keyasint,omitempty"`
		Reason    string      `cbor:"3,keyasint,omitempty"`
		Status    int         `cbor:"4,keyasint,omitempty"`
		Header    http.Header `cbor:"5,keyasint,omitempty"`
		Length    int64       `cbor:"6,keyasint,omitempty"`
	}
)

func writeFrame(w io.Writer, v any) error {
	data, err := cbor.Marshal(v)
	if err != nil {
		return fmt.Errorf("frame: %w", err)
	}
	buf := make([]byte, 4, 4+len(data))
	binary.BigEndian.PutUint32(buf, uint32(len(data)))
	_, err = w.Write(append(buf, data...))
	return err
}

func readFrame(r io.Reader, v any) error {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return fmt.Errorf("frame: %w", err)
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > maxFrameBytes {
		return fmt.Errorf("frame of %d bytes is over the limit of %d", n, maxFrameBytes)
	}
	var data bytes.Buffer // grows with what arrives, not with what was announced
	if _, err := io.CopyN(&data, r, int64(n)); err != nil {
		return fmt.Errorf("frame: %w", err)
	}
	if err := cbor.Unmarshal(data.Bytes(), v); err != nil {
		return fmt.Errorf("frame: %w", err)
	}
	return nil
}

package control

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// The kinds of encoded messages. A number must never be reused for another kind.
const (
	kindHeartbeat uint = iota + 1
	kindHeartbeatResponse
	kindLostVote
	kindLoadReported
	kindLogPosition
)

// encodedMessage is one message in a datagram.
type encodedMessage struct {
	_    struct{} `cbor:",toarray"`
	Kind uint
	Body cbor.RawMessage
}

// EncodeMessages returns messages as the bytes of one datagram.
func EncodeMessages(messages []Message) ([]byte, error) {
	out := make([]encodedMessage, 0, len(messages))
	for _, m := range messages {
		body, err := cbor.Marshal(m)
		if err != nil {
			return nil, fmt.Errorf("encode control message %T: %w", m, err)
		}
		out = append(out, encodedMessage{Kind: kindOf(m), Body: body})
	}
	return cbor.Marshal(out)
}

func kindOf(m Message) uint {
	switch m.(type) {
	case Heartbeat:
		return kindHeartbeat
	case HeartbeatResponse:
		return kindHeartbeatResponse
	case LostVote:
		return kindLostVote
	case LoadReported:
		return kindLoadReported
	case LogPosition:
		return kindLogPosition
	default:
		return 0
	}
}

// DecodeMessages decodes the messages of one datagram. It skips messages of
// unknown kinds, which a newer version of the program may send.
func DecodeMessages(data []byte) ([]Message, error) {
	var in []encodedMessage
	if err := cbor.Unmarshal(data, &in); err != nil {
		return nil, fmt.Errorf("decode control datagram: %w", err)
	}
	out := make([]Message, 0, len(in))
	for _, e := range in {
		m, err := decodeMessage(e)
		if err != nil {
			return nil, fmt.Errorf("decode control message of kind %d: %w", e.Kind, err)
		}
		if m != nil {
			out = append(out, m)
		}
	}
	return out, nil
}

func decodeMessage(e encodedMessage) (Message, error) {
	switch e.Kind {
	case kindHeartbeat:
		return decodeBody[Heartbeat](e.Body)
	case kindHeartbeatResponse:
		return decodeBody[HeartbeatResponse](e.Body)
	case kindLostVote:
		return decodeBody[LostVote](e.Body)
	case kindLoadReported:
		return decodeBody[LoadReported](e.Body)
	case kindLogPosition:
		return decodeBody[LogPosition](e.Body)
	default:
		return nil, nil
	}
}

func decodeBody[T Message](data []byte) (Message, error) {
	var m T
	err := cbor.Unmarshal(data, &m)
	return m, err
}

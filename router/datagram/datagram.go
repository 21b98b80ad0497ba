// Package datagram sends small messages between instances over UDP, which may lose them:
// the demand for keys, records of the store, the status of the granter, and what instances
// have learnt of backend servers.
package datagram

import (
	"bytes"
	"compress/flate"
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"bronzewind.example/core/ownership"
)

const (
	maxBytes = 16 << 10 // of one datagram
	maxBusy  = 64

	// maxRecordBytes is the most that records take in one datagram. More, sent to
	// a hundred instances at once, fills a link of 10 Mbit/s for a second.
	maxRecordBytes = 5 << 10

	// Records over packAbove bytes are compressed, and may unpack to maxUnpacked.
	packAbove   = 1 << 10
	maxUnpacked = 256 << 10
)

// The first byte of a datagram is the encoding of the rest.
const (
	plain byte = iota
	packed
)

type (
	// Message is one datagram between two instances. Empty fields carry no information.
	Message struct {
		From    string   `cbor:"1,keyasint"`
		Demand  []Demand `cbor:"2,keyasint,omitempty"`
		Crash   uint64   `cbor:"3,keyasint,omitempty"` // fingerprint of a request
		Ends    []End    `cbor:"4,keyasint,omitempty"`
		Records []Record `cbor:"5,keyasint,omitempty"`
		Granted *Granted `cbor:"6,keyasint,omitempty"`
		Leaving bool     `cbor:"7,keyasint,omitempty"` // the sender grants, and is about to stop
		Epoch   uint64   `cbor:"8,keyasint,omitempty"` // under which the sender grants

		Resigned *Resigned `cbor:"9,keyasint,omitempty"`

		AsksReach bool   `cbor:"10,keyasint,omitempty"` // the sender asks for Reach
		Reach     *Reach `cbor:"11,keyasint,omitempty"`

		LeavingServers []Incarnation `cbor:"12,keyasint,omitempty"` // backend servers that have stated lately that they shut down

		Crashes         []Crash       `cbor:"13,keyasint,omitempty"` // includes the one of Crash, which earlier versions read alone
		ReplacedServers []Incarnation `cbor:"14,keyasint,omitempty"` // backend servers whose addresses have lately been found to be those of others
		BusyServers     []BusyServer  `cbor:"15,keyasint,omitempty"` // of services whose servers leave requests unanswered
	}

	// BusyServer is a backend server at which requests wait.
	BusyServer struct {
		Incarnation
		Active int `cbor:"3,keyasint"` // requests that run or wait there
	}

	// Crash names the backend servers that crashed lately while they ran one request.
	Crash struct {
		Fingerprint uint64        `cbor:"1,keyasint"` // of the request
		Servers     []Incarnation `cbor:"2,keyasint"`
	}

	// Incarnation names one start of a backend server.
	Incarnation struct {
		ID            string `cbor:"1,keyasint"`
		StartedMillis int64  `cbor:"2,keyasint"` // Unix milliseconds
	}

	// Reach reports whether the sender reaches backend servers.
	Reach struct {
		Servers       bool   `cbor:"1,keyasint"`
		FailureDomain string `cbor:"2,keyasint"` // of the sender
	}

	// End is the end of a topic of the store, as the sender knows it.
	End struct {
		Topic string `cbor:"1,keyasint"`
		End   uint64 `cbor:"2,keyasint"`           // offset after the last record
		AgeMs int64  `cbor:"3,keyasint"`           // since the store reported End
		Era   uint64 `cbor:"4,keyasint,omitempty"` // of the store in which End is an offset
	}

	// Record is one record of a topic.
	Record struct {
		Topic  string `cbor:"1,keyasint"`
		Offset uint64 `cbor:"2,keyasint"`
		Key    string `cbor:"3,keyasint"`
		Value  []byte `cbor:"4,keyasint"`
		Base   uint64 `cbor:"5,keyasint,omitempty"` // version of the partition map from which Value differs; 0 when Value is whole

		BaseEpoch uint64 `cbor:"6,keyasint,omitempty"` // epoch of that partition map
		Era       uint64 `cbor:"7,keyasint,omitempty"` // of the store in which Offset is an offset
	}

	// Resigned reports that the granter of an epoch has stopped.
	Resigned struct {
		Epoch                 uint64 `cbor:"1,keyasint"`
		SinceLastUnansweredMs int64  `cbor:"2,keyasint"` // since the last grant that was not answered
	}

	// Granted reports that the owner of a range has accepted its grant.
	Granted struct {
		Service string `cbor:"1,keyasint"`
		From    uint32 `cbor:"2,keyasint"`
		To      uint32 `cbor:"3,keyasint"`
		Fence   uint64 `cbor:"4,keyasint"`
	}

	// Demand is the demand for the keys of one service at one instance, in tenths
	// of requests a second.
	Demand struct {
		Service string            `cbor:"1,keyasint"`
		Buckets map[uint16]uint32 `cbor:"2,keyasint"` // those that are not 0
		Keys    []uint32          `cbor:"3,keyasint"` // in order
		Rates   []uint32          `cbor:"4,keyasint"` // of Keys

		WorkMs   float32            `cbor:"5,keyasint,omitempty"` // in a slot that a request takes on average
		Slowness map[string]float32 `cbor:"6,keyasint,omitempty"` // by server ID: time that work takes there against the average

		RateLimits map[string]float32 `cbor:"7,keyasint,omitempty"` // by server ID: requests a second
	}

	// Bus sends and receives messages at one UDP address.
	Bus struct {
		conn *net.UDPConn
		sent expvar.Int // bytes
	}
)

// ErrLargeRecords means that records are too large to be sent.
var ErrLargeRecords = errors.New("datagram: the records are too large")

// packers keeps compressors, which take much memory to set up.
var packers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // only for a level that doesn't exist
	}
	return w
}}

// Listen opens the bus at address.
func Listen(address string) (*Bus, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("datagram: %w", err)
	}
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, fmt.Errorf("datagram: %w", err)
	}
	return &Bus{conn: c}, nil
}

// Sent returns the bytes sent so far.
func (b *Bus) Sent() expvar.Var { return &b.sent }

// Send sends m to address; it may be lost all the same.
func (b *Bus) Send(address string, m Message) error { return b.SendAll([]string{address}, m) }

// SendAll sends m to all addresses; each one may lose it.
func (b *Bus) SendAll(addresses []string, m Message) error {
	data, err := encode(m)
	if err != nil {
		return fmt.Errorf("datagram: %w", err)
	}
	if len(m.Records) > 0 && len(data) > maxRecordBytes {
		return fmt.Errorf("%w: %d bytes", ErrLargeRecords, len(data))
	}
	if len(data) > maxBytes {
		return fmt.Errorf("datagram: a message of %d bytes is too long", len(data))
	}
	var errs []error
	for _, address := range addresses {
		a, err := netip.ParseAddrPort(address)
		if err == nil {
			b.sent.Add(int64(len(data)))
			_, err = b.conn.WriteToUDPAddrPort(data, a)
		}
		if err != nil {
			errs = append(errs, fmt.Errorf("datagram: %w", err))
		}
	}
	return errors.Join(errs...)
}

// encode returns m as it is sent.
func encode(m Message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	if len(m.Records) == 0 || len(data) <= packAbove {
		out.WriteByte(plain)
		out.Write(data)
		return out.Bytes(), nil
	}
	out.WriteByte(packed)
	w := packers.Get().(*flate.Writer)
	defer packers.Put(w)
	w.Reset(&out)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// decode reads a datagram.
func decode(data []byte) (Message, error) {
	var m Message
	if len(data) == 0 {
		return m, io.ErrUnexpectedEOF
	}
	rest := data[1:]
	switch data[0] {
	case plain:
	case packed:
		r := flate.NewReader(bytes.NewReader(rest))
		defer r.Close()
		var err error
		if rest, err = io.ReadAll(io.LimitReader(r, maxUnpacked)); err != nil {
			return m, err
		}
	default:
		return m, fmt.Errorf("datagram: unknown form %d", data[0])
	}
	return m, cbor.Unmarshal(rest, &m)
}

// Run calls take with each received message until ctx ends; datagrams that can't be decoded
// are ignored. It closes the bus and reports its end on done.
func (b *Bus) Run(ctx context.Context, take func(Message), done chan<- error) {
	stop := context.AfterFunc(ctx, func() { _ = b.conn.Close() })
	defer stop()
	buffer := make([]byte, maxBytes)
	for {
		n, _, err := b.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			done <- nil
			return
		}
		if err != nil {
			done <- fmt.Errorf("datagram: %w", err)
			return
		}
		m, err := decode(buffer[:n])
		if err != nil {
			continue // from something that is no instance
		}
		take(m)
	}
}

// PackDemand returns d as it is sent.
func PackDemand(service string, d ownership.Demand) Demand {
	const tenths = 10
	out := Demand{Service: service, Buckets: map[uint16]uint32{}}
	for i, v := range d.Buckets {
		if n := uint32(v*tenths + 0.5); n > 0 {
			out.Buckets[uint16(i)] = n
		}
	}
	for _, k := range d.HotKeys[:min(len(d.HotKeys), maxBusy)] {
		out.Keys = append(out.Keys, k.Key)
		out.Rates = append(out.Rates, uint32(k.Rate*tenths+0.5))
	}
	return out
}

// Unpack returns the demand in requests a second, without keys and buckets out of range.
func (d Demand) Unpack() ownership.Demand {
	const tenths = 10
	var out ownership.Demand
	for i, v := range d.Buckets {
		if int(i) < len(out.Buckets) {
			out.Buckets[i] = float64(v) / tenths
		}
	}
	for i, k := range d.Keys {
		if i < len(d.Rates) && k < ownership.KeyCount {
			out.HotKeys = append(out.HotKeys, ownership.HotKey{Key: k, Rate: float64(d.Rates[i]) / tenths})
		}
	}
	return out
}

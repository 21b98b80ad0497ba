package peer

import (
	"context"
	"crypto/ecdh"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"expvar"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/panjf2000/gnet/v2"

	"bronzewind.example/core/control"
	"bronzewind.example/core/record"
)

const (
	tagBytes         = 8 // names the sender's run
	sumBytes         = 8 // truncated HMAC-SHA256
	headBytes        = tagBytes + sumBytes
	maxDatagramBytes = 1200 // fits the path everywhere without fragments
)

type (
	// ControlPeer is another member as the log names it.
	ControlPeer struct {
		Run     record.Writer
		Address string // UDP, IP number and port
		Key     []byte // X25519 public key of the run
	}

	// Control carries control messages between instances, one datagram for
	// each peer and send. A datagram is authenticated by a key that only its
	// sender and receiver can derive from their public keys in the log.
	Control struct {
		gnet.BuiltinEventEngine

		key      *ecdh.PrivateKey
		receive  func(from record.Writer, m control.Message)
		log      *slog.Logger
		counters *expvar.Map
		booted   chan error // receives once when the socket is open

		mu    sync.Mutex // guards all below
		self  uint64     // tag of the own run
		byRun map[record.Writer]*controlPeer
		byTag map[uint64]*controlPeer
		conn  *net.UDPConn // for sending; nil until the socket is open

		engine gnet.Engine // set before booted receives
	}

	// controlPeer is a peer with what is derived from its row.
	controlPeer struct {
		run     record.Writer
		tag     uint64
		address netip.AddrPort
		secret  []byte // shared by the two runs
	}
)

// NewControlKey returns the key pair of one process.
func NewControlKey() (*ecdh.PrivateKey, error) { return ecdh.X25519().GenerateKey(rand.Reader) }

// NewControl returns a transport that hands each message to receive, which
// must not wait.
func NewControl(key *ecdh.PrivateKey, receive func(from record.Writer, m control.Message), log *slog.Logger) *Control {
	return &Control{
		key: key, receive: receive, log: log, counters: new(expvar.Map).Init(), booted: make(chan error, 1),
		byRun: map[record.Writer]*controlPeer{}, byTag: map[uint64]*controlPeer{},
	}
}

// Counters returns the counters of datagrams and bytes.
func (c *Control) Counters() *expvar.Map { return c.counters }

// SetPeers replaces the own run and the members that datagrams are taken from.
func (c *Control) SetPeers(self record.Writer, peers []ControlPeer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.self = tagOf(self)
	byRun := make(map[record.Writer]*controlPeer, len(peers))
	byTag := make(map[uint64]*controlPeer, len(peers))
	for _, p := range peers {
		known, ok := c.byRun[p.Run]
		if !ok {
			known = c.newPeer(p)
		}
		if known != nil {
			byRun[p.Run], byTag[known.tag] = known, known
		}
	}
	c.byRun, c.byTag = byRun, byTag
}

// newPeer derives the shared secret; a row that can't be used gives nil.
func (c *Control) newPeer(p ControlPeer) *controlPeer {
	address, err := netip.ParseAddrPort(p.Address)
	if err != nil {
		return nil
	}
	public, err := ecdh.X25519().NewPublicKey(p.Key)
	if err != nil {
		return nil
	}
	secret, err := c.key.ECDH(public)
	if err != nil {
		return nil
	}
	return &controlPeer{run: p.Run, tag: tagOf(p.Run), address: address, secret: secret}
}

// tagOf returns the short name of a run in datagrams.
func tagOf(w record.Writer) uint64 { return xxhash.Sum64String(w.String()) }

// sum returns the truncated HMAC of a datagram from one run to another.
func sum(secret []byte, from, to uint64, body []byte) []byte {
	h := hmac.New(sha256.New, secret)
	var head [2 * tagBytes]byte
	binary.BigEndian.PutUint64(head[:], from)
	binary.BigEndian.PutUint64(head[tagBytes:], to)
	h.Write(head[:])
	h.Write(body)
	return h.Sum(nil)[:sumBytes]
}

// Send sends messages to a peer in one datagram. What can't be sent is counted
// and dropped: control messages may be lost.
func (c *Control) Send(to record.Writer, messages []control.Message) {
	body, err := control.EncodeMessages(messages)
	if err != nil || len(body)+headBytes > maxDatagramBytes {
		c.counters.Add("datagrams-not-sent", 1)
		return
	}
	c.mu.Lock()
	p, conn, self := c.byRun[to], c.conn, c.self
	c.mu.Unlock()
	if p == nil || conn == nil {
		c.counters.Add("datagrams-not-sent", 1)
		return
	}
	datagram := c.seal(p, self, body)
	if _, err := conn.WriteToUDPAddrPort(datagram, p.address); err != nil {
		c.counters.Add("datagrams-not-sent", 1)
		return
	}
	c.counters.Add("datagrams-sent", 1)
	c.counters.Add("bytes-sent", int64(len(datagram)))
}

// seal returns the datagram that carries body from the run self to p.
func (*Control) seal(p *controlPeer, self uint64, body []byte) []byte {
	datagram := binary.BigEndian.AppendUint64(make([]byte, 0, headBytes+len(body)), self)
	datagram = append(datagram, sum(p.secret, self, p.tag, body)...)
	return append(datagram, body...)
}

// take checks a datagram and hands its messages on.
func (c *Control) take(datagram []byte) {
	c.counters.Add("datagrams-received", 1)
	c.counters.Add("bytes-received", int64(len(datagram)))
	p, messages, ok := c.open(datagram)
	if !ok {
		c.counters.Add("datagrams-dropped", 1)
		return
	}
	for _, m := range messages {
		c.receive(p.run, m)
	}
}

func (c *Control) open(datagram []byte) (*controlPeer, []control.Message, bool) {
	if len(datagram) < headBytes {
		return nil, nil, false
	}
	c.mu.Lock()
	p, self := c.byTag[binary.BigEndian.Uint64(datagram)], c.self
	c.mu.Unlock()
	body := datagram[headBytes:]
	if p == nil || !hmac.Equal(datagram[tagBytes:headBytes], sum(p.secret, p.tag, self, body)) {
		return nil, nil, false
	}
	messages, err := control.DecodeMessages(body)
	return p, messages, err == nil
}

// Serve receives on address until ctx ends.
func (c *Control) Serve(ctx context.Context, address string) error {
	ended := make(chan error, 1)
	go func() {
		ended <- gnet.Run(c, "udp://"+address, gnet.WithNumEventLoop(1), gnet.WithLogger(gnetLogger{c.log}))
	}()
	select {
	case err := <-ended:
		return fmt.Errorf("control address %s: %w", address, err)
	case err := <-c.booted:
		if err != nil {
			return fmt.Errorf("control address %s: %w", address, err)
		}
	}
	<-ctx.Done()
	c.closeSender()
	if err := c.engine.Stop(context.WithoutCancel(ctx)); err != nil {
		return fmt.Errorf("control address %s: %w", address, err)
	}
	return <-ended
}

// OnBoot implements gnet.EventHandler: it opens the sending side of the socket.
func (c *Control) OnBoot(engine gnet.Engine) gnet.Action {
	c.engine = engine
	conn, err := duplicate(engine)
	c.mu.Lock()
	c.conn = conn
	c.mu.Unlock()
	c.booted <- err
	if err != nil {
		return gnet.Shutdown
	}
	return gnet.None
}

// duplicate returns a second handle of the engine's socket, since gnet itself
// sends datagrams only in answer to one.
func duplicate(engine gnet.Engine) (*net.UDPConn, error) {
	fd, err := engine.Dup()
	if err != nil {
		return nil, fmt.Errorf("socket of the event loop: %w", err)
	}
	file := os.NewFile(uintptr(fd), "control")
	defer file.Close()
	conn, err := net.FilePacketConn(file)
	if err != nil {
		return nil, fmt.Errorf("socket of the event loop: %w", err)
	}
	return conn.(*net.UDPConn), nil
}

func (c *Control) closeSender() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// OnTraffic implements gnet.EventHandler: one call for each datagram.
func (c *Control) OnTraffic(conn gnet.Conn) gnet.Action {
	if datagram, err := conn.Next(-1); err == nil {
		c.take(datagram)
	}
	return gnet.None
}

// gnetLogger passes the event loop's log lines on.
type gnetLogger struct{ log *slog.Logger }

// Debugf implements logging.Logger.
func (g gnetLogger) Debugf(format string, args ...any) { g.log.Debug(fmt.Sprintf(format, args...)) }

// Infof implements logging.Logger.
func (g gnetLogger) Infof(format string, args ...any) { g.log.Debug(fmt.Sprintf(format, args...)) }

// Warnf implements logging.Logger.
func (g gnetLogger) Warnf(format string, args ...any) { g.log.Warn(fmt.Sprintf(format, args...)) }

// Errorf implements logging.Logger.
func (g gnetLogger) Errorf(format string, args ...any) { g.log.Error(fmt.Sprintf(format, args...)) }

// Fatalf implements logging.Logger; it does not end the process.
func (g gnetLogger) Fatalf(format string, args ...any) { g.log.Error(fmt.Sprintf(format, args...)) }

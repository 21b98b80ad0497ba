package peer

import (
	"context"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzewind.example/core/control"
	"bronzewind.example/core/record"
)

const testWait = 5 * time.Second

// testControl is a transport that serves until the test ends.
type testControl struct {
	*Control
	row      ControlPeer
	received chan control.Message
}

func newTestControl(t *testing.T, name, address string) *testControl {
	t.Helper()
	key, err := NewControlKey()
	if err != nil {
		t.Fatal(err)
	}
	c := &testControl{
		row:      ControlPeer{Run: record.Writer{Instance: name, Incarnation: 1}, Address: address, Key: key.PublicKey().Bytes()},
		received: make(chan control.Message, 16),
	}
	c.Control = NewControl(key, func(_ record.Writer, m control.Message) { c.received <- m }, slog.New(slog.NewTextHandler(io.Discard, nil)))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- c.Serve(ctx, address) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return c
}

// sendUntilReceived sends m again until it arrives: the sockets open at their
// own time.
func sendUntilReceived(t *testing.T, from, to *testControl, m control.Message) control.Message {
	t.Helper()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	limit := time.After(testWait)
	for {
		from.Send(to.row.Run, []control.Message{m})
		select {
		case got := <-to.received:
			return got
		case <-ticker.C:
		case <-limit:
			t.Fatal("nothing received")
		}
	}
}

func TestControlCarriesMessagesBothWays(t *testing.T) {
	a, b := newTestControl(t, "a", "127.0.0.1:22901"), newTestControl(t, "b", "127.0.0.1:22902")
	a.SetPeers(a.row.Run, []ControlPeer{b.row})
	b.SetPeers(b.row.Run, []ControlPeer{a.row})
	want := control.Message(control.Heartbeat{Round: 3, Lease: time.Second})
	if diff := cmp.Diff(want, sendUntilReceived(t, a, b, want)); diff != "" {
		t.Errorf("a to b (-want +got):\n%s", diff)
	}
	want = control.HeartbeatResponse{Round: 3}
	if diff := cmp.Diff(want, sendUntilReceived(t, b, a, want)); diff != "" {
		t.Errorf("b to a (-want +got):\n%s", diff)
	}
}

func TestControlDropsBadDatagrams(t *testing.T) {
	a, b := newTestControl(t, "a", "127.0.0.1:22903"), newTestControl(t, "b", "127.0.0.1:22904")
	stranger, err := NewControlKey()
	if err != nil {
		t.Fatal(err)
	}
	a.SetPeers(a.row.Run, []ControlPeer{b.row})
	b.SetPeers(b.row.Run, []ControlPeer{a.row})
	sendUntilReceived(t, a, b, control.HeartbeatResponse{Round: 1})
	forged := NewControl(stranger, nil, nil)
	forged.SetPeers(a.row.Run, []ControlPeer{b.row})
	p := forged.byRun[b.row.Run]
	body, err := control.EncodeMessages([]control.Message{control.HeartbeatResponse{Round: 2}})
	if err != nil {
		t.Fatal(err)
	}
	head := []byte{0, 0, 0, 0, 0, 0, 0, 0}
	for name, datagram := range map[string][]byte{
		"short":          []byte("short"),
		"unknown sender": append(append(head, head...), body...),
		"forged":         forged.seal(p, tagOf(a.row.Run), body),
		"for another run": func() []byte {
			q := *a.byRun[b.row.Run]
			q.tag++
			return a.seal(&q, tagOf(a.row.Run), body)
		}(),
	} {
		if _, _, ok := b.open(datagram); ok {
			t.Errorf("%s: the datagram was taken", name)
		}
	}
	conn, err := net.Dial("udp", b.row.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write([]byte("short")); err != nil {
		t.Fatal(err)
	}
	for limit := time.Now().Add(testWait); b.Counters().Get("datagrams-dropped") == nil; {
		if time.Now().After(limit) {
			t.Fatal("the dropped datagram was not counted")
		}
		sendUntilReceived(t, a, b, control.HeartbeatResponse{Round: 4})
	}
}

package direct

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"
)

// listen accepts connections and keeps them open until the test ends.
func listen(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan net.Conn, 16)
	go func() {
		defer close(accepted)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		for c := range accepted {
			_ = c.Close()
		}
	})
	return l.Addr().String()
}

// TestRequestWaitsForAConnection replays requests of one instance for a hot key
// whose server takes few connections: they share one.
func TestRequestWaitsForAConnection(t *testing.T) {
	address := listen(t)
	deadline := time.Now().Add(10 * time.Second)
	var p pool
	defer p.close()
	first, _, err := p.get(t.Context(), address, 1, deadline)
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan *conn)
	go func() {
		c, _, err := p.get(t.Context(), address, 1, deadline)
		if err != nil {
			t.Error(err)
		}
		got <- c
	}()
	for waits := false; !waits; {
		p.mu.Lock()
		waits = p.freed != nil
		p.mu.Unlock()
	}
	p.put(first, time.Now())
	if second := <-got; second != first {
		t.Error("the request that waited has another connection")
	}
	if _, _, err := p.get(t.Context(), address, 1, time.Now().Add(20*time.Millisecond)); !errors.Is(err, errConnLimit) {
		t.Errorf("no connection is free: %v, want %v", err, errConnLimit)
	}
	left, leave := context.WithCancel(t.Context())
	leave()
	if _, _, err := p.get(left, address, 1, deadline); err == nil {
		t.Error("a caller who left got a connection")
	}
	p.closeConn(first)
	if c, _, err := p.get(t.Context(), address, 1, deadline); err != nil || c == first {
		t.Errorf("after a connection was closed: %v", err)
	}
}

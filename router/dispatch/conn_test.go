package dispatch

import (
	"errors"
	"net"
	"net/http/httptrace"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestUnwritten checks what counts as proof that no byte was written, and that
// nothing is written once it was given.
func TestUnwritten(t *testing.T) {
	write := func(c net.Conn) error { _, err := c.Write([]byte("x")); return err }
	tests := []struct {
		name  string
		run   func(a *attempt, c *trackedConn)
		want  bool
		later error // of a write after the verdict
	}{
		{name: "no connection", run: func(*attempt, *trackedConn) {}, want: true},
		{name: "connection taken, nothing written", run: func(a *attempt, c *trackedConn) {
			a.gotConn(httptrace.GotConnInfo{Conn: c})
		}, want: true, later: net.ErrClosed},
		{name: "written for an earlier request only", run: func(a *attempt, c *trackedConn) {
			_ = write(c)
			a.gotConn(httptrace.GotConnInfo{Conn: c})
		}, want: true, later: net.ErrClosed},
		{name: "written", run: func(a *attempt, c *trackedConn) {
			a.gotConn(httptrace.GotConnInfo{Conn: c})
			_ = write(c)
		}},
		{name: "taken twice", run: func(a *attempt, c *trackedConn) {
			a.gotConn(httptrace.GotConnInfo{Conn: c})
			a.gotConn(httptrace.GotConnInfo{Conn: c})
		}},
		{name: "connection not tracked", run: func(a *attempt, c *trackedConn) {
			a.gotConn(httptrace.GotConnInfo{Conn: c.Conn})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			near, far := net.Pipe()
			defer far.Close()
			go func() {
				buf := make([]byte, 8)
				for {
					if _, err := far.Read(buf); err != nil {
						return
					}
				}
			}()
			c, a := &trackedConn{Conn: near}, &attempt{}
			defer c.Close()
			tt.run(a, c)
			if diff := cmp.Diff(tt.want, a.sealIfUnwritten()); diff != "" {
				t.Errorf("unwritten (-want +got):\n%s", diff)
			}
			if err := write(c); !errors.Is(err, tt.later) {
				t.Errorf("later write: want %v, got %v", tt.later, err)
			}
		})
	}
}

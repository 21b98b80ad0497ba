package dispatch

import (
	"errors"
	"net"
	"net/http/httptrace"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// A request of which some bytes were written must not be reported as not run,
// and a request that was reported as unwritten must not be written later.
func TestSealIfUnwritten(t *testing.T) {
	write := func(c net.Conn) error { _, err := c.Write([]byte("x")); return err }
	tests := []struct {
		name     string
		run      func(a *attempt, c *trackedConn)
		want     bool
		writeErr error // of a write after sealIfUnwritten
	}{
		{name: "no connection", run: func(*attempt, *trackedConn) {}, want: true},
		{name: "connection assigned, nothing written", run: func(a *attempt, c *trackedConn) {
			a.gotConn(httptrace.GotConnInfo{Conn: c})
		}, want: true, writeErr: net.ErrClosed},
		{name: "written only for an earlier request", run: func(a *attempt, c *trackedConn) {
			_ = write(c)
			a.gotConn(httptrace.GotConnInfo{Conn: c})
		}, want: true, writeErr: net.ErrClosed},
		{name: "written after the connection was assigned", run: func(a *attempt, c *trackedConn) {
			a.gotConn(httptrace.GotConnInfo{Conn: c})
			_ = write(c)
		}},
		{name: "two connections assigned", run: func(a *attempt, c *trackedConn) {
			a.gotConn(httptrace.GotConnInfo{Conn: c})
			a.gotConn(httptrace.GotConnInfo{Conn: c})
		}},
		{name: "connection not tracked", run: func(a *attempt, c *trackedConn) {
			a.gotConn(httptrace.GotConnInfo{Conn: c.Conn})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			local, remote := net.Pipe()
			defer remote.Close()
			go func() {
				buf := make([]byte, 8)
				for {
					if _, err := remote.Read(buf); err != nil {
						return
					}
				}
			}()
			c, a := &trackedConn{Conn: local}, &attempt{}
			defer c.Close()
			tt.run(a, c)
			if diff := cmp.Diff(tt.want, a.sealIfUnwritten()); diff != "" {
				t.Errorf("sealIfUnwritten (-want +got):\n%s", diff)
			}
			if err := write(c); !errors.Is(err, tt.writeErr) {
				t.Errorf("write after sealIfUnwritten: got error %v, want %v", err, tt.writeErr)
			}
		})
	}
}

// Package tcp has what the standard library lacks for TCP connections: options, and
// whether an idle connection can be used again.
package tcp

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a net.Dialer's Control that ends a connection once sent
// bytes stay without acknowledgement for limit. It shows a connection that went
// silent without a reset.
func UserTimeout(limit time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var inner error
		err := c.Control(func(fd uintptr) {
			inner = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		return errors.Join(err, inner)
	}
}

// OpenAndEmpty reports whether the peer has not closed c and there are no bytes to read
// on it. Bytes that arrive on an idle connection belong to no request. It returns true
// for a connection without a file descriptor.
func OpenAndEmpty(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	openAndEmpty := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		openAndEmpty = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && openAndEmpty
}

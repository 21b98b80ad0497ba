// Package tcp has what the standard library lacks for TCP connections: options, and
// whether an idle connection can be used again.
package tcp

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

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
	_, err := peek(c)
	return errors.Is(err, unix.EAGAIN) || errors.Is(err, errNoDescriptor)
}

// ClosedByPeer reports whether the peer has closed or reset c and sent nothing before
// that is still to be read. It may be called while another goroutine reads from c. It
// returns false for a connection without a file descriptor.
func ClosedByPeer(c net.Conn) bool {
	n, err := peek(c)
	return n == 0 && !errors.Is(err, unix.EAGAIN) && !errors.Is(err, errNoDescriptor)
}

// Readable reports whether there are bytes to read on c. It may be called while another
// goroutine reads from c.
func Readable(c net.Conn) bool {
	n, _ := peek(c)
	return n > 0
}

// Pending reports whether a connection waits to be accepted at l. It returns false for a
// listener without a file descriptor.
func Pending(l net.Listener) bool {
	raw, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	err = rc.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		pending = n == 1 && err == nil && fds[0].Revents&unix.POLLIN != 0
	})
	return pending && err == nil
}

var errNoDescriptor = errors.New("the connection has no file descriptor")

// peek looks for a byte to read on c without taking it or waiting for one. It does not
// take the lock for reading, which a goroutine that waits for bytes holds.
func peek(c net.Conn) (int, error) {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return 0, errNoDescriptor
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return 0, err
	}
	var n int
	var peekErr error
	err = rc.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peekErr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err
	}
	return max(n, 0), peekErr
}

// HungUp reports whether the peer has closed c or its side of it, or has reset it, whether
// or not bytes that it sent before are still unread. It returns false for a connection
// without a file descriptor.
func HungUp(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	hungUp := false
	err = rc.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		hungUp = n == 1 && err == nil && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return hungUp && err == nil
}

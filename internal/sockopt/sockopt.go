// Package sockopt sets socket options that package net does not offer.
package sockopt

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// LimitUnacked returns a function for net.Dialer.Control that bounds the time for which
// sent bytes may be unacknowledged. After it the kernel drops the connection with the
// bytes in its send buffer, also if it has been closed. Without the option, a request
// that was given up could reach its destination many seconds later, when a cut ends.
func LimitUnacked(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) { optionErr = setUserTimeout(int(fd), timeout) })
		return errors.Join(err, optionErr)
	}
}

// SetUnacked replaces the bound of LimitUnacked on an open connection. Connections
// without a socket are left as they are.
func SetUnacked(conn net.Conn, timeout time.Duration) error {
	var optionErr error
	err := control(conn, func(fd int) { optionErr = setUserTimeout(fd, timeout) })
	return errors.Join(err, optionErr)
}

// ResetOnClose makes the close of a connection a reset, which drops the bytes in its send
// buffer. Connections without a socket are left as they are.
func ResetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// An error means that the connection is closed already.
		_ = tcp.SetLinger(0)
	}
}

func setUserTimeout(fd int, timeout time.Duration) error {
	return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
}

// HasUnacked reports whether bytes that were written to a connection are not acknowledged
// yet. It returns false for connections without a socket.
func HasUnacked(conn net.Conn) bool {
	n := 0
	err := control(conn, func(fd int) { n, _ = unix.IoctlGetInt(fd, unix.SIOCOUTQ) })
	return err == nil && n > 0
}

// HasUnread reports whether bytes have arrived on a connection that were not read yet. It
// returns false for connections without a socket.
func HasUnread(conn net.Conn) bool {
	n := 0
	err := control(conn, func(fd int) { n, _, _ = unix.Recvfrom(fd, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT) })
	return err == nil && n > 0
}

// control calls do with the file descriptor of a connection, or of the one that it wraps. It does nothing for connections
// without a socket.
func control(conn net.Conn, do func(fd int)) error {
	tcp, ok := conn.(*net.TCPConn)
	for !ok {
		wrapper, wraps := conn.(interface{ NetConn() net.Conn })
		if !wraps {
			return nil
		}
		conn = wrapper.NetConn()
		tcp, ok = conn.(*net.TCPConn)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { do(int(fd)) })
}

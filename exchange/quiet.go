package exchange

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// quiet reports whether an idle connection is open and has nothing to read.
// Bytes that wait there belong to no request.
func quiet(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	sound := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, recvErr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		sound = recvErr == unix.EAGAIN
		return true
	})
	return err == nil && sound
}

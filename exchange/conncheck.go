package exchange

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// connHealthy reports whether an idle connection is open and has no unread bytes.
// Unread bytes on an idle connection belong to no request.
func connHealthy(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	healthy := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, recvErr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		healthy = recvErr == unix.EAGAIN
		return true
	})
	return err == nil && healthy
}

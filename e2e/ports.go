package e2e

import (
	"net"
	"os"
	"strconv"
	"sync"
	"testing"
)

// Ports lie below the range from which the kernel takes ports of outgoing
// connections, so that none is taken between its choice and its use.
const (
	firstPort = 18000
	lastPort  = 31000
)

var ports = struct {
	mu   sync.Mutex
	next int
}{next: firstPort + os.Getpid()*37%(lastPort-firstPort)}

// FreePort returns a loopback address that nothing listens on. No address is
// returned twice.
func FreePort(t testing.TB) string {
	t.Helper()
	ports.mu.Lock()
	defer ports.mu.Unlock()
	for range lastPort - firstPort {
		ports.next++
		if ports.next >= lastPort {
			ports.next = firstPort
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(ports.next))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		return address
	}
	t.Fatal("no free port")
	return ""
}

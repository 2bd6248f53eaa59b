package e2e

import (
	"net"
	"os"
	"strconv"
	"sync"
	"testing"
)

// The range of ports lies below the kernel's ephemeral ports, so that no outgoing
// connection takes a port between its choice and its use.
const (
	firstPort = 18000
	lastPort  = 31000
)

var ports = struct {
	mu   sync.Mutex
	next int
}{next: firstPort + os.Getpid()*37%(lastPort-firstPort)}

// FreePort returns a loopback address on which nothing listens. It returns no address
// twice until it has gone through the whole range.
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

package e2e

import (
	"net"
	"os"
	"strconv"
	"sync"
	"testing"
)

const (
	// The range of ports lies below the kernel's ephemeral ports, so that no outgoing
	// connection takes a port between its choice and its use.
	firstPort = 18000
	lastPort  = 31000
	// blockSize is the number of ports that a process reserves at a time, so that no
	// other test process takes a port between its choice and its use, or while the
	// process that listens on it is started again.
	blockSize = 50
	blocks    = (lastPort - firstPort) / blockSize
)

// portAllocator chooses ports from blocks. It reserves a block by listening on its first
// port, which it chooses for nothing else, until the process ends.
type portAllocator struct {
	mu        sync.Mutex
	nextBlock int
	reserved  []net.Listener
	ports     []int // those of the reserved blocks that are chosen next
}

var processPorts = &portAllocator{nextBlock: os.Getpid()}

// FreePort returns a loopback address on which nothing listens, and that no other test
// process gets. It returns no address twice.
func FreePort(t testing.TB) string {
	t.Helper()
	address := processPorts.choose()
	if address == "" {
		t.Fatal("no free port")
	}
	return address
}

// choose returns the next address on which nothing listens, or "" if there is none.
func (a *portAllocator) choose() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.ports) > 0 || a.reserveBlock() {
		address := loopbackAddress(a.ports[0])
		a.ports = a.ports[1:]
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
	return ""
}

// reserveBlock adds the ports of a block that no process has reserved. It returns false
// if there is none.
func (a *portAllocator) reserveBlock() bool {
	for range blocks {
		first := firstPort + a.nextBlock%blocks*blockSize
		a.nextBlock++
		listener, err := net.Listen("tcp", loopbackAddress(first))
		if err != nil {
			continue
		}
		a.reserved = append(a.reserved, listener)
		for port := first + 1; port < first+blockSize; port++ {
			a.ports = append(a.ports, port)
		}
		return true
	}
	return false
}

func loopbackAddress(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

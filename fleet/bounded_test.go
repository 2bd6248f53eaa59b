package fleet

import (
	"bytes"
	"io"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// endlessMessage begins a gob message of 512 MiB.
var endlessMessage = []byte{0xfc, 0x20, 0x00, 0x00, 0x00}

// flood writes a message without end until the connection is closed, and returns the
// number of bytes that were written.
func flood(conn net.Conn) int {
	defer conn.Close()
	n, err := conn.Write(endlessMessage)
	block := make([]byte, 64<<10)
	for err == nil && n < 64<<20 {
		var more int
		more, err = conn.Write(block)
		n += more
	}
	return n
}

// Guards against a process at the address of a peer, or one that connects as a peer, that
// sends messages without end until the VM runs out of memory.
func TestMessageWithoutEndUsesUpTheMemory(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	f := New(Options{Self: Member{VM: "vm", Address: listener.Addr().String()}, Node: &node{}, Log: zap.NewNop(), MaxReceived: 4 << 20})
	go func() { _ = f.Serve(listener) }()
	t.Cleanup(f.Close)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var flooding sync.WaitGroup
	for range 8 {
		flooding.Go(func() {
			conn, err := net.Dial("tcp4", listener.Addr().String())
			assert.Check(t, err)
			n := flood(conn)
			assert.Check(t, n < 16<<20, "%d bytes were read", n)
		})
	}
	flooding.Wait()
	faulty, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = faulty.Close() })
	go func() {
		for {
			conn, err := faulty.Accept()
			if err != nil {
				return
			}
			go flood(conn)
		}
	}()
	p := &peer{Member: Member{Address: faulty.Addr().String()}}
	begun := time.Now()
	var reply Digest
	assert.ErrorIs(t, f.call(p, "Exchange", Digest{}, &reply), errMessageTooLong)
	assert.Assert(t, time.Since(begun) < callTimeout)
	runtime.ReadMemStats(&after)
	assert.Assert(t, after.TotalAlloc-before.TotalAlloc < 32<<20, "%d bytes were allocated", after.TotalAlloc-before.TotalAlloc)
}

// Guards against messages that take many times their size once they are decoded, and against
// memory that stays reserved after the message.
func TestEmptyEntriesCount(t *testing.T) {
	f := New(Options{Node: &node{}, Log: zap.NewNop(), MaxReceived: 1 << 20})
	message := func(zeros int) []byte {
		size := 60 << 10
		body := append(make([]byte, zeros), bytes.Repeat([]byte{1}, size-zeros)...)
		return append([]byte{0xfd, byte(size >> 16), byte(size >> 8), byte(size)}, body...)
	}
	read := func(messages ...[]byte) error {
		far, near := net.Pipe()
		c := f.bound(near)
		go func() {
			for _, m := range messages {
				_, _ = far.Write(m)
			}
			_ = far.Close()
		}()
		_, err := io.ReadAll(c)
		return err
	}
	assert.NilError(t, read(message(8<<10), message(8<<10), message(8<<10)))
	assert.Equal(t, f.received.Load(), int64(0))
	assert.ErrorIs(t, read(message(10<<10)), errReceiveBufferFull)
	assert.Equal(t, f.received.Load(), int64(0))
}

// Guards against long messages that together exceed the memory for them, and against
// memory that stays reserved when their connections end.
func TestLongMessagesShareTheMemory(t *testing.T) {
	f := New(Options{Node: &node{}, Log: zap.NewNop(), MaxReceived: 1 << 20})
	open := func(size uint32) (*boundedConn, net.Conn) {
		far, near := net.Pipe()
		c := f.bound(near)
		go func() {
			_, _ = far.Write([]byte{0xfc, byte(size >> 24), byte(size >> 16), byte(size >> 8), byte(size), 1, 2})
		}()
		return c, far
	}
	first, far := open(600 << 10)
	_, err := io.ReadFull(first, make([]byte, 7))
	assert.NilError(t, err)
	second, _ := open(600 << 10)
	_, err = io.ReadFull(second, make([]byte, 7))
	assert.ErrorIs(t, err, errReceiveBufferFull)
	small, _ := open(60 << 10)
	_, err = io.ReadFull(small, make([]byte, 7))
	assert.NilError(t, err)
	assert.NilError(t, far.Close())
	_, err = io.ReadAll(first)
	assert.NilError(t, err)
	assert.Equal(t, f.received.Load(), int64(0))
	third, _ := open(600 << 10)
	_, err = io.ReadFull(third, make([]byte, 7))
	assert.NilError(t, err)
	assert.NilError(t, third.Close())
	assert.Equal(t, f.received.Load(), int64(0))
}

package faultlink

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// dialEcho connects through a new link to an echo server.
func dialEcho(t *testing.T) (*Link, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c) // ends when the connection is closed
			}()
		}
	}()
	link, err := New(listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(link.Close)
	c, err := net.Dial("tcp4", link.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return link, c
}

// exchange sends one byte and waits for its echo.
func exchange(c net.Conn, timeout time.Duration) error {
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

// Guards against tests that pass because their links inject no faults.
func TestLinkInjectsFaults(t *testing.T) {
	for name, fault := range map[string]Fault{"forward": {HoldForward: true}, "back": {HoldBack: true}} {
		t.Run("holds "+name, func(t *testing.T) {
			link, c := dialEcho(t)
			assert.NilError(t, exchange(c, time.Second))
			link.SetFault(fault)
			assert.ErrorContains(t, exchange(c, 100*time.Millisecond), "timeout")
			link.SetFault(Fault{})
			_ = c.SetReadDeadline(time.Now().Add(time.Second))
			_, err := io.ReadFull(c, make([]byte, 1))
			assert.NilError(t, err)
		})
	}
	t.Run("delays", func(t *testing.T) {
		link, c := dialEcho(t)
		link.SetFault(Fault{Delay: 50 * time.Millisecond})
		begun := time.Now()
		assert.NilError(t, exchange(c, time.Second))
		assert.Assert(t, time.Since(begun) >= 100*time.Millisecond)
	})
	t.Run("resets", func(t *testing.T) {
		link, c := dialEcho(t)
		assert.NilError(t, exchange(c, time.Second))
		link.Reset()
		assert.Assert(t, exchange(c, time.Second) != nil)
	})
	t.Run("silences open connections", func(t *testing.T) {
		link, c := dialEcho(t)
		assert.NilError(t, exchange(c, time.Second))
		link.Silence()
		assert.ErrorContains(t, exchange(c, 100*time.Millisecond), "timeout")
		another, err := net.Dial("tcp4", link.Address())
		assert.NilError(t, err)
		defer another.Close()
		assert.NilError(t, exchange(another, time.Second))
	})
	t.Run("refuses", func(t *testing.T) {
		link, _ := dialEcho(t)
		link.SetFault(Fault{Refuse: true})
		c, err := net.Dial("tcp4", link.Address())
		assert.NilError(t, err)
		defer c.Close()
		assert.Assert(t, exchange(c, time.Second) != nil)
	})
}

// Guards against a link that shows a reset as an orderly close, which ends a response
// without framing.
func TestLinkPassesResetsOn(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	link, err := New(listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(link.Close)
	c, err := net.Dial("tcp4", link.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	server, err := listener.Accept()
	assert.NilError(t, err)
	_, err = server.Write([]byte("x"))
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(time.Second)))
	_, err = io.ReadFull(c, make([]byte, 1))
	assert.NilError(t, err)
	assert.NilError(t, server.(*net.TCPConn).SetLinger(0))
	assert.NilError(t, server.Close())
	_, err = c.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}

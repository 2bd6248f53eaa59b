package clientlimit

import (
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// Guards against connections to the address for peers that use up the descriptors of a VM, and
// against a peer in use that is closed for them.
func TestSilentConnectionsOfPeersLeave(t *testing.T) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	l := NewPeerListener(inner, 2, zap.NewNop())
	t.Cleanup(func() { _ = l.Close() })
	connect := func() (ours, theirs net.Conn) {
		ours, err := net.Dial("tcp4", inner.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = ours.Close() })
		theirs, err = l.Accept()
		assert.NilError(t, err)
		return ours, theirs
	}
	use := func(ours, theirs net.Conn) {
		_, err := ours.Write([]byte("a"))
		assert.NilError(t, err)
		_, err = io.ReadFull(theirs, make([]byte, 1))
		assert.NilError(t, err)
	}
	peer, accepted := connect()
	silent, _ := connect()
	use(peer, accepted)
	for range 3 {
		connect()
		assert.NilError(t, silent.SetReadDeadline(time.Now().Add(5*time.Second)))
		_, err = silent.Read(make([]byte, 1))
		assert.Equal(t, err, io.EOF)
		use(peer, accepted)
	}
}

// Guards against connections to the address for peers that close those of peers, which are
// silent between their messages.
func TestStrangersLeaveBeforePeers(t *testing.T) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	l := NewPeerListener(inner, 2, zap.NewNop())
	t.Cleanup(func() { _ = l.Close() })
	connect := func() (ours, theirs net.Conn) {
		ours, err := net.Dial("tcp4", inner.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = ours.Close() })
		theirs, err = l.Accept()
		assert.NilError(t, err)
		return ours, theirs
	}
	peer, accepted := connect()
	ConfirmPeer(accepted)
	for range 3 {
		connect()
	}
	assert.DeepEqual(t, l.Usage(), PeerUsage{Connections: 2, Closed: 2})
	_, err = accepted.Write([]byte("a"))
	assert.NilError(t, err)
	_, err = io.ReadFull(peer, make([]byte, 1))
	assert.NilError(t, err)
}

package exchange

import (
	"net"
	"net/http"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
)

// discardConn takes what is written.
type discardConn struct{ net.Conn }

func (discardConn) Write(b []byte) (int, error) { return len(b), nil }

// Guards against a second copy of a long body, which counts nowhere, while it is written.
func TestLongBodyIsNotCopied(t *testing.T) {
	c := &connection{Conn: discardConn{}, pool: NewPool()}
	req := Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, 8<<20)}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	done, err := c.write(req)
	assert.NilError(t, err)
	assert.NilError(t, <-done)
	runtime.ReadMemStats(&after)
	allocated := after.TotalAlloc - before.TotalAlloc
	assert.Assert(t, allocated < 1<<20, "%d bytes were allocated", allocated)
}

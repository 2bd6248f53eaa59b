package exchange

import (
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against idle connections that are closed because one request may use none.
func TestNewConnectionClosesIdleOnes(t *testing.T) {
	address := upstream(t, func(int, *http.Request) []byte { return ok("x") })
	p := NewPool()
	for _, fresh := range []bool{true, false, true} {
		req := get("1")
		if fresh {
			req.MaxIdle = 0
		}
		reply, err := p.Send(t.Context(), address, req)
		assert.NilError(t, err)
		assert.Equal(t, reply.Reused(), !fresh)
		_, err = io.Copy(io.Discard, reply)
		assert.NilError(t, err)
		reply.Close()
	}
	assert.Equal(t, p.OpenConnections(address), 2)
}

package exchange

import (
	"io"
	"net/http"
	"strconv"
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

// Guards against a request that is sent again on a connection with a response to it: an
// upstream may repeat that response, and its id is the same.
func TestConnectionIsReusedForTheSameRequest(t *testing.T) {
	address := upstream(t, func(int, *http.Request) []byte { return ok("x") })
	p := NewPool()
	for _, c := range []struct {
		id          string
		reused      bool
		connections int
	}{{"r1", false, 1}, {"r2", true, 1}, {"r1", false, 2}, {"r2", true, 2}, {"r2", false, 3}, {"r1", true, 3}} {
		req := get(c.id)
		req.ID = c.id
		reply, err := p.Send(t.Context(), address, req)
		assert.NilError(t, err)
		assert.Equal(t, reply.Reused(), c.reused, c.id)
		_, err = io.Copy(io.Discard, reply)
		assert.NilError(t, err)
		reply.Close()
		assert.Equal(t, p.OpenConnections(address), c.connections, c.id)
	}
}

// Guards against a connection whose list of requests grows without end, or forgets one
// while the connection is reused.
func TestConnectionForgetsARequest(t *testing.T) {
	address := upstream(t, func(int, *http.Request) []byte { return ok("x") })
	p := NewPool()
	for i := range maxConnectionRequests + 1 {
		req := get("1")
		req.ID = strconv.Itoa(i)
		_, err := roundTrip(t, p, address, req)
		assert.NilError(t, err)
		want := 1
		if i == maxConnectionRequests-1 {
			want = 0
		}
		assert.Equal(t, p.OpenConnections(address), want, i)
	}
}

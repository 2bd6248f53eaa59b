package exchange

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a connection that is reused after a response that was not asked for.
func TestConnectionIsReusedAfterAnInterimResponse(t *testing.T) {
	address := upstream(t, func(int, *http.Request) []byte {
		return append([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: a\r\n\r\n"), ok("x")...)
	})
	p := NewPool()
	body, err := roundTrip(t, p, address, get("1"))
	assert.NilError(t, err)
	assert.Equal(t, body, "x")
	assert.Equal(t, p.OpenConnections(address), 0)
}

// Guards against bytes of another protocol that are read as a response.
func TestChangeOfProtocolIsSkipped(t *testing.T) {
	address := upstream(t, func(int, *http.Request) []byte {
		return append([]byte("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: a\r\n\r\n"), ok("x")...)
	})
	p := NewPool()
	_, err := roundTrip(t, p, address, get("1"))
	assert.ErrorContains(t, err, "101")
	assert.Equal(t, p.OpenConnections(address), 0)
}

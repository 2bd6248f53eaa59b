package entrytest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/platform/standin"
)

// Guards against timeouts of the configuration in force that the server for clients ignores.
func TestTimeoutsOfTheConfigurationApply(t *testing.T) {
	t.Parallel()
	s := New(t)
	s.Upstream("d1", "desk", "v1", standin.Behaviour{})
	vm := s.Start()
	s.Eventually("served", func() bool { return s.Call(vm, "/look/x", standin.Key).Status == http.StatusOK })
	open := func(text string) net.Conn {
		conn, err := net.Dial("tcp4", vm.Settings.Front)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, text)
		assert.NilError(t, err)
		return conn
	}
	kept := open("GET /none HTTP/1.1\r\nHost: h\r\n\r\n")
	reader := bufio.NewReader(kept)
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	configuration := standin.Configuration(2, "desk")
	configuration["Limits"] = map[string]any{"MaxBodyBytes": 1 << 20, "HeaderTimeoutMs": 400, "IdleTimeoutMs": 700}
	s.Store.Put("op", "config", configuration)
	// Without the change, the idle connection is closed after 60 s and the other after 5 s.
	assert.NilError(t, kept.SetReadDeadline(time.Now().Add(4*time.Second)))
	_, err = reader.ReadByte()
	assert.Equal(t, err, io.EOF)
	unfinished := open("GET /none HTTP/1.1\r\n")
	assert.NilError(t, unfinished.SetReadDeadline(time.Now().Add(4*time.Second)))
	_, err = unfinished.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
}

package e2e_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/e2e"
)

// forwardVariable is the environment variable that makes the test binary run as a
// forwarder. Its value is the URL of the engine to which requests are forwarded.
const forwardVariable = "SAVORYSHIFT_E2E_FORWARD"

// startForwarder starts a forwarder as a separate process and returns its URL.
func startForwarder(t testing.TB, target string) string {
	self, err := os.Executable()
	assert.NilError(t, err)
	cmd := exec.Command(self)
	cmd.Env = append(os.Environ(), forwardVariable+"="+target)
	p := e2e.Start(t, cmd)
	e2e.Eventually(t, "the forwarder listens", func() bool { return strings.HasSuffix(p.Output(), "\n") })
	return strings.TrimSpace(p.Output())
}

// forward runs a minimal reverse proxy with net/http, without any checks, and returns
// an exit code.
func forward(target string) int {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1024}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 1
	}
	fmt.Printf("http://%s\n", listener.Addr())
	_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The server closes the body of a request when its response begins.
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		out, err := http.NewRequestWithContext(r.Context(), r.Method, target+r.URL.Path, bytes.NewReader(body))
		if err != nil {
			return
		}
		out.Header = r.Header
		resp, err := transport.RoundTrip(out)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		for name, values := range resp.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(resp.StatusCode)
		buf := make([]byte, 4096)
		for err == nil {
			var n int
			n, err = resp.Body.Read(buf)
			_, _ = w.Write(buf[:n])
			if resp.ContentLength < 0 {
				_ = http.NewResponseController(w).Flush()
			}
		}
		if err != io.EOF {
			fmt.Fprintln(os.Stderr, err)
			panic(http.ErrAbortHandler) // the caller must see that the response is truncated
		}
	}))
	return 0
}

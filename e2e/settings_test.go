package e2e_test

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/e2e"
)

// Guards against a daemon that starts with an invalid settings file, or binds a listener
// before it has validated the whole file. The test occupies the ports, so that an
// attempt to bind one ends with another message and exit code. The last case, a valid
// file, is the negative control.
func TestBadSettings(t *testing.T) {
	t.Parallel()
	data, err := os.ReadFile("../examples/local/entry-0.json")
	assert.NilError(t, err)
	good := string(data)
	for _, port := range []string{"7301", "7302", "7303"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer listener.Close()
		good = strings.ReplaceAll(good, "127.0.0.1:"+port, listener.Addr().String())
	}
	with := func(member string) string { return strings.Replace(good, "{", "{"+member+",", 1) }
	for _, tc := range []struct {
		file, code string
		wants      []string
	}{
		{with(`"periods":{"tick_ms":5}`), "2", []string{"/periods/tick_ms", "5", "10 to 1000 ms"}},
		{with(`"bounds":{"body_bytes":1}`), "2", []string{"/bounds/body_bytes", "1", "1024 to 67108864 bytes"}},
		{with(`"unknown":1`), "2", []string{"/unknown"}},
		{strings.Replace(good, "entry-0", "entry 0", 1), "2", []string{"/vm", "entry 0", "1 to 64 letters"}},
		{good, "1", []string{"address already in use"}},
	} {
		path := filepath.Join(t.TempDir(), "settings.json")
		assert.NilError(t, os.WriteFile(path, []byte(tc.file), 0o600))
		p := e2e.Start(t, exec.Command(binaries.Daemon, "--settings", path))
		code := p.ExitCode()
		assert.Equal(t, string(rune('0'+code)), tc.code, p.Output())
		for _, want := range tc.wants {
			assert.Assert(t, strings.Contains(p.Output(), want), "no %q in %s", want, p.Output())
		}
		assert.Equal(t, strings.Contains(p.Output(), "in use"), code == 1, p.Output())
	}
}

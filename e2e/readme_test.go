package e2e_test

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/e2e"
)

// manual is the README's way to run the system by hand, with every address
// replaced by a free one, so that tests can run side by side.
type manual struct {
	t         *testing.T
	dir       string
	addresses map[string]string
	exports   string
	// curls holds the answers to the requests, in order.
	curls []string
}

var fixedAddress = regexp.MustCompile(`127\.0\.0\.1:7\d{3}`)

func (m *manual) replaced(text string) string {
	return fixedAddress.ReplaceAllStringFunc(text, func(a string) string {
		if m.addresses[a] == "" {
			m.addresses[a] = e2e.FreePort(m.t)
		}
		return m.addresses[a]
	})
}

func newManual(t *testing.T) *manual {
	m := &manual{t: t, dir: t.TempDir(), addresses: map[string]string{}}
	assert.NilError(t, os.CopyFS(filepath.Join(m.dir, "examples"), os.DirFS("../examples")))
	for _, name := range []string{"entry-0.json", "entry-1.json", "tree.json"} {
		path := filepath.Join(m.dir, "examples/local", name)
		data, err := os.ReadFile(path)
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(path, []byte(m.replaced(string(data))), 0o600))
	}
	assert.NilError(t, os.Symlink(filepath.Dir(binaries.Daemon), filepath.Join(m.dir, "bin")))
	return m
}

// commands returns the commands of the section "Run it by hand".
func (m *manual) commands() []string {
	data, err := os.ReadFile("../README.md")
	assert.NilError(m.t, err)
	_, section, found := strings.Cut(string(data), "## Run it by hand")
	assert.Assert(m.t, found)
	section, _, _ = strings.Cut(section, "\n## ")
	var commands []string
	for i, block := range strings.Split(section, "```") {
		if i%2 == 1 {
			text := strings.TrimPrefix(block, "sh\n")
			commands = append(commands, strings.Split(strings.TrimSpace(strings.ReplaceAll(text, "\\\n", "")), "\n")...)
		}
	}
	return commands
}

// run carries out one command in a shell. Servers are left running; everything
// else must succeed.
func (m *manual) run(command string) {
	command = m.replaced(command)
	switch {
	case strings.HasPrefix(command, "go build"):
		assert.Equal(m.t, command, "go build -o bin/ ./cmd/...") // done once for all tests
		return
	case strings.HasPrefix(command, "export "):
		m.exports += command + "; "
		return
	}
	p := m.start(command)
	if listen := m.listens(command); listen != "" {
		e2e.Eventually(m.t, command+" listens", func() bool {
			conn, err := net.Dial("tcp", listen)
			if err == nil {
				_ = conn.Close()
			}
			return err == nil || !p.Running()
		})
		assert.Assert(m.t, p.Running(), p.Output())
		return
	}
	assert.Equal(m.t, p.ExitCode(), 0, "%s: %s", command, p.Output())
	if strings.HasPrefix(command, "curl") {
		m.curls = append(m.curls, p.Output())
	}
}

func (m *manual) start(command string) *e2e.Process {
	cmd := exec.Command("sh", "-c", m.exports+"exec "+command)
	cmd.Dir = m.dir
	return e2e.Start(m.t, cmd)
}

// listens returns the address of a server command.
func (m *manual) listens(command string) string {
	if strings.HasPrefix(command, "bin/savoryshift") {
		return m.addresses["127.0.0.1:7302"]
	}
	_, rest, _ := strings.Cut(command, "--listen ")
	address, _, _ := strings.Cut(rest, " ")
	return address
}

// Guards against README steps that do not work as they are written.
func TestReadmeByHand(t *testing.T) {
	t.Parallel()
	m := newManual(t)
	for _, command := range m.commands() {
		m.run(command)
	}
	assert.Equal(t, len(m.curls), 2)
	assert.Assert(t, strings.Contains(m.curls[0], `"finish_reason":"stop"`), m.curls[0])
	assert.Assert(t, strings.Contains(m.curls[1], `"beacon":"b-17"`), m.curls[1])
	m.run(m.commands()[len(m.commands())-1])
	assert.Equal(t, m.curls[2], m.curls[1], "the repeated booking has another answer")
}

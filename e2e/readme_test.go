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

// readmeRun executes the commands of the README for running the system by hand. It
// replaces every address by a free one, so that tests can run in parallel.
type readmeRun struct {
	t         *testing.T
	dir       string
	addresses map[string]string // free address by address in the README
	exports   string            // export commands, which precede every other command
	// curlOutputs holds the responses to the requests, in order.
	curlOutputs []string
}

var fixedAddress = regexp.MustCompile(`127\.0\.0\.1:7\d{3}`)

// replaceAddresses replaces the addresses in text, each always by the same free one.
func (m *readmeRun) replaceAddresses(text string) string {
	return fixedAddress.ReplaceAllStringFunc(text, func(a string) string {
		if m.addresses[a] == "" {
			m.addresses[a] = e2e.FreePort(m.t)
		}
		return m.addresses[a]
	})
}

// newReadmeRun prepares a directory with the examples and the binaries.
func newReadmeRun(t *testing.T) *readmeRun {
	m := &readmeRun{t: t, dir: t.TempDir(), addresses: map[string]string{}}
	assert.NilError(t, os.CopyFS(filepath.Join(m.dir, "examples"), os.DirFS("../examples")))
	for _, name := range []string{"entry-0.json", "entry-1.json", "tree.json"} {
		path := filepath.Join(m.dir, "examples/local", name)
		data, err := os.ReadFile(path)
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(path, []byte(m.replaceAddresses(string(data))), 0o600))
	}
	assert.NilError(t, os.Symlink(filepath.Dir(binaries.Daemon), filepath.Join(m.dir, "bin")))
	return m
}

// commands returns the commands of the README section "Run it by hand".
func (m *readmeRun) commands() []string {
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

// run executes one command in a shell. Servers are left running; any other command must
// succeed.
func (m *readmeRun) run(command string) {
	command = m.replaceAddresses(command)
	switch {
	case strings.HasPrefix(command, "go build"):
		assert.Equal(m.t, command, "go build -o bin/ ./cmd/...") // TestMain has built the binaries
		return
	case strings.HasPrefix(command, "export "):
		m.exports += command + "; "
		return
	}
	p := m.start(command)
	if listen := m.listenAddress(command); listen != "" {
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
		m.curlOutputs = append(m.curlOutputs, p.Output())
	}
}

func (m *readmeRun) start(command string) *e2e.Process {
	cmd := exec.Command("sh", "-c", m.exports+"exec "+command)
	cmd.Dir = m.dir
	return e2e.Start(m.t, cmd)
}

// listenAddress returns the address on which a command listens, or "" if it is no
// server.
func (m *readmeRun) listenAddress(command string) string {
	if strings.HasPrefix(command, "bin/savoryshift") {
		return m.addresses["127.0.0.1:7302"]
	}
	_, rest, _ := strings.Cut(command, "--listen ")
	address, _, _ := strings.Cut(rest, " ")
	return address
}

// Guards against README steps that do not work as written.
func TestReadmeByHand(t *testing.T) {
	t.Parallel()
	m := newReadmeRun(t)
	for _, command := range m.commands() {
		m.run(command)
	}
	assert.Equal(t, len(m.curlOutputs), 2)
	assert.Assert(t, strings.Contains(m.curlOutputs[0], `"finish_reason":"stop"`), m.curlOutputs[0])
	assert.Assert(t, strings.Contains(m.curlOutputs[1], `"beacon":"b-17"`), m.curlOutputs[1])
	m.run(m.commands()[len(m.commands())-1])
	assert.Equal(t, m.curlOutputs[2], m.curlOutputs[1], "the repeated booking has another answer")
}

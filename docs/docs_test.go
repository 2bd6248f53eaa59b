package docs_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	// proofRow matches a table row of proofs.md and captures the package and the
	// name of the test.
	proofRow = regexp.MustCompile("^\\| .* \\| .* \\| `([a-z0-9/]+):(Test[A-Za-z0-9_]+)` \\| .* \\|$")
	// link matches a Markdown link to a file and captures the path.
	link = regexp.MustCompile(`\]\(([^)#:]+)\)`)
)

// Guards against a row of proofs.md that names a test that does not exist.
func TestProofsNameExistingTests(t *testing.T) {
	page, err := os.ReadFile("proofs.md")
	assert.NilError(t, err)
	rows := 0
	for line := range strings.Lines(string(page)) {
		match := proofRow.FindStringSubmatch(strings.TrimSpace(line))
		if match == nil {
			assert.Assert(t, !strings.Contains(line, ":Test"), "malformed row: %s", line)
			continue
		}
		rows++
		assert.Assert(t, hasTest(t, match[1], match[2]), "%s has no %s", match[1], match[2])
	}
	assert.Assert(t, rows > 0)
}

// hasTest reports whether a test file of the package declares the test.
func hasTest(t *testing.T, pkg, name string) bool {
	files, err := filepath.Glob(filepath.Join("..", pkg, "*_test.go"))
	assert.NilError(t, err)
	for _, file := range files {
		source, err := os.ReadFile(file)
		assert.NilError(t, err)
		if strings.Contains(string(source), "func "+name+"(") {
			return true
		}
	}
	return false
}

// Guards against links to files that do not exist.
func TestLinksLeadSomewhere(t *testing.T) {
	pages, err := filepath.Glob("*.md")
	assert.NilError(t, err)
	decisions, err := filepath.Glob("decisions/*.md")
	assert.NilError(t, err)
	for _, page := range append(append(pages, decisions...), "../README.md") {
		text, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, match := range link.FindAllStringSubmatch(string(text), -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(page), match[1]))
			assert.NilError(t, err, "%s links to %s", page, match[1])
		}
	}
}

package knownred

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an entry that skips other tests than the one that it names.
func TestOnlyTheListedTestIsSkipped(t *testing.T) {
	path := filepath.Join(t.TempDir(), listName)
	assert.NilError(t, os.WriteFile(path, []byte("text\nbench:TestA/x | command | seed 1 | seen | issue 5\n"), 0o600))
	for name, listed := range map[string]bool{
		"bench:TestA/x": true, "bench:TestA": false, "bench:TestA/xy": false, "policy:TestA/x": false, "text": false,
	} {
		_, ok := findEntry(path, name)
		assert.Equal(t, ok, listed, name)
	}
	_, ok := findEntry(filepath.Join(t.TempDir(), "none"), "bench:TestA/x")
	assert.Assert(t, !ok)
}

package knownred

import (
	"bufio"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	// listName is the file in the root of the repository.
	listName = "KNOWN-RED.txt"
	// runAll is the environment variable that makes listed tests run.
	runAll = "KNOWN_RED"
)

// PassOver skips t when the list has an entry for it. An entry is a line that
// begins with the package and the name of the test, as in
// "bench:TestCalmTargets/trust", followed by a vertical bar.
func PassOver(t testing.TB, pkg string) {
	t.Helper()
	if os.Getenv(runAll) == "run" {
		return
	}
	if entry, ok := lookUp(rootFile(), pkg+":"+t.Name()); ok {
		t.Skip("known red: " + entry)
	}
}

// rootFile finds the list in the nearest folder above that has go.work.
func rootFile() string {
	dir, err := os.Getwd()
	if err != nil {
		return listName
	}
	for dir != filepath.Dir(dir) {
		if _, err := os.Stat(filepath.Join(dir, "go.work")); err == nil {
			break
		}
		dir = filepath.Dir(dir)
	}
	return filepath.Join(dir, listName)
}

// lookUp returns the entry of a test.
func lookUp(path, name string) (string, bool) {
	file, err := os.Open(path)
	if err != nil {
		return "", false // without a list every test runs
	}
	defer file.Close()
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		listed, _, found := strings.Cut(scanner.Text(), "|")
		if found && strings.TrimSpace(listed) == name {
			return scanner.Text(), true
		}
	}
	return "", false
}

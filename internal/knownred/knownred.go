package knownred

import (
	"bufio"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	// listName is the name of the list in the root of the repository.
	listName = "KNOWN-RED.txt"
	// runListedVariable is the environment variable that makes listed tests run
	// when its value is "run".
	runListedVariable = "KNOWN_RED"
)

// SkipListed skips t if the list has an entry for it and the environment variable
// KNOWN_RED is not "run". An entry is a line that begins with the package and the
// name of the test, as in "bench:TestCalmTargets/trust", followed by a vertical
// bar.
func SkipListed(t testing.TB, pkg string) {
	t.Helper()
	if os.Getenv(runListedVariable) == "run" {
		return
	}
	if entry, ok := findEntry(listPath(), pkg+":"+t.Name()); ok {
		t.Skip("known red: " + entry)
	}
}

// listPath returns the path of the list in the nearest folder that contains
// go.work, from the working directory upwards.
func listPath() string {
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

// findEntry returns the line of the list that names a test.
func findEntry(path, name string) (string, bool) {
	file, err := os.Open(path)
	if err != nil {
		return "", false // without a readable list, every test runs
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

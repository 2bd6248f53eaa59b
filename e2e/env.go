package e2e

import (
	"os"
	"strconv"
	"testing"
)

// EnvInt returns the value of an environment variable with which a test is run by hand, or
// fallback if it is not set.
func EnvInt(t testing.TB, variable string, fallback int) int {
	t.Helper()
	text := os.Getenv(variable)
	if text == "" {
		return fallback
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", variable, err)
	}
	return n
}

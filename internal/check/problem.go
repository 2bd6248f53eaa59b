package check

import (
	"fmt"
	"slices"
	"strings"
)

// Problem describes one invalid value of a document.
type Problem struct {
	// Path is the JSON pointer (RFC 6901) of the value; empty for the whole
	// document.
	Path string `json:"path"`
	// Value is the rejected value, or a description of what is wrong with it.
	Value string `json:"value"`
	// Allowed describes the values that are accepted.
	Allowed string `json:"allowed"`
}

func (p Problem) String() string {
	path := p.Path
	if path == "" {
		path = "/"
	}
	return fmt.Sprintf("%s: %s is not allowed; allowed: %s", path, p.Value, p.Allowed)
}

// Problems is an error that lists all problems of a document.
type Problems []Problem

func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Collector accumulates the problems that are found in a document.
type Collector struct{ problems Problems }

// Add appends one problem. A string value is quoted, so that an empty one is
// visible. With args, allowed is a format string.
func (c *Collector) Add(path string, value any, allowed string, args ...any) {
	text := fmt.Sprint(value)
	if s, ok := value.(string); ok {
		text = fmt.Sprintf("%q", s)
	}
	if len(args) > 0 {
		allowed = fmt.Sprintf(allowed, args...)
	}
	c.problems = append(c.problems, Problem{Path: path, Value: text, Allowed: allowed})
}

// Err returns the problems ordered by path, or nil when there are none.
func (c *Collector) Err() error {
	if len(c.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(c.problems, func(a, b Problem) int { return strings.Compare(a.Path, b.Path) })
	return c.problems
}

var pointerEscaper = strings.NewReplacer("~", "~0", "/", "~1")

// Pointer appends reference tokens to a JSON pointer.
func Pointer(base string, tokens ...string) string {
	for _, t := range tokens {
		base += "/" + pointerEscaper.Replace(t)
	}
	return base
}

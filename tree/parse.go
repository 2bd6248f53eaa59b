package tree

import (
	"github.com/savoryshift/savoryshift/internal/check"
)

// Problem is one invalid value of a tree: its JSON pointer, the value and what is
// allowed instead.
type Problem = check.Problem

// Problems is the error returned by Parse, Validate and Compile.
type Problems = check.Problems

// Parse decodes a tree strictly: unknown and duplicate keys, wrong types, null
// and trailing data are errors. It doesn't validate values.
func Parse(data []byte) (Tree, error) {
	var t Tree
	if err := check.Decode(data, &t); err != nil {
		return Tree{}, err
	}
	return t, nil
}

// ParseValid decodes a tree and validates it.
func ParseValid(data []byte) (Tree, error) {
	t, err := Parse(data)
	if err != nil {
		return Tree{}, err
	}
	return t, Validate(t)
}

// Build decodes, validates and compiles a tree.
func Build(data []byte, revision int64, hash string) (*Snapshot, error) {
	t, err := Parse(data)
	if err != nil {
		return nil, err
	}
	return Compile(t, revision, hash)
}

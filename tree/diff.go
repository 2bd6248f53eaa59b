package tree

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"

	"github.com/savoryshift/savoryshift/internal/check"
)

// Difference is one value that differs between two documents. Old is empty when
// the value was added, New when it was removed.
type Difference struct {
	Path string          `json:"path"`
	Old  json.RawMessage `json:"old,omitempty"`
	New  json.RawMessage `json:"new,omitempty"`
}

// Diff lists the differing values of two JSON documents in path order. Arrays
// are compared as a whole. An empty document counts as {}.
func Diff(old, new []byte) ([]Difference, error) {
	a, err := documentOrEmpty(old)
	if err != nil {
		return nil, err
	}
	b, err := documentOrEmpty(new)
	if err != nil {
		return nil, err
	}
	return diffValue([]Difference{}, "", a, b)
}

func documentOrEmpty(data []byte) (any, error) {
	if len(data) == 0 {
		return map[string]any{}, nil
	}
	return check.Value(data)
}

// absent represents a value that is missing from a document.
type absent struct{}

func diffValue(out []Difference, path string, a, b any) ([]Difference, error) {
	objectA, okA := a.(map[string]any)
	objectB, okB := b.(map[string]any)
	if okA && okB {
		return diffObject(out, path, objectA, objectB)
	}
	if reflect.DeepEqual(a, b) {
		return out, nil
	}
	d := Difference{Path: path}
	var err error
	if d.Old, err = rawJSON(a); err != nil {
		return nil, err
	}
	if d.New, err = rawJSON(b); err != nil {
		return nil, err
	}
	return append(out, d), nil
}

func diffObject(out []Difference, path string, a, b map[string]any) ([]Difference, error) {
	keys := slices.Sorted(maps.Keys(a))
	for key := range b {
		if _, ok := a[key]; !ok {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		var err error
		if out, err = diffValue(out, check.Pointer(path, key), valueOrAbsent(a, key), valueOrAbsent(b, key)); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func valueOrAbsent(object map[string]any, key string) any {
	if v, ok := object[key]; ok {
		return v
	}
	return absent{}
}

func rawJSON(value any) (json.RawMessage, error) {
	if value == (absent{}) {
		return nil, nil
	}
	return encode(value)
}

package tree

import (
	"bytes"
	"encoding/json"

	"github.com/savoryshift/savoryshift/internal/check"
)

// ApplyPatch applies an RFC 7386 merge patch to the JSON of a tree. An empty
// tree counts as {}. The result has sorted keys, so that every daemon computes
// the same bytes from the same patches.
func ApplyPatch(tree, patch []byte) ([]byte, error) {
	if len(bytes.TrimSpace(tree)) == 0 {
		tree = []byte("{}")
	}
	target, err := check.Value(tree)
	if err != nil {
		return nil, err
	}
	change, err := check.Value(patch)
	if err != nil {
		return nil, err
	}
	return encode(merge(target, change))
}

func merge(target, patch any) any {
	changes, ok := patch.(map[string]any)
	if !ok {
		return patch
	}
	object, ok := target.(map[string]any)
	if !ok {
		object = map[string]any{}
	}
	for key, value := range changes {
		if value == nil {
			delete(object, key)
			continue
		}
		object[key] = merge(object[key], value)
	}
	return object
}

func encode(value any) ([]byte, error) {
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(value); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(out.Bytes(), []byte("\n")), nil
}

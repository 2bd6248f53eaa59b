package tree

import (
	"bytes"
	"encoding/json"

	"github.com/savoryshift/savoryshift/internal/check"
)

// ApplyPatch applies an RFC 7386 merge patch to the JSON of a tree. An empty
// tree counts as {}. The objects that the patch changes have sorted keys in the
// result, so that every daemon computes the same bytes from the same patches.
// Values that the patch doesn't name are copied without decoding.
func ApplyPatch(tree, patch []byte) ([]byte, error) {
	if len(bytes.TrimSpace(tree)) == 0 {
		tree = []byte("{}")
	}
	if !json.Valid(tree) {
		_, err := check.Value(tree)
		return nil, err
	}
	change, err := check.Value(patch)
	if err != nil {
		return nil, err
	}
	merged, err := merge(tree, change)
	if err != nil {
		return nil, err
	}
	return encode(merged)
}

// merge returns the value that results from a patch of target, ready for
// encoding.
func merge(target json.RawMessage, patch any) (any, error) {
	changes, ok := patch.(map[string]any)
	if !ok {
		return patch, nil
	}
	object := map[string]json.RawMessage{}
	if trimmed := bytes.TrimSpace(target); len(trimmed) > 0 && trimmed[0] == '{' {
		if err := json.Unmarshal(target, &object); err != nil {
			return nil, err
		}
	}
	merged := make(map[string]any, len(object)+len(changes))
	for key, value := range object {
		merged[key] = value
	}
	for key, value := range changes {
		if value == nil {
			delete(merged, key)
			continue
		}
		var err error
		if merged[key], err = merge(object[key], value); err != nil {
			return nil, err
		}
	}
	return merged, nil
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

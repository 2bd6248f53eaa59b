package check

import (
	"reflect"
	"strings"
	"testing"
)

// FuzzValue guards against a quick decoder that accepts what the strict one
// refuses, or decodes it differently.
func FuzzValue(f *testing.F) {
	for _, seed := range []string{`{"a":{"b":[1,"x:{",null]}}`, `{"a":1,"a":2}`, `{"a\u0000":1,"\"":":"}`, `{"\ud800":1,"\ufffd":2}`,
		`{} {}`, `[`, `"`, `1e999`, strings.Repeat("[", 70) + strings.Repeat("]", 70)} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		quick, ok := quickValue(data)
		if !ok {
			return
		}
		if slow, err := tokenValue(data); err != nil || !reflect.DeepEqual(quick, slow) {
			t.Fatalf("%q: quick %v, strict %v (%v)", data, quick, slow, err)
		}
	})
}

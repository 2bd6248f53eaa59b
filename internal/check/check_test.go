package check

import (
	"reflect"
	"strings"
	"testing"
)

// Guards against decodeFast accepting a document that decodeTokens rejects, or
// decoding it to a different value.
func FuzzValue(f *testing.F) {
	for _, seed := range []string{`{"a":{"b":[1,"x:{",null]}}`, `{"a":1,"a":2}`, `{"a\u0000":1,"\"":":"}`, `{"\ud800":1,"\ufffd":2}`,
		`{} {}`, `[`, `"`, `1e999`, strings.Repeat("[", 70) + strings.Repeat("]", 70)} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		fast, ok := decodeFast(data)
		if !ok {
			return
		}
		if strict, err := decodeTokens(data); err != nil || !reflect.DeepEqual(fast, strict) {
			t.Fatalf("%q: decodeFast %v, decodeTokens %v (%v)", data, fast, strict, err)
		}
	})
}

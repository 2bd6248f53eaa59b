package check

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against documents whose decoded size is taken for too small, and against texts whose
// commas count as elements.
func TestCountItems(t *testing.T) {
	for text, want := range map[string]int{
		`{}`:                             2,
		`{"a":1,"b":2}`:                  3,
		`[{},{},{}]`:                     7,
		`{"a":"1,2,3 {[ \" , \\","b":0}`: 3,
		`"`:                              1,
		`"\`:                             1,
	} {
		assert.Equal(t, CountItems([]byte(text)), want, text)
	}
}

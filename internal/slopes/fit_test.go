package main

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against points that are assigned to the wrong series, a repeated point
// for which not the lowest value is kept, and a residual that hides an outlier.
func TestFit(t *testing.T) {
	all, err := parse(strings.NewReader(`goos: linux
BenchmarkA/kind=x/n=10-1   	 5 	 25 ns/op	 100 B/op
BenchmarkA/kind=x/n=10-1   	 5 	 20 ns/op	 100 B/op
BenchmarkA/kind=x/n=20-1   	 5 	 40 ns/op	 100 B/op
BenchmarkA/kind=x/n=30     	 5 	 90 ns/op	 100 B/op
BenchmarkB/n=1             	 5 	 1 ns/op
BenchmarkC/1/cut=false-10  	 5 	 1 ms
BenchmarkC/2/cut=false-10  	 5 	 2 ms
BenchmarkC/3/cut=false-10  	 5 	 3 ms
PASS
`))
	assert.NilError(t, err)
	var rows []string
	for _, s := range all {
		if l, ok := fit(s); ok {
			rows = append(rows, l.String())
		}
	}
	assert.DeepEqual(t, rows, []string{
		"| A/kind=x | ns/op | 10: 20, 20: 40, 30: 90 | 3.5 per n + -20 | 11% |",
		"| A/kind=x | B/op | 10: 100, 20: 100, 30: 100 | 0 per n + 100 | 0% |",
		"| C/cut=false | ms | 1: 1, 2: 2, 3: 3 | 1 per n + 0 | 0% |",
	})
}

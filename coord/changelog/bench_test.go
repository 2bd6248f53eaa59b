package changelog_test

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/coord/changelog"
	"github.com/savoryshift/savoryshift/coord/memstore"
)

// BenchmarkAppend reports the table reads and writes per appended change for
// several log lengths.
func BenchmarkAppend(b *testing.B) {
	for _, length := range []int{16, 128, 1024} {
		b.Run(fmt.Sprintf("changes=%d", length), func(b *testing.B) {
			m := memstore.New()
			l := changelog.New(changelog.Options{Table: m, Objects: m.Objects()})
			appendTo(b, l, 0, length, 100)
			before, n := m.Counts(), 0
			for b.Loop() {
				appendTo(b, l, length+n, 1, 100)
				n++
			}
			after := m.Counts()
			b.ReportMetric(float64(after.Reads-before.Reads)/float64(n), "reads/change")
			b.ReportMetric(float64(after.Writes-before.Writes)/float64(n), "writes/change")
		})
	}
}

// BenchmarkRow reports the size of the row of one change for several patch
// sizes.
func BenchmarkRow(b *testing.B) {
	for _, patchBytes := range []int{60, 600, 6000} {
		b.Run(fmt.Sprintf("patch=%d", patchBytes), func(b *testing.B) {
			m, size := memstore.New(), 0
			l := changelog.New(changelog.Options{Table: m, Objects: m.Objects()})
			appendTo(b, l, 0, 1, patchBytes)
			for b.Loop() {
				rows, err := m.Scan(b.Context(), "config/change/", "", 1)
				assert.NilError(b, err)
				size = len(rows[0].Key) + len(rows[0].Value)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

func appendTo(b *testing.B, l *changelog.Log, base, n, patchBytes int) {
	for i := base; i < base+n; i++ {
		body := fmt.Appendf(nil, `{"a":%q}`, fmt.Sprintf("%0*d", patchBytes, i))
		_, err := l.Append(context.Background(), changelog.Change{ID: fmt.Sprint(i), Author: "operator", Base: int64(i), Patch: body})
		assert.NilError(b, err)
	}
}

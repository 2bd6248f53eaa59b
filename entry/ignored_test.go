package entry

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/mirror"
)

// Guards against log lines for each malformed row with each change of its table, although
// the row has not changed.
func TestMalformedRowsAreLoggedAgain(t *testing.T) {
	core, lines := observer.New(zap.WarnLevel)
	e := New(Options{Log: zap.New(core)})
	rows := map[string]mirror.Row{}
	for _, key := range []string{"rollout/a", "rollout/b", "progress/a", "progress/b", "c"} {
		rows[key] = mirror.Row{Key: key, Revision: 1}
	}
	change := func(revision int64) {
		now := time.Now()
		c := mirror.Change{Copy: mirror.Copy{Rows: rows, Revision: revision}, Source: mirror.StoreFeed, At: now, ConfirmedAt: now}
		e.upstreamsChanged(c)
		e.ordersChanged(c)
		e.statusChanged(c)
	}
	for revision := range int64(100) {
		change(revision + 1)
	}
	// Five registrations, two orders and two rows of progress.
	assert.Equal(t, lines.Len(), 9, "%v", lines.All()[:min(20, lines.Len())])
	rows["c"] = mirror.Row{Key: "c", Value: []byte("{}"), Revision: 101}
	change(101)
	assert.Equal(t, lines.Len(), 10)
	assert.Equal(t, lines.All()[9].ContextMap()["revision"], int64(101))
	var text bytes.Buffer
	e.metrics.Write(&text)
	for table, n := range map[string]int{"upstreams": 5, "orders": 2, "status": 2} {
		assert.Assert(t, strings.Contains(text.String(), fmt.Sprintf("savoryshift_rows_ignored{table=%q} %d\n", table, n)), text.String())
	}
	clear(rows)
	change(102)
	text.Reset()
	e.metrics.Write(&text)
	assert.Assert(t, strings.Contains(text.String(), `savoryshift_rows_ignored{table="upstreams"} 0`), text.String())
}

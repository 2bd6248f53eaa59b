package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A reader whose connection to the store is silent must take a newer table from
// another zone, though the peers of its own zone are as far behind as itself and
// speak in between.
func TestBehindIsRememberedBetweenPeers(t *testing.T) {
	var tab table
	begin := time.Now()
	_, behind := tab.behindSince(7, 5, begin)
	assert.Assert(t, behind)
	_, behind = tab.behindSince(5, 5, begin.Add(100*time.Millisecond))
	assert.Assert(t, !behind, "a peer that has nothing newer cannot help")
	since, behind := tab.behindSince(8, 5, begin.Add(500*time.Millisecond))
	assert.Assert(t, behind)
	assert.Equal(t, since, begin, "known for half a second")

	// Once the own copy has caught up, the next newer revision counts anew.
	later := begin.Add(time.Second)
	_, _ = tab.behindSince(8, 8, later)
	since, behind = tab.behindSince(9, 8, later)
	assert.Assert(t, behind && since.Equal(later))
}

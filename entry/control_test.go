package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/mirror"
)

// Guards against a VM that never fetches a newer table from a peer in another zone
// while its own connection to the store hangs: reports of peers in its own zone,
// which are as far behind, must not reset the time since which a newer revision has
// been known.
func TestBehindIsRememberedBetweenPeers(t *testing.T) {
	var tab table
	begin := time.Now()
	_, behind := tab.behindSince(mirror.Position{Revision: 7}, mirror.Position{Revision: 5}, begin)
	assert.Assert(t, behind)
	_, behind = tab.behindSince(mirror.Position{Revision: 5}, mirror.Position{Revision: 5}, begin.Add(100*time.Millisecond))
	assert.Assert(t, !behind, "the peer has no newer revision")
	since, behind := tab.behindSince(mirror.Position{Revision: 8}, mirror.Position{Revision: 5}, begin.Add(500*time.Millisecond))
	assert.Assert(t, behind)
	assert.Equal(t, since, begin, "a newer revision has been known for 500 ms")

	// When the copy has caught up, the time is reset by the next newer revision.
	later := begin.Add(time.Second)
	_, _ = tab.behindSince(mirror.Position{Revision: 8}, mirror.Position{Revision: 8}, later)
	since, behind = tab.behindSince(mirror.Position{Revision: 9}, mirror.Position{Revision: 8}, later)
	assert.Assert(t, behind && since.Equal(later))
}

package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/upstream"
)

// Guards against hints that are kept after an eviction or a restart of the engine,
// and against a late eviction event that removes a newer hint.
func TestHintsFollowCacheEvents(t *testing.T) {
	h := newHints()
	index := map[string]int{"e1": 0, "e2": 1}
	h.add(7, "e1", 10*time.Second)
	h.add(7, "e2", 10*time.Second)
	evicted := upstream.CacheEvent{Kind: upstream.CacheEvicted, Prefix: "0000000000000007"}

	evicted.AgeMs = 5000 // before the hint
	h.applyEvents("e1", upstream.CacheEventsReply{Last: 3, Events: []upstream.CacheEvent{evicted}}, 12*time.Second)
	assert.Equal(t, len(h.view(index, 0)), 2)
	evicted.AgeMs = 1000
	h.applyEvents("e1", upstream.CacheEventsReply{Last: 4, Events: []upstream.CacheEvent{evicted}}, 12*time.Second)
	assert.Equal(t, len(h.view(index, 0)), 1)

	stored := upstream.CacheEvent{Kind: upstream.CacheStored, Prefix: "zz"}
	h.applyEvents("e1", upstream.CacheEventsReply{Last: 5, Events: []upstream.CacheEvent{stored}}, 12*time.Second)
	assert.Equal(t, len(h.view(index, 0)), 1) // the hash cannot be parsed
	h.applyEvents("e2", upstream.CacheEventsReply{Last: 9}, 12*time.Second)
	h.applyEvents("e2", upstream.CacheEventsReply{Last: 1}, 13*time.Second) // restarted
	assert.Equal(t, len(h.view(index, 0)), 0)
	for i := range 2 * maxHints {
		h.add(uint64(i), "e1", 0)
	}
	assert.Equal(t, len(h.view(index, 0)), maxHints)
}

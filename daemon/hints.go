package daemon

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/savoryshift/savoryshift/policy"
	"github.com/savoryshift/savoryshift/upstream"
)

const (
	// maxHints is the number of hints in a view, the newest ones. Up to twice as
	// many are stored, so that old ones are deleted rarely and many at once.
	maxHints = 4096
	// maxEventUpstreams is the number of upstreams up to which cache events are
	// read with each probe. Above it, hints come only from the answers that this
	// daemon receives, because the events of all engines would exceed the
	// traffic allowed for control.
	maxEventUpstreams = 64
)

// hint says that an engine may have a prompt prefix in its cache. Its time is on
// the clock of package policy.
type hint struct {
	prefix   uint64
	upstream string
	at       time.Duration
}

// hints stores which engines may have which prompt prefixes in their caches,
// from the answers that this daemon receives and from the cache events of the
// engines. Events arrive late and with gaps, so a hint can be wrong. It is safe
// for concurrent use.
type hints struct {
	mu         sync.Mutex
	list       []hint           // oldest first
	lastEvents map[string]int64 // number of the last event read, by engine
}

func newHints() *hints { return &hints{lastEvents: make(map[string]int64)} }

// add records that an engine had the prefix in its cache at the given time.
func (h *hints) add(prefix uint64, id string, at time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list = append(h.list, hint{prefix, id, at})
	if len(h.list) >= 2*maxHints {
		h.list = slices.Delete(h.list, 0, len(h.list)-maxHints)
	}
}

// evict removes the hints for a prefix that an engine has evicted, unless they
// are newer than the eviction.
func (h *hints) evict(prefix uint64, id string, at time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list = slices.DeleteFunc(h.list, func(k hint) bool {
		return k.prefix == prefix && k.upstream == id && k.at <= at
	})
}

// view returns the newest hints since the given time for the upstreams in index.
func (h *hints) view(index map[string]int, since time.Duration) []policy.PrefixHint {
	h.mu.Lock()
	defer h.mu.Unlock()
	newest := h.list[max(0, len(h.list)-maxHints):]
	list := make([]policy.PrefixHint, 0, len(newest))
	for _, k := range newest {
		if i, ok := index[k.upstream]; ok && k.at >= since {
			list = append(list, policy.PrefixHint{Prefix: k.prefix, Upstream: i, At: k.at})
		}
	}
	return list
}

// lastEvent returns the number of the last event that was read from an engine.
func (h *hints) lastEvent(id string) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastEvents[id]
}

// applyEvents updates the hints with the cache events of an engine. A lower
// event number than before means that the engine has restarted with an empty
// cache.
func (h *hints) applyEvents(id string, reply upstream.CacheEventsReply, now time.Duration) {
	h.mu.Lock()
	if reply.Last < h.lastEvents[id] {
		h.list = slices.DeleteFunc(h.list, func(k hint) bool { return k.upstream == id })
	}
	h.lastEvents[id] = reply.Last
	h.mu.Unlock()
	for _, e := range reply.Events {
		prefix, err := strconv.ParseUint(e.Prefix, 16, 64)
		if err != nil {
			continue // not a 64-bit hexadecimal hash
		}
		at := now - time.Duration(e.AgeMs)*time.Millisecond
		switch e.Kind {
		case upstream.CacheStored:
			h.add(prefix, id, at)
		case upstream.CacheEvicted:
			h.evict(prefix, id, at)
		}
	}
}

// readCacheEvents reads the new cache events of an engine.
func (c *control) readCacheEvents(ctx context.Context, id, url string) {
	reply, err := c.upstream.CacheEvents(ctx, url, c.routing.hints.lastEvent(id))
	if err == nil {
		c.routing.hints.applyEvents(id, reply, c.routing.now())
	}
}

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
	// maxHints is the number of prefixes that a view gets, the newest. Up to
	// twice as many are kept, so that the list is seldom moved.
	maxHints = 4096
	// eventUpstreams is the number of engines up to which cache events are read
	// with each probe. With more, the answers received here have to do, because
	// events of all engines would exceed the traffic allowed for control.
	eventUpstreams = 64
)

// hint says that an engine may hold the start of a prompt in its cache.
type hint struct {
	prefix   uint64
	upstream string
	at       time.Duration
}

// hints remembers which engines may hold which prefixes: those that answered a
// request of this daemon, and those that reported so. Events come late and with
// gaps, so a hint is never more than a hint. It is safe for concurrent use.
type hints struct {
	mu   sync.Mutex
	list []hint // oldest first
	last map[string]int64
}

func newHints() *hints { return &hints{last: make(map[string]int64)} }

// add notes that an engine had the prefix at a moment.
func (h *hints) add(prefix uint64, id string, at time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list = append(h.list, hint{prefix, id, at})
	if len(h.list) >= 2*maxHints {
		h.list = slices.Delete(h.list, 0, len(h.list)-maxHints)
	}
}

// evict removes what an engine said to have evicted, unless it is newer.
func (h *hints) evict(prefix uint64, id string, at time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list = slices.DeleteFunc(h.list, func(k hint) bool {
		return k.prefix == prefix && k.upstream == id && k.at <= at
	})
}

// view returns the hints since a moment for the upstreams of a view.
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

// after returns the number of the last event that was read of an engine.
func (h *hints) after(id string) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.last[id]
}

// take adds the events of an engine. A lower number than before means that the
// engine has restarted with an empty cache.
func (h *hints) take(id string, reply upstream.CacheEventsReply, now time.Duration) {
	h.mu.Lock()
	if reply.Last < h.last[id] {
		h.list = slices.DeleteFunc(h.list, func(k hint) bool { return k.upstream == id })
	}
	h.last[id] = reply.Last
	h.mu.Unlock()
	for _, e := range reply.Events {
		prefix, err := strconv.ParseUint(e.Prefix, 16, 64)
		if err != nil {
			continue // a digest of another form is no hint
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

// readEvents reads the cache events of an engine.
func (c *control) readEvents(ctx context.Context, id, url string) {
	reply, err := c.upstream.CacheEvents(ctx, url, c.routing.hints.after(id))
	if err == nil {
		c.routing.hints.take(id, reply, c.routing.now())
	}
}

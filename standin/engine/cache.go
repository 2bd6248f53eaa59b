package engine

import (
	"container/list"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/savoryshift/savoryshift/upstream"
)

// maxCacheEvents bounds the cache events kept for publication; the oldest ones
// beyond it are dropped.
const maxCacheEvents = 4096

// prefixCache is an LRU cache of prompt prefixes whose total size is at most
// capacity tokens.
type prefixCache struct {
	capacity int

	mu      sync.Mutex
	used    int                      // tokens of all entries
	order   *list.List               // front: most recently used
	entries map[string]*list.Element // by version + "/" + prefix
	seq     int64                    // number of the last event
	events  []cacheEvent
}

type cacheEntry struct {
	version, prefix string
	tokens          int
}

type cacheEvent struct {
	upstream.CacheEvent
	at time.Time
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), entries: map[string]*list.Element{}}
}

// PrefixDigest returns the hash by which cache events identify a prefix.
func PrefixDigest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:8])
}

// lookupOrStore returns the number of cached tokens of the prefix, and caches a
// prefix that is not cached yet. With lost set, the cache events of this call are
// never published.
func (c *prefixCache) lookupOrStore(version, prefix string, tokens int, lost bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := version + "/" + prefix
	if el, ok := c.entries[key]; ok {
		c.order.MoveToFront(el)
		return el.Value.(cacheEntry).tokens
	}
	if tokens > c.capacity {
		return 0
	}
	for c.used+tokens > c.capacity {
		c.evict(lost)
	}
	c.used += tokens
	c.entries[key] = c.order.PushFront(cacheEntry{version, prefix, tokens})
	c.publish(upstream.CacheStored, version, prefix, lost)
	return 0
}

func (c *prefixCache) evict(lost bool) {
	el := c.order.Back()
	entry := c.order.Remove(el).(cacheEntry)
	delete(c.entries, entry.version+"/"+entry.prefix)
	c.used -= entry.tokens
	c.publish(upstream.CacheEvicted, entry.version, entry.prefix, lost)
}

// publish assigns the next sequence number to an event and keeps the event for
// publication. A lost event is not kept, so that its number is missing.
func (c *prefixCache) publish(kind upstream.CacheEventKind, version, prefix string, lost bool) {
	c.seq++
	if lost {
		return
	}
	c.events = append(c.events, cacheEvent{
		CacheEvent: upstream.CacheEvent{Seq: c.seq, Kind: kind, Version: version, Prefix: prefix}, at: time.Now(),
	})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// published returns the events with a sequence number above after that are at
// least as old as lag.
func (c *prefixCache) published(after int64, lag time.Duration) upstream.CacheEventsReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply := upstream.CacheEventsReply{Events: []upstream.CacheEvent{}}
	for _, event := range c.events {
		age := time.Since(event.at)
		if age < lag {
			break
		}
		reply.Last = event.Seq
		if event.Seq > after {
			event.AgeMs = age.Milliseconds()
			reply.Events = append(reply.Events, event.CacheEvent)
		}
	}
	return reply
}

func (e *Engine) listCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	reply(w, e.cache.published(after, e.opts.CacheEventLag))
}

package placement

import (
	"encoding/binary"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minReportedTokens is the shortest prompt part whose use is reported to peers.
	minReportedTokens = 200
	// leadingReportShare is the share of CacheLifetime after which the use of a part is reported
	// again although a longer prefix is reported, which implies it.
	leadingReportShare = 0.25
	// rereportShare is the share of CacheLifetime that lies between the writing of a request
	// and its first event if the latter is reported too.
	rereportShare = 0.1
	// maxNameBytes bounds the names of models and of parts whose uses are recorded.
	maxNameBytes = 64
	// maxRecentUses bounds the uses that are kept for the next report to peers.
	maxRecentUses = 4096
	// evictionSample is the number of parts of which the least recently used one is evicted
	// when there is no room for another. A sample needs no order of all parts.
	evictionSample = 8
)

// homeChances are the chances, by rendezvous rank, with which an upstream is taken to hold a
// part in addition to what is known of it. All VMs prefer the same upstreams by them without a
// message, while what they know of each other's calls is late.
var homeChances = [...]float64{0.3, 0.15}

// cacheKey identifies a prompt part in the cache of upstreams, which is separate by model.
type cacheKey struct{ model, part string }

// tooLong reports whether uses of the part are not recorded, because clients choose the names.
func (k cacheKey) tooLong() bool { return len(k.model) > maxNameBytes || len(k.part) > maxNameBytes }

// clone returns a copy that does not keep the header of the request in memory.
func (k cacheKey) clone() cacheKey { return cacheKey{strings.Clone(k.model), strings.Clone(k.part)} }

// holder is an upstream that is believed to hold a part since its last use at a time.
type holder struct {
	upstream *upstreamState
	at       time.Time
}

// heldPrompt is what an upstream is believed to hold of the prompt of a query.
type heldPrompt struct {
	query     uint64
	age       time.Duration
	retention retention
	tokens    float64
}

// heldTokens returns the expected number of tokens of the prompt that the upstream holds.
func (e *upstreamState) heldTokens(query uint64) float64 {
	if e.held.query != query {
		return 0
	}
	return e.held.tokens
}

// matchHeld computes for each upstream the expected number of tokens that it holds of the
// prompt of a query. A request uses all parts of its prompt, and the least recently used parts
// are evicted first, so that an upstream that holds a part holds the parts before it too.
func (b *Balancer) matchHeld(q *Query) {
	b.query++
	b.touched = b.touched[:0]
	if q.Model == "" {
		return
	}
	m, rate := b.memory[q.Service], 0.0
	if m != nil {
		rate = b.engineReadRate(q.Service, m, q.Now)
	}
	for i := len(q.Parts) - 1; i >= 0; i-- {
		p := q.Parts[i]
		for _, h := range b.holders[cacheKey{q.Model, p.ID}] {
			e := h.upstream
			age := q.Now.Sub(h.at)
			if e.held.query != b.query {
				e.held.query, e.held.age, e.held.tokens = b.query, age, 0
				e.held.retention.estimated, e.held.retention.after = false, b.options.CacheLifetime
				if m != nil {
					inUse := float64(e.own.Calls+e.peers.Calls) * m.read.meanPrompt()
					e.held.retention = retentionOf(m.tokens, inUse, rate, maxRetention*b.options.CacheLifetime)
				}
				b.touched = append(b.touched, e)
			} else {
				e.held.age = min(e.held.age, age)
			}
		}
		for _, e := range b.touched {
			e.held.tokens += float64(p.Tokens) * e.held.retention.chance(e.held.age)
		}
	}
}

// setHeld records that an upstream has used a part at a time, unless a later use is known. It
// returns the time of the use that was known before.
func (b *Balancer) setHeld(e *upstreamState, key cacheKey, at time.Time) time.Time {
	if key.tooLong() {
		return time.Time{}
	}
	list := b.holders[key]
	for i := range list {
		if h := &list[i]; h.upstream == e {
			before := h.at
			if at.After(before) {
				h.at = at
			}
			return before
		}
	}
	if b.held >= b.options.MaxHeld {
		b.evictHeld()
		list = b.holders[key]
	}
	if list == nil {
		key = key.clone()
	}
	b.holders[key] = append(list, holder{e, at})
	b.held++
	return time.Time{}
}

// SetMaxHeld replaces Options.MaxHeld.
func (b *Balancer) SetMaxHeld(uses int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.options.MaxHeld = uses; b.held > uses; {
		b.evictHeld()
	}
}

// evictHeld forgets the least recently used one of a few parts. Maps are iterated in random
// order.
func (b *Balancer) evictHeld() {
	var oldest cacheKey
	var oldestAt time.Time
	n := 0
	for key, list := range b.holders {
		at := list[0].at
		for _, h := range list[1:] {
			if h.at.After(at) {
				at = h.at
			}
		}
		if n == 0 || at.Before(oldestAt) {
			oldest, oldestAt = key, at
		}
		if n++; n == evictionSample {
			break
		}
	}
	b.held -= len(b.holders[oldest])
	delete(b.holders, oldest)
	b.evicted++
}

// Held returns the number of uses of prompt parts that are known, one for each part and
// upstream, and the number of parts that were forgotten for others since the start.
func (b *Balancer) Held() (uses int, evicted uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held, b.evicted
}

// expireHeld drops uses that no longer count, and those of upstreams that are gone.
func (b *Balancer) expireHeld(now time.Time) {
	for key, list := range b.holders {
		kept := list[:0]
		for _, h := range list {
			if !h.upstream.dropped && now.Sub(h.at) <= b.longestHeld(h.upstream.Service) {
				kept = append(kept, h)
			}
		}
		b.held -= len(list) - len(kept)
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(b.holders, key)
		} else {
			b.holders[key] = kept
		}
	}
}

// recordWritten records that the request is being written. Its prompt counts as held from now
// on, because later requests with the same parts wait until it has been read.
func (c *Call) recordWritten(now time.Time) {
	if !c.writtenAt.IsZero() {
		return
	}
	c.writtenAt = now
	if m := c.b.memory[c.upstream.Service]; m != nil && c.model != "" {
		m.read.add(c.uncached, c.tokens, now)
	}
	c.recordUse(now)
}

// recordRead records that the prompt has been read.
func (c *Call) recordRead(now time.Time) {
	lifetime := c.b.options.CacheLifetime
	if !c.writtenAt.IsZero() && now.Sub(c.writtenAt) < time.Duration(rereportShare*float64(lifetime)) {
		for _, p := range c.parts {
			c.b.setHeld(c.upstream, cacheKey{c.model, p.ID}, now)
		}
		return
	}
	c.recordUse(now)
}

// recordUse records the use of all parts, and reports to peers the last one that other
// requests may share. The parts before it are implied, and reported less often. The last
// part of the prompt is unique to the request, and short parts are not worth a report.
func (c *Call) recordUse(now time.Time) {
	lifetime := c.b.options.CacheLifetime
	longest := true
	for i := len(c.parts) - 1; i >= 0; i-- {
		p := c.parts[i]
		before := c.b.setHeld(c.upstream, cacheKey{c.model, p.ID}, now)
		if i == len(c.parts)-1 || p.Tokens < minReportedTokens {
			continue
		}
		if longest || now.Sub(before) >= time.Duration(leadingReportShare*float64(lifetime)) {
			c.b.reportUse(c.upstream, cacheKey{c.model, p.ID}, now)
		}
		longest = false
	}
}

// reportUse keeps a use for the next report to peers, as long as there is room.
func (b *Balancer) reportUse(e *upstreamState, key cacheKey, now time.Time) {
	if len(b.recentUses) >= maxRecentUses || key.tooLong() {
		return
	}
	key = key.clone()
	b.recentUses = append(b.recentUses, cacheEvent{CacheUse{Upstream: e.ID, Model: key.model, Part: key.part}, now})
}

// forgetUnread drops what the call has recorded if it ends before its prompt is known to have
// been read.
func (c *Call) forgetUnread() {
	if c.hasFirstEvent || c.writtenAt.IsZero() {
		return
	}
	for _, p := range c.parts {
		list := c.b.holders[cacheKey{c.model, p.ID}]
		for i := range list {
			if list[i].upstream == c.upstream && list[i].at.Equal(c.writtenAt) {
				list[i].at = time.Time{}
			}
		}
	}
}

// CacheUse reports to peers that an upstream reads or has read a prompt part for a model, and
// with it the parts before it. Age is the time since then.
type CacheUse struct {
	Upstream, Model, Part string
	Age                   time.Duration
}

// cacheEvent is a CacheUse by a call of this VM with its time.
type cacheEvent struct {
	CacheUse
	at time.Time
}

// RecentUses returns the cache uses by calls of this VM within the window, for
// reporting to peers, and drops older ones.
func (b *Balancer) RecentUses(window time.Duration, now time.Time) []CacheUse {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := b.recentUses[:0]
	var out []CacheUse
	for _, u := range b.recentUses {
		if age := now.Sub(u.at); age <= window {
			kept = append(kept, u)
			out = append(out, CacheUse{Upstream: u.Upstream, Model: u.Model, Part: u.Part, Age: age})
		}
	}
	b.recentUses = kept
	return out
}

// AddUses merges cache uses that were reported by peers. Uses from before this VM learned of
// the instance may be those of the previous one, and say nothing.
func (b *Balancer) AddUses(uses []CacheUse, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, u := range uses {
		at := now.Add(-u.Age)
		if e := b.upstreams[u.Upstream]; e != nil && !at.Before(e.since) {
			b.setHeld(e, cacheKey{u.Model, u.Part}, at)
		}
	}
}

// homes are the upstreams that the hash of a prompt part names, in rendezvous order.
type homes struct {
	first  [len(homeChances)]*upstreamState
	hashes [len(homeChances)]uint64
	key    uint64
	// tokens is the length of the prompt up to the part, 0 if no part can be shared.
	tokens int
}

// newHomes prepares the order for the longest part of the prompt that other requests may
// share.
func newHomes(q *Query) homes {
	h := homes{}
	if q.Model == "" {
		return h
	}
	longest, leading := 0, 0
	for i := range len(q.Parts) - 1 {
		p := q.Parts[i]
		leading += p.Tokens
		if p.Tokens >= minReportedTokens && p.Tokens >= longest {
			longest, h.tokens = p.Tokens, leading
			h.key = xxhash.Sum64String(p.ID + "\x00" + q.Model)
		}
	}
	return h
}

// add adds a usable upstream.
func (h *homes) add(e *upstreamState) {
	if h.tokens == 0 {
		return
	}
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], h.key)
	binary.LittleEndian.PutUint64(buf[8:], e.hash)
	hash := xxhash.Sum64(buf[:])
	for i := range h.first {
		if h.first[i] == nil || hash > h.hashes[i] {
			copy(h.first[i+1:], h.first[i:])
			copy(h.hashes[i+1:], h.hashes[i:])
			h.first[i], h.hashes[i] = e, hash
			return
		}
	}
}

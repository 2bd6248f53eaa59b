package bench

import (
	"container/heap"
	"time"
)

// event is a function call scheduled at a virtual time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(*event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// clock runs events in order of their virtual time, and events of the same time
// in the order in which they were scheduled. It is not safe for concurrent use.
type clock struct {
	now    time.Duration
	seq    int
	events eventHeap
}

// at schedules run at time t, or now if t has passed.
func (c *clock) at(t time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, &event{at: max(t, c.now), seq: c.seq, run: run})
}

// after schedules run after d.
func (c *clock) after(d time.Duration, run func()) { c.at(c.now+d, run) }

// runUntil runs all events up to and including time end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(*event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

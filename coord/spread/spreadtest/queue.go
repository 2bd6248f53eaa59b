package spreadtest

import (
	"container/heap"
	"time"
)

// event is a function to run at a virtual time. Events with the same time run in
// the order in which they were added.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type queue []event

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

func (q *queue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return e
}

// timeline is a discrete-event scheduler: it runs events in the order of their
// virtual time.
type timeline struct {
	now    time.Duration
	seq    int
	events queue
}

// after schedules run to be called after the delay.
func (t *timeline) after(delay time.Duration, run func()) {
	t.seq++
	heap.Push(&t.events, event{at: t.now + delay, seq: t.seq, run: run})
}

// Run advances the virtual time by d and runs the events that become due.
func (t *timeline) Run(d time.Duration) {
	end := t.now + d
	for len(t.events) > 0 && t.events[0].at <= end {
		e := heap.Pop(&t.events).(event)
		t.now = e.at
		e.run()
	}
	t.now = end
}

// Now returns the virtual time since the start.
func (t *timeline) Now() time.Duration { return t.now }

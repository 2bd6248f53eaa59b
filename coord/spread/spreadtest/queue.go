package spreadtest

import (
	"container/heap"
	"time"
)

// event is one step of the schedule. Events of the same time run in the order
// in which they were added.
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

// after schedules run.
func (f *Fleet) after(delay time.Duration, run func()) {
	f.seq++
	heap.Push(&f.events, event{at: f.now + delay, seq: f.seq, run: run})
}

// Run advances the virtual time by d and runs what is due.
func (f *Fleet) Run(d time.Duration) {
	end := f.now + d
	for len(f.events) > 0 && f.events[0].at <= end {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

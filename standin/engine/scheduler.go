package engine

import (
	"container/heap"
	"context"
	"errors"
	"sync"
)

var errQueueFull = errors.New("queue is full")

// scheduler grants slots to requests by priority, higher numbers first, and in
// order of arrival within one priority.
type scheduler struct {
	limit  int // maximum number of queued requests
	notify func(running, queued int)

	mu      sync.Mutex
	free    int
	slots   int
	arrived int64
	queue   waiters
}

func newScheduler(slots, limit int, notify func(running, queued int)) *scheduler {
	return &scheduler{limit: limit, notify: notify, free: slots, slots: slots}
}

// waiter is a queued request.
type waiter struct {
	priority int
	arrival  int64
	index    int           // position in the heap; -1 after removal
	granted  chan struct{} // closed when the request has a slot
}

// acquire blocks until a slot is free or ctx ends. It returns errQueueFull if the
// queue is full.
func (s *scheduler) acquire(ctx context.Context, priority int) error {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.notifyLoad()
		s.mu.Unlock()
		return nil
	}
	if len(s.queue) >= s.limit {
		s.mu.Unlock()
		return errQueueFull
	}
	s.arrived++
	w := &waiter{priority: priority, arrival: s.arrived, granted: make(chan struct{})}
	heap.Push(&s.queue, w)
	s.notifyLoad()
	s.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		return s.abandon(w, ctx.Err())
	}
}

// abandon removes w from the queue, or releases its slot if one was granted in the
// meantime, and returns err.
func (s *scheduler) abandon(w *waiter, err error) error {
	s.mu.Lock()
	if w.index >= 0 {
		heap.Remove(&s.queue, w.index)
		s.notifyLoad()
		s.mu.Unlock()
		return err
	}
	s.mu.Unlock()
	s.release()
	return err
}

// release passes a slot on to the first queued request, or marks it as free.
func (s *scheduler) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		s.free++
	} else {
		close(heap.Pop(&s.queue).(*waiter).granted)
	}
	s.notifyLoad()
}

func (s *scheduler) notifyLoad() { s.notify(s.slots-s.free, len(s.queue)) }

// waiters implements heap.Interface.
type waiters []*waiter

func (q waiters) Len() int { return len(q) }
func (q waiters) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].arrival < q[j].arrival
}
func (q waiters) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}
func (q *waiters) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}
func (q *waiters) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	w.index = -1
	return w
}

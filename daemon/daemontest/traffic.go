package daemontest

import (
	"fmt"
	"sync"
	"time"
)

// Call is one chat request of a Traffic and its answer.
type Call struct {
	Daemon *Daemon
	At     time.Time // when the request was sent
	Answer Answer
}

// Traffic is a load of chat requests at a fixed rate.
type Traffic struct {
	stop    chan struct{}
	senders sync.WaitGroup

	mu    sync.Mutex
	calls []Call
}

// StartTraffic sends a chat request to each live daemon once per period until
// Stop. Each request starts a session, and every second round of requests is
// streamed.
func (s *System) StartTraffic(period time.Duration) *Traffic {
	t := &Traffic{stop: make(chan struct{})}
	t.senders.Go(func() {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for n := 0; ; n++ {
			for _, d := range s.Live("") {
				t.send(d, Chat{Prompt: fmt.Sprintf("briefing %d", n), Session: "new", Stream: n%2 == 0})
			}
			select {
			case <-t.stop:
				return
			case <-ticker.C:
			}
		}
	})
	return t
}

func (t *Traffic) send(d *Daemon, c Chat) {
	t.senders.Go(func() {
		call := Call{Daemon: d, At: time.Now()}
		call.Answer = d.Chat(c)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.calls = append(t.calls, call)
	})
}

// Stop sends no more requests, waits for the outstanding answers and returns all
// calls.
func (t *Traffic) Stop() []Call {
	close(t.stop)
	t.senders.Wait()
	return t.calls
}

// CountAnswered returns the number of calls with a complete answer.
func CountAnswered(calls []Call) int {
	n := 0
	for _, c := range calls {
		if c.Answer.Complete {
			n++
		}
	}
	return n
}

package daemontest

import (
	"fmt"
	"sync"
	"time"
)

// Call is one chat request of the traffic and its answer.
type Call struct {
	Daemon *Daemon
	At     time.Time
	Answer Answer
}

// Traffic sends chat requests to daemons at a fixed rate.
type Traffic struct {
	stop    chan struct{}
	senders sync.WaitGroup

	mu    sync.Mutex
	calls []Call
}

// StartTraffic sends a chat request to each live daemon in each period. Each
// request begins a session.
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

// Stop ends the traffic, waits for the answers and returns all calls.
func (t *Traffic) Stop() []Call {
	close(t.stop)
	t.senders.Wait()
	return t.calls
}

// Answered counts the whole answers.
func Answered(calls []Call) int {
	n := 0
	for _, c := range calls {
		if c.Answer.Whole {
			n++
		}
	}
	return n
}

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["poison"] = poisonCase }

const (
	// badPart is the part of a prompt that crashes each runner that begins to write an answer
	// on it.
	badPart = "badbadbad"
	// engineBack is the time after which a crashed runner is back.
	engineBack = 3 * time.Second
	// reading is the time that a runner takes to read a prompt.
	reading = 300 * time.Millisecond
	// crashesBefore is the number of crashes from which on the rule counts.
	crashesBefore = 5
	// mostLate is the number of requests that the rule allows.
	mostLate = 3
)

// crashLog counts the crashes by the part, and the requests with it after them.
type crashLog struct {
	mu      sync.Mutex
	crashes []time.Time
	late    []string
}

// arrived records a request with the part that has reached a runner.
func (c *crashLog) arrived(s *system, id, at string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := time.Duration(0)
	if len(c.crashes) >= crashesBefore {
		since = time.Since(c.crashes[crashesBefore-1])
	}
	s.record("request %s with the part reaches runner %s, after %d crashes, %v after the fifth", id, at, len(c.crashes), since.Round(time.Millisecond))
	if since > touch {
		c.late = append(c.late, id)
	}
}

func (c *crashLog) crashed(s *system, id, at string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes = append(c.crashes, time.Now())
	s.record("crash %d: runner %s, by request %s", len(c.crashes), at, id)
}

func (c *crashLog) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.crashes)
}

// poisonCase: two requests with a part that crashes runners come one after the other, and then
// one at each machine.
func poisonCase(s *system, trouble bool) error {
	s.configure(route("ask", "stream", "model", 3, 25*time.Second, 4*time.Second))
	var log crashLog
	zones := []string{"z0", "z1", "z2"}
	for i := range 9 {
		r := &runner{id: fmt.Sprintf("i-engine-%d", i), service: "model", version: "v1", zone: zones[i%len(zones)]}
		r.answer = func(w http.ResponseWriter, req *http.Request) {
			_, _ = io.Copy(io.Discard, req.Body)
			id, bad := req.Header.Get(headers.Attempt), strings.Contains(req.Header.Get(headers.Prefix), badPart)
			if bad {
				log.arrived(s, id, r.id)
			}
			if !pause(req.Context(), reading) {
				return
			}
			if bad && trouble {
				log.crashed(s, id, r.id)
				r.crash(engineBack)
				panic(http.ErrAbortHandler)
			}
			streamAnswer(w, req)
		}
		if err := s.addRunner(r); err != nil {
			return err
		}
	}
	if err := s.startAll(append(zones, zones...), nil); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	ask := func(v *vm, part string) reply {
		return s.send(v, request{
			path: "/ask/1", patience: 25 * time.Second, model: "m0", tokens: "1460,80",
			prefix: fmt.Sprintf("aa%d:800,%s:410,%x:250", rand.N(3), part, rand.Uint64()),
		})
	}
	// Sound requests, 12 a second, with the same first parts.
	wg.Go(func() {
		for n := 0; pause(ctx, 80*time.Millisecond); n++ {
			v := s.vms[n%len(s.vms)]
			wg.Go(func() {
				if r := ask(v, fmt.Sprintf("cc%d", rand.N(20))); r.err != nil || r.status != http.StatusOK {
					s.record("sound request %s at %s: %v", r.id, v.name, r)
				}
			})
		}
	})
	askBad := func(v *vm) {
		r := ask(v, badPart)
		s.record("request %s with the part at %s: %v", r.id, v.name, r)
	}
	pause(ctx, 3*time.Second)
	askBad(s.vms[0])
	pause(ctx, 4*time.Second)
	askBad(s.vms[3])
	s.record("%d runners have crashed", log.count())
	// All runners are back, and the rule counts.
	pause(ctx, touch+1500*time.Millisecond)
	var bad sync.WaitGroup
	for _, v := range s.vms {
		bad.Go(func() { askBad(v) })
	}
	bad.Wait()
	cancel()
	wg.Wait()
	log.mu.Lock()
	defer log.mu.Unlock()
	s.record("BUDGET: %d requests with the part have reached runners later than %v after the fifth crash: %v", len(log.late), touch, log.late)
	if len(log.late) > mostLate {
		return errBroken
	}
	return nil
}

// pause waits. It returns false once ctx has ended.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// streamAnswer writes the events of an answer that follow the last one that the client has.
func streamAnswer(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	var from int
	_, _ = fmt.Sscanf(r.Header.Get(headers.LastEvent), "%d", &from)
	for i := from + 1; i <= 6; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		if http.NewResponseController(w).Flush() != nil || !pause(r.Context(), 40*time.Millisecond) {
			return
		}
	}
}

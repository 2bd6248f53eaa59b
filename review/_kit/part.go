package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// crashingPart is the part of a prompt that crashes servers.
	crashingPart = "fa7a1"
	// soundEvery is the time between two sound requests.
	soundEvery = 40 * time.Millisecond
	// maxArrivals is the number of requests with the part that may reach servers later than
	// TouchMs after the fifth crash.
	maxArrivals = 3
	// minRequests is the number of sound requests of each kind that the check needs.
	minRequests = 20
)

// soundRequest is the outcome of a sound request at its first attempt.
type soundRequest struct {
	at    time.Time
	begun bool
}

// partTraffic sends requests with the crashing part and sound ones to all machines in turn.
type partTraffic struct {
	h *host
	n int

	mu    sync.Mutex
	sound []soundRequest
	wait  sync.WaitGroup
}

// send sends a request. All share the key and the first part of the prompt, and no two are
// alike.
func (t *partTraffic) send(crashing bool) {
	t.n++
	n, m := t.n, t.h.machines[t.n%len(t.h.machines)]
	q := request{id: fmt.Sprintf("q%d", n), path: "/brief/x", parts: []string{"5eed", hexPart(1, n%7), hexPart(2, n)}, body: []byte("prompt"), patience: 10 * time.Second}
	if crashing {
		q.parts[1] = crashingPart
	}
	at := time.Now()
	t.wait.Go(func() {
		c, err := open(m.front)
		a := answer{err: err}
		if err == nil {
			defer c.Close()
			a = c.send(q)
		}
		t.h.rec.line("request %s (%s) was sent to %s %d ms ago and got %v", q.id, map[bool]string{true: "with the part", false: "sound"}[crashing], m.name, time.Since(at).Milliseconds(), a)
		if !crashing {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.sound = append(t.sound, soundRequest{at, a.status == 200 && a.events() > 0})
		}
	})
}

// share returns the number of sound requests that were sent in a time, and the share of them
// that began.
func (t *partTraffic) share(from, to time.Time) (n int, share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	begun := 0
	for _, r := range t.sound {
		if r.at.After(from) && r.at.Before(to) {
			n++
			if r.begun {
				begun++
			}
		}
	}
	return n, float64(begun) / float64(max(1, n))
}

// partSystem is a system of three machines in three zones and nine model servers.
func partSystem(h *host, s *servers) error {
	h.configure()
	if _, err := startServers(s, 9); err != nil {
		return err
	}
	for i := range 3 {
		if _, err := h.addMachine(fmt.Sprintf("z%d", i), 284); err != nil {
			return err
		}
	}
	if err := h.startAll(); err != nil {
		return err
	}
	time.Sleep(touch) // from now on the machines are in touch
	return nil
}

// partCrashes: the requests with one part of a prompt crash each server that has begun to
// write an answer on it, after none to two whole events. Without the trouble they crash none.
func partCrashes(h *host, trouble bool) (int, error) {
	const calm, length, every = 5 * time.Second, 30 * time.Second, 300 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	s := &servers{h: h, service: "model", events: 12, every: 30 * time.Millisecond, restart: 3 * time.Second, whole: func() int { return random.IntN(3) }}
	if trouble {
		s.crashPart = crashingPart
	}
	defer s.close()
	if err := partSystem(h, s); err != nil {
		return notRun, err
	}
	t := &partTraffic{h: h}
	begun := time.Now()
	for last := begun; time.Since(begun) < length; time.Sleep(soundEvery) {
		t.send(false)
		if time.Since(begun) > calm && time.Since(last) > every {
			last = time.Now()
			t.send(true)
		}
	}
	end := time.Now()
	t.wait.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.crashes) < 5 {
		n, share := t.share(begun, end)
		h.rec.line("%d crashes; %.2f of %d sound requests begin", len(s.crashes), share, n)
		return held, nil
	}
	fifth, arrivals := s.crashes[4], 0
	for _, a := range s.arrivals {
		if a.crashing && a.at.Sub(fifth) > touch {
			arrivals++
		}
	}
	before, beforeShare := t.share(begun, begun.Add(calm))
	after, afterShare := t.share(fifth.Add(2*touch), end)
	h.rec.line("BUDGET: %d crashes; %d requests with the part reach servers later than TouchMs after the fifth crash, %d are allowed", len(s.crashes), arrivals, maxArrivals)
	h.rec.line("LOST: %.2f of %d sound requests begin before the first crash, %.2f of %d later than 2 x TouchMs after the fifth", beforeShare, before, afterShare, after)
	if arrivals > maxArrivals || before >= minRequests && after >= minRequests && afterShare < beforeShare/2 {
		return broken, nil
	}
	return held, nil
}

// partForgotten: requests with one part of a prompt crash servers within the first event, and
// the machines keep them off. With the trouble, the processes of all machines are killed at
// once and start again.
func partForgotten(h *host, trouble bool) (int, error) {
	const (
		calm, length, every = 3 * time.Second, 50 * time.Second, 5 * time.Second
		killAt, down        = 25 * time.Second, 1600 * time.Millisecond
	)
	s := &servers{h: h, service: "model", events: 12, every: 30 * time.Millisecond, restart: 3 * time.Second, crashPart: crashingPart}
	defer s.close()
	if err := partSystem(h, s); err != nil {
		return notRun, err
	}
	t := &partTraffic{h: h}
	begun := time.Now()
	var killed, back time.Time
	for last := begun.Add(calm - every); time.Since(begun) < length; time.Sleep(soundEvery) {
		t.send(false)
		if time.Since(last) > every {
			last = time.Now()
			t.send(true)
		}
		if trouble && killed.IsZero() && time.Since(begun) > killAt {
			killed = time.Now()
			for _, m := range h.machines {
				m.kill("the processes of all machines are killed at once")
			}
			time.Sleep(down)
			if err := h.startAll(); err != nil {
				return notRun, err
			}
			back = time.Now()
		}
	}
	t.wait.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.crashes) < 5 {
		return notRun, fmt.Errorf("%d crashes", len(s.crashes))
	}
	before, after := 0, 0
	for _, a := range s.arrivals {
		switch {
		case !a.crashing || a.at.Sub(s.crashes[4]) <= touch:
		case killed.IsZero() || a.at.Before(killed):
			before++
		case a.at.Sub(back) > touch: // in touch again
			after++
		}
	}
	h.rec.line("BUDGET: %d crashes; requests with the part that reach servers later than TouchMs after the fifth crash, sent by machines in touch: %d before the kill and %d after it, %d are allowed in all",
		len(s.crashes), before, after, maxArrivals)
	if before+after > maxArrivals {
		return broken, nil
	}
	return held, nil
}

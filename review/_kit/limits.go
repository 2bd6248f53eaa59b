package main

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// burst is x of the trouble burst: as many times more users come at once.
const burst = 1.7

// maxLost is the number of requests from kept channels that a machine may lose.
const maxLost = 3

// verdict applies LOST: at any time, a machine in touch passes a request from a kept channel
// on to a sound server and closes that channel without an answer, more than three times.
func verdict(h *host, lost int) (int, error) {
	h.rec.line("LOST: %d requests from kept channels were passed on to sound servers and their channels closed without an answer, %d are allowed", lost, maxLost)
	if lost > maxLost {
		return broken, nil
	}
	return held, nil
}

// users opens channels of n users. Each sends a booking and keeps its channel.
func (h *host) users(m *machine, n int) []*channel {
	const atOnce = 400
	var mu sync.Mutex
	var channels []*channel
	var next, failed atomic.Int64
	var wait sync.WaitGroup
	for range atOnce {
		wait.Go(func() {
			for i := next.Add(1); i <= int64(n); i = next.Add(1) {
				c, err := open(m.front)
				if err != nil {
					failed.Add(1)
					continue
				}
				a := c.send(request{id: fmt.Sprintf("u%d-%d", n, i), path: "/book/x", body: []byte("booking"), patience: time.Second})
				if a.err != nil || a.status != 200 {
					failed.Add(1)
				}
				mu.Lock()
				channels = append(channels, c)
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	h.rec.line("%d users have come, each with a channel; the bookings of %d were not answered with 200", n, failed.Load())
	return channels
}

// descriptors: users hold channels to a machine, on some of which requests are in progress,
// when another machine starts. With the trouble, 1.7 times as many users have come.
func descriptors(h *host, trouble bool) (int, error) {
	const kept, needed = 30, 6000
	n := 2450
	var own syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own); err != nil || own.Cur < needed {
		return notRun, fmt.Errorf("the users need %d descriptors, this process may have %d", needed, own.Cur)
	}
	h.configure()
	desk, err := startServers(&servers{h: h, service: "desk", every: 5 * time.Millisecond, quiet: true}, 3)
	if err != nil {
		return notRun, err
	}
	defer desk.close()
	model, err := startServers(&servers{h: h, service: "model", events: 12, every: 30 * time.Millisecond, first: 3500 * time.Millisecond}, 6)
	if err != nil {
		return notRun, err
	}
	defer model.close()
	first, err := h.addMachine("z0", 284)
	if err != nil {
		return notRun, err
	}
	if err := h.startAll(); err != nil {
		return notRun, err
	}
	second, err := h.addMachine("z0", 284)
	if err != nil {
		return notRun, err
	}
	time.Sleep(touch)
	channels := h.users(first, n)
	defer func() {
		for _, c := range channels {
			_ = c.Close()
		}
	}()
	var wait sync.WaitGroup
	var lost atomic.Int64
	for i, c := range channels[:kept] {
		wait.Go(func() {
			q := request{id: fmt.Sprintf("k%d", i), path: "/brief/x", parts: []string{"5eed", hexPart(1, i), hexPart(2, i)}, body: []byte("prompt"), patience: 20 * time.Second}
			a := c.send(q)
			h.rec.line("request %s, on a kept channel, got %v", q.id, a)
			if a.err != nil && a.status == 0 && model.reached(q.id) {
				lost.Add(1)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	if trouble {
		more := h.users(first, int(burst*float64(n))-n)
		defer func() {
			for _, c := range more {
				_ = c.Close()
			}
		}()
	}
	if err := second.start(); err != nil {
		return notRun, err
	}
	wait.Wait()
	if lost.Load() > 0 {
		waitFor(time.Second, first.ended)
	}
	h.rec.line("%s has ended by itself: %t; its last error: %s", first.name, first.ended(), lastError(first))
	return verdict(h, int(lost.Load()))
}

// uploads: clients send long requests, no longer than MaxBodyBytes, on kept channels. With the
// trouble, 1.7 times as many users have come.
func uploads(h *host, trouble bool) (int, error) {
	const memoryMb = 134
	h.configure()
	s, err := startServers(&servers{h: h, service: "model", events: 20, every: 100 * time.Millisecond, first: 3 * time.Second}, 6)
	if err != nil {
		return notRun, err
	}
	defer s.close()
	m, err := h.addMachine("z0", memoryMb)
	if err != nil {
		return notRun, err
	}
	if err := h.startAll(); err != nil {
		return notRun, err
	}
	time.Sleep(touch)
	// A process that exceeds its memory is killed.
	var peak atomic.Int64
	stop := make(chan struct{})
	go func() {
		for killed := false; ; {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			kb := int64(m.memoryKb())
			peak.Store(max(peak.Load(), kb))
			if kb > memoryMb<<10 && !killed {
				killed = true
				m.kill(fmt.Sprintf("it uses %d MB, more than its %d MB", kb>>10, memoryMb))
			}
		}
	}()
	n := 16
	if trouble {
		n = int(burst * float64(n))
	}
	body := bytes.Repeat([]byte("prompt: "), maxBody/8)
	const apart = 60 * time.Millisecond // between two clients
	var wait sync.WaitGroup
	var lost atomic.Int64
	for i := range n {
		wait.Go(func() {
			time.Sleep(time.Duration(i) * apart)
			c, err := open(m.front)
			if err != nil {
				h.rec.line("a new channel fails: %v", err)
				return
			}
			defer c.Close()
			for k := range 3 {
				q := request{id: fmt.Sprintf("u%d-%d", i, k), path: "/brief/x", parts: []string{"5eed", hexPart(1, i), hexPart(2, 10*i+k)}, body: []byte("prompt"), patience: 20 * time.Second}
				if k > 0 {
					q.body = body
				}
				a := c.send(q)
				h.rec.line("request %s of %d bytes, on a channel that has had %d answers, got %v", q.id, len(q.body), k, a)
				if a.err != nil {
					if k > 0 && a.status == 0 && s.reached(q.id) {
						lost.Add(1)
					}
					return
				}
			}
		})
	}
	wait.Wait()
	close(stop)
	if peak.Load() == 0 {
		return notRun, errors.New("the memory of the process is not known here")
	}
	h.rec.line("%d clients; the process used up to %d MB of its %d MB", n, peak.Load()>>10, memoryMb)
	return verdict(h, int(lost.Load()))
}

// lastError returns the last error that the process of a machine has logged.
func lastError(m *machine) string {
	found := ""
	for line := range strings.Lines(readLog(m)) {
		if strings.Contains(line, `"level":"error"`) {
			found = line
		}
	}
	return found[:min(len(found), 300)]
}

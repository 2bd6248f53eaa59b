package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["drill"] = drillCase }

// drillCase: a runner leaves without a report that it drains, and the machines take that over.
// Then the store comes back from a copy that is some seconds old, in which the runner is still
// registered.
func drillCase(s *system, trouble bool) error {
	s.configure(route("book", "unsafe", "desk", 1, 800*time.Millisecond, 150*time.Millisecond))
	var mu sync.Mutex
	var late int
	var left time.Time
	leaver := &runner{id: "i-leaver", service: "desk", version: "v1", zone: "z0", answer: answerAfter(200 * time.Millisecond)}
	leaver.arrived = func(r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		since := time.Duration(0)
		if !left.IsZero() {
			since = time.Since(left)
		}
		s.record("runner i-leaver runs %s, %v after its entry was removed", r.Header.Get(headers.Attempt), since.Round(time.Millisecond))
		if since > drain {
			late++
		}
	}
	if err := s.addRunner(leaver); err != nil {
		return err
	}
	for _, zone := range []string{"z1", "z2"} {
		if err := s.addRunner(&runner{id: "i-" + zone, service: "desk", version: "v1", zone: zone, answer: answerAfter(200 * time.Millisecond)}); err != nil {
			return err
		}
	}
	if err := s.startAll([]string{"z0", "z1", "z2"}, nil); err != nil {
		return err
	}
	// Rounds of bookings, 2.4 s apart.
	start := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(start.Add(d))) }
	round := func() {
		var wg sync.WaitGroup
		for _, v := range s.vms {
			for range 2 {
				wg.Go(func() {
					r := s.send(v, request{path: "/book/1", patience: 1500 * time.Millisecond})
					s.record("booking %s at %s: %v", r.id, v.name, r)
				})
			}
		}
		wg.Wait()
	}
	round()
	at(2400 * time.Millisecond)
	round()
	at(4800 * time.Millisecond)
	round()
	copied := s.store.Backup()
	s.record("a copy of the store is made")
	at(5300 * time.Millisecond)
	mu.Lock()
	leaver.leaving.Store(true)
	s.store.Remove("servers", "i-leaver")
	left = time.Now()
	mu.Unlock()
	s.record("the entry of i-leaver is removed, the store confirms it; the runner serves on for some seconds")
	at(7200 * time.Millisecond)
	round()
	returned := 8900 * time.Millisecond
	if trouble {
		at(returned - time.Second)
		s.store.SetFault(faultDown)
		s.record("the store is away")
		at(returned)
		s.store.Restore(copied)
		s.store.SetFault(faultNone)
		s.record("the store is back from the copy, which is %v old", returned-4800*time.Millisecond)
		// Nobody checks in for the runner that has left.
		time.AfterFunc(3*heartbeat, func() {
			s.store.Remove("servers", "i-leaver")
			s.record("the entry of i-leaver is removed after three check-in intervals of silence")
		})
	}
	at(9600 * time.Millisecond)
	round()
	// The runner exits 6.85 s after the removal of its entry.
	time.AfterFunc(time.Until(start.Add(12150*time.Millisecond)), func() {
		s.record("i-leaver exits")
		leaver.exit()
	})
	at(12050 * time.Millisecond)
	round()
	at(14400 * time.Millisecond)
	round()
	mu.Lock()
	defer mu.Unlock()
	s.record("DRAIN: %d requests reached i-leaver later than %v after its leaving was acknowledged", late, drain)
	if late > 0 {
		return errBroken
	}
	return nil
}

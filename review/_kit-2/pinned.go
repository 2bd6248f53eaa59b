package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["pinned"] = pinnedCase }

// sessionCount is the number of sessions. About one in eight is among those that a rollout moves
// first.
const sessionCount = 240

// mostMoved is the number of requests that the rule allows.
const mostMoved = 3

// pinnedCase: a machine is stopped and started again as planned, in the first half of a rollout.
// The next requests of some sessions come to it.
func pinnedCase(s *system, trouble bool) error {
	s.configure(route("look", "safe", "desk", 2, 2*time.Second, 300*time.Millisecond))
	versions := func(version string) error {
		for _, zone := range []string{"z0", "z1", "z2"} {
			r := &runner{id: "i-" + version + "-" + zone, service: "desk", version: version, zone: zone, answer: func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(10 * time.Millisecond)
				_, _ = w.Write([]byte(version))
			}}
			if err := s.addRunner(r); err != nil {
				return err
			}
		}
		return nil
	}
	if err := versions("v1"); err != nil {
		return err
	}
	if err := s.startAll([]string{"z0", "z1", "z2", "z0"}, nil); err != nil {
		return err
	}
	start := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(start.Add(d))) }
	last, ended := make([]string, sessionCount), make([]time.Time, sessionCount)
	moved := 0
	var mu sync.Mutex
	round := func(v *vm, count bool) {
		var wg sync.WaitGroup
		for i := range sessionCount {
			time.Sleep(time.Millisecond)
			wg.Go(func() {
				name := fmt.Sprintf("session-%d", i)
				sent := time.Now()
				r := s.send(v, request{path: "/look/1", session: name, patience: 2 * time.Second})
				mu.Lock()
				defer mu.Unlock()
				note := ""
				if before := last[i]; r.err == nil && r.status == http.StatusOK {
					idle := sent.Sub(ended[i])
					if before != "" && before != r.body && idle < session {
						note = fmt.Sprintf(", the one before in its session ran on %s, which ended %v before", before, idle.Round(time.Millisecond))
						if count && strings.HasPrefix(r.body, "v2") {
							moved++
						}
					}
					last[i], ended[i] = r.body, time.Now()
				}
				s.record("request %s of %s at %s: %v, ran on %s%s", r.id, name, v.name, r, r.body, note)
			})
		}
		wg.Wait()
	}
	first, other := s.vms[0], s.vms[3]
	round(first, false)
	at(time.Second)
	if err := versions("v2"); err != nil {
		return err
	}
	s.store.Put("op", "rollout/desk", map[string]any{"Service": "desk", "To": "v2", "DurationS": 24})
	ordered := time.Now()
	s.record("the rollout of v2 is ordered, for 24 s")
	at(1200 * time.Millisecond)
	if trouble {
		other.signal(syscall.SIGTERM)
		s.record("machine %s gets SIGTERM", other.name)
	}
	at(4 * time.Second)
	round(first, true)
	if trouble {
		other.wait()
		s.record("machine %s has stopped", other.name)
		at(5500 * time.Millisecond)
		if err := s.start(other); err != nil {
			return err
		}
		if err := s.awaitReady(other); err != nil {
			return err
		}
	}
	at(5500*time.Millisecond + touch + 150*time.Millisecond)
	round(other, true)
	s.record("%v of the 24 s of the rollout have passed", time.Since(ordered).Round(time.Millisecond))
	s.record("PINNED: %d requests ran on the new version in the first half of its rollout, although the one before in their session, which ended less than %v before, ran on the old one", moved, session)
	if moved > mostMoved {
		return errBroken
	}
	return nil
}

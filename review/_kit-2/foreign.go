package main

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["foreign"] = foreignCase }

// foreignCase: another writer writes entries without all fields under the ids of two runners.
// The runners write theirs again at their next check-in.
func foreignCase(s *system, trouble bool) error {
	s.configure(
		route("desk", "unsafe", "desk", 1, 800*time.Millisecond, 150*time.Millisecond),
		route("stock", "safe", "stock", 2, 800*time.Millisecond, 150*time.Millisecond),
	)
	var mu sync.Mutex
	wrong := 0
	all := map[string]*runner{}
	for _, service := range []string{"desk", "stock"} {
		for _, zone := range []string{"z0", "z1", "z2"} {
			r := &runner{id: "i-" + service + "-" + zone, service: service, version: "v1", zone: zone, answer: answerAfter(30 * time.Millisecond)}
			all[r.id] = r
			r.arrived = func(req *http.Request) {
				mu.Lock()
				defer mu.Unlock()
				note := ""
				if !strings.HasPrefix(req.RequestURI, "/"+r.service+"/") {
					wrong++
					note = ", which is not of its service"
				}
				s.record("runner %s of service %s runs %s: %s %s%s", r.id, r.service, req.Header.Get(headers.Attempt), req.Method, req.RequestURI, note)
			}
			if err := s.addRunner(r); err != nil {
				return err
			}
		}
	}
	if err := s.startAll([]string{"z0", "z1", "z2"}, nil); err != nil {
		return err
	}
	victims := []*runner{all["i-stock-z0"], all["i-stock-z1"]}
	if trouble {
		for _, r := range victims {
			s.store.Put("servers", r.id, map[string]any{
				"Service": "desk", "Address": r.address, "Zone": r.zone, "Version": r.version, "Slots": 64, "State": "ready",
			})
			s.record("another writer writes an entry under the id %s, for the service desk, without Seq and ColdLeftMs", r.id)
		}
	}
	time.AfterFunc(heartbeat, func() {
		for _, r := range victims {
			s.record("runner %s checks in", r.id)
			r.register("ready")
		}
	})
	var wg sync.WaitGroup
	for n := range 200 {
		time.Sleep(8 * time.Millisecond)
		v := s.vms[n%len(s.vms)]
		wg.Go(func() {
			r := s.send(v, request{path: "/desk/1", patience: 1500 * time.Millisecond})
			s.record("booking %s at %s: %v", r.id, v.name, r)
		})
	}
	wg.Wait()
	s.record("ROUTE: %d bookings were run by a service to which no configuration allows them to go", wrong)
	if wrong > 0 {
		return errBroken
	}
	return nil
}

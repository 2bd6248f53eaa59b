package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["path"] = pathCase }

// loses are the runners that lose answers: half of all.
var loses = map[string]bool{"i-desk-z0": true, "i-stock-z0": true, "i-stock-z1": true}

// pathCase: some bookings have a path with an escaped slash, as clients write a name with a slash
// in one segment. The longest prefix that begins their path is that of the unsafe route. Some
// runners lose the answers to a quarter of the requests.
func pathCase(s *system, trouble bool) error {
	s.configure(
		route("desk", "unsafe", "desk", 1, 800*time.Millisecond, 150*time.Millisecond),
		route("desk/stock", "safe", "stock", 2, 800*time.Millisecond, 150*time.Millisecond),
	)
	var mu sync.Mutex
	runs := map[string][]string{}
	for _, service := range []string{"desk", "stock"} {
		for _, zone := range []string{"z0", "z1", "z2"} {
			r := &runner{id: "i-" + service + "-" + zone, service: service, version: "v1", zone: zone}
			work := answerAfter(30 * time.Millisecond)
			r.answer = func(w http.ResponseWriter, req *http.Request) {
				id := req.Header.Get(headers.Attempt)
				mu.Lock()
				runs[id] = append(runs[id], r.id)
				first := len(runs[id]) == 1
				mu.Unlock()
				s.record("runner %s of service %s runs %s: %s %s", r.id, r.service, id, req.Method, req.RequestURI)
				if trouble && req.Header.Get("X-Lose") != "" && first && loses[r.id] {
					time.Sleep(30 * time.Millisecond)
					s.record("the answer of runner %s is lost", r.id)
					panic(http.ErrAbortHandler)
				}
				work(w, req)
			}
			if err := s.addRunner(r); err != nil {
				return err
			}
		}
	}
	if err := s.startAll([]string{"z0", "z1", "z2"}, nil); err != nil {
		return err
	}
	wrong, twice := 0, 0
	for n := range 24 {
		for _, path := range []string{"/desk/stock%2Fbeacon-7", "/desk/beacon-7"} {
			lose := n%4 == 3
			r := s.send(s.vms[n%len(s.vms)], request{path: path, patience: 1500 * time.Millisecond, lose: lose})
			s.record("booking %s with path %s: %v", r.id, path, r)
			mu.Lock()
			at := runs[r.id]
			mu.Unlock()
			for _, id := range at {
				if id[:6] != "i-desk" {
					wrong++
				}
			}
			if len(at) > 1 {
				twice++
			}
		}
	}
	s.record("not judged: %d runs of bookings by a service to which the configuration does not allow them to go", wrong)
	s.record("TWICE: %d requests of the unsafe route have run more than once", twice)
	if twice > 0 {
		return errBroken
	}
	return nil
}

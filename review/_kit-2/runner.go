package main

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// runner is a stand-in of a runner that registers in the store.
type runner struct {
	s                          *system
	id, service, version, zone string
	address                    string
	// answer handles a request that the runner runs.
	answer func(w http.ResponseWriter, r *http.Request)
	// arrived is called for each request that is meant for this runner; it may be nil.
	arrived func(r *http.Request)
	leaving atomic.Bool

	mu     sync.Mutex
	server *http.Server
	// born is the start of the process.
	born int64
}

// addRunner starts and registers a runner.
func (s *system) addRunner(r *runner) error {
	r.s = s
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.address = l.Addr().String()
	r.listen(l)
	return nil
}

func (r *runner) listen(l net.Listener) {
	r.mu.Lock()
	r.server = r.s.serve(l, http.HandlerFunc(r.handle))
	r.born = time.Now().UnixMilli()
	r.mu.Unlock()
	r.register("ready")
}

func (r *runner) register(state string) {
	r.s.store.Put("servers", r.id, map[string]any{
		"Service": r.service, "Address": r.address, "Zone": r.zone, "Version": r.version, "Slots": 64, "State": state, "ColdLeftMs": 0,
		"Seq": 1, "born": r.born,
	})
}

// exit ends the process of the runner: all its channels are reset.
func (r *runner) exit() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.server.Close()
}

// crash ends the process of the runner. Another one takes its place at the same address after
// a time.
func (r *runner) crash(back time.Duration) {
	r.exit()
	time.AfterFunc(back, func() {
		l, err := net.Listen("tcp4", r.address)
		if err != nil {
			r.s.record("runner %s is not back: %v", r.id, err)
			return
		}
		r.listen(l)
	})
}

func (r *runner) handle(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get(headers.Attempt)
	h := w.Header()
	h.Set(headers.Attempt, id)
	if r.leaving.Load() {
		h.Set(headers.Leaving, "1")
	}
	if req.Header.Get(headers.ExpectInstance) != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.arrived != nil {
		r.arrived(req)
	}
	h.Set(headers.Stamp, "stamp."+r.id+"."+id)
	r.answer(w, req)
}

// answerAfter answers a plain request after a time of work.
func answerAfter(work time.Duration) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(work)
		body := "done " + r.Header.Get(headers.Attempt)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write([]byte(body))
	}
}

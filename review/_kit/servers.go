package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a request that reached a server. crashing is set if it has the part of a prompt
// that crashes servers.
type arrival struct {
	server, id string
	crashing   bool
	at         time.Time
}

// servers are the servers of one service.
type servers struct {
	h       *host
	service string
	// events is the number of events of a stream, 0 for a plain service. every is the time
	// before each event, or the work for an answer of a plain service; first is that
	// before the first event besides.
	events       int
	every, first time.Duration
	// crashPart is the part of a prompt that crashes each server that has begun to write an
	// answer on it; empty for none. It is back at its address after restart, with another
	// id. whole returns after how many whole events it crashes; with 0 it crashes within
	// the first one.
	crashPart string
	whole     func() int
	restart   time.Duration
	// quiet keeps the requests out of the record.
	quiet bool

	mu       sync.Mutex
	starts   int
	crashes  []time.Time
	arrivals []arrival
	running  map[string]*http.Server
	closed   bool
}

// startServers starts n servers, in three zones in turn.
func startServers(s *servers, n int) (*servers, error) {
	s.running = map[string]*http.Server{}
	for i := range n {
		if err := s.start("127.0.0.1:0", fmt.Sprintf("z%d", i%3)); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// start starts a server and registers it.
func (s *servers) start(address, zone string) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return l.Close()
	}
	s.starts++
	id := fmt.Sprintf("i-%s-%d", s.service, s.starts)
	server := &http.Server{ReadHeaderTimeout: time.Second}
	var once sync.Once
	crash := func() { once.Do(func() { s.crash(id, l.Addr().String(), zone) }) }
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, id, crash) })
	s.running[id] = server
	go func() { _ = server.Serve(l) }()
	s.h.store.Put("servers", id, map[string]any{
		"Service": s.service, "Address": l.Addr().String(), "Zone": zone, "Version": "v1", "Slots": 64, "State": "ready", "ColdLeftMs": 0, "Seq": 1,
		"born": time.Now().UnixMilli(),
	})
	return nil
}

// crash ends a server. Its entry in the store stays until it is back.
func (s *servers) crash(id, address, zone string) {
	s.mu.Lock()
	s.crashes = append(s.crashes, time.Now())
	n, server := len(s.crashes), s.running[id]
	delete(s.running, id)
	s.mu.Unlock()
	s.h.rec.line("crash %d: server %s", n, id)
	_ = server.Close()
	time.AfterFunc(s.restart, func() {
		s.h.store.Remove("servers", id)
		if err := s.start(address, zone); err != nil {
			s.h.rec.line("server at %s is not back: %v", address, err)
		}
	})
}

func (s *servers) serve(w http.ResponseWriter, r *http.Request, id string, crash func()) {
	request := r.Header.Get(headers.Attempt)
	w.Header().Set(headers.Attempt, request)
	if r.Header.Get(headers.ExpectInstance) != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	crashing := s.crashPart != "" && strings.Contains(r.Header.Get(headers.Prefix), s.crashPart+":")
	whole := 0
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{id, request, crashing, time.Now()})
	if crashing && s.whole != nil {
		whole = s.whole()
	}
	s.mu.Unlock()
	if !s.quiet {
		s.h.rec.line("request %s reaches server %s and runs", request, id)
	}
	_, _ = io.Copy(io.Discard, r.Body) // the server then notices that the channel closes
	w.Header().Set(headers.Stamp, "stamp-"+id)
	if s.events == 0 {
		if sleep(r, s.every) {
			_, _ = io.WriteString(w, "done by "+id) // fails when the channel is closed
		}
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(headers.Confidence, "100")
	from, _ := strconv.Atoi(r.Header.Get(headers.LastEvent)) // 0 for a new stream
	if from == 0 && !sleep(r, s.first) {
		return
	}
	for i := from + 1; i <= s.events; i++ {
		if !sleep(r, s.every) {
			return
		}
		if crashing && i > from+whole {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: te", i) // fails when the channel is closed
			_ = http.NewResponseController(w).Flush()
			crash()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: text\n\n", i) // Flush reports the error
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

// sleep waits for d and reports whether the channel of a request is still open.
func sleep(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// reached reports whether a request has reached a server.
func (s *servers) reached(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.arrivals {
		if a.id == id {
			return true
		}
	}
	return false
}

func (s *servers) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, server := range s.running {
		_ = server.Close()
	}
}

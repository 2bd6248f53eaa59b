package clientlimit

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/internal/idleconn"
)

// flowServer is a server whose requests join the flow that their path names and then run until
// release is closed.
type flowServer struct {
	t       *testing.T
	limiter *Limiter
	address string
	release chan struct{}
	// statuses receives the status of each response.
	statuses chan int
}

func serveFlows(t *testing.T, o Options) *flowServer {
	o.HeaderTimeout, o.IdleTimeout = time.Minute, time.Minute
	s := &flowServer{t: t, limiter: New(o), release: make(chan struct{}), statuses: make(chan int, 1000)}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	s.address = listener.Addr().String()
	refuse := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if Join(r.Context(), r.URL.Path) != nil {
			refuse(w, r)
			return
		}
		<-s.release
	})}
	listener = s.limiter.Setup(server, listener, idleconn.New(), refuse)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// ask sends a request of a flow on a connection of its own.
func (s *flowServer) ask(flow string) {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + s.address + flow)
	if err != nil {
		s.statuses <- 0
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	s.statuses <- resp.StatusCode
}

// fill sends requests of a flow, one after the other, until one is refused. It returns the number
// of all requests that run then.
func (s *flowServer) fill(flow string, running int) int {
	s.t.Helper()
	for ; ; running++ {
		s.running(running)
		go s.ask(flow)
		for joined := false; !joined; {
			select {
			case status := <-s.statuses:
				assert.Equal(s.t, status, http.StatusServiceUnavailable)
				s.running(running)
				return running
			case <-time.After(time.Millisecond):
				joined = s.joined() > running
			}
		}
	}
}

// joined returns the number of requests that have joined a flow.
func (s *flowServer) joined() (n int) {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	for c := range s.limiter.conns {
		if c.flow != nil {
			n++
		}
	}
	return n
}

// running waits until n requests run.
func (s *flowServer) running(n int) {
	s.t.Helper()
	for begun := time.Now(); s.limiter.Usage().Descriptors != 2*n; time.Sleep(time.Millisecond) {
		assert.Assert(s.t, time.Since(begun) < 10*time.Second, "%+v", s.limiter.Usage())
	}
}

// headBytes is what the header section of ask counts, rounded up.
const headBytes = 1200

// Guards against one kind of request that takes all places while its requests run, and against a
// kind that comes later and finds none.
func TestFlowsShareThePlaces(t *testing.T) {
	for name, o := range map[string]Options{
		"descriptors": {Memory: 1 << 30, Descriptors: 2 * 40},
		"memory":      {Memory: 40 * (connectionBytes + requestBytes + headBytes), Descriptors: 1000},
	} {
		t.Run(name, func(t *testing.T) {
			s := serveFlows(t, o)
			assert.Equal(t, s.fill("/a", 0), 30)
			// Another kind gets three times what is then left free.
			assert.Equal(t, s.fill("/b", 30), 37)
			running := s.fill("/c", 37)
			assert.Assert(t, running > 37)
			close(s.release)
			for range running {
				assert.Equal(t, <-s.statuses, http.StatusOK)
			}
			s.running(0)
			assert.Equal(t, len(s.limiter.flows), 0)
			assert.Equal(t, s.limiter.inFlows, usage{})
		})
	}
}

// Guards against a request alone that is refused because of a share, although there is room.
func TestRequestAloneHasNoShare(t *testing.T) {
	s := serveFlows(t, Options{Memory: 1 << 20, Descriptors: 2})
	go s.ask("/a")
	s.running(1)
	close(s.release)
	assert.Equal(t, <-s.statuses, http.StatusOK)
}

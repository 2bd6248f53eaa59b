package gateway_test

import (
	"bytes"
	"io"
	"math"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/gateway"
	"github.com/savoryshift/savoryshift/internal/knownred"
	"github.com/savoryshift/savoryshift/routing"
)

// upload sends a booking with a long body and returns the status. Without a known length the
// body comes in chunks.
func (s *system) upload(size int, known bool) int {
	s.t.Helper()
	var body io.Reader = bytes.NewReader(make([]byte, size))
	if !known {
		body = io.MultiReader(body)
	}
	req, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, s.url+"/unsafe/x", body)
	assert.NilError(s.t, err)
	req.Host, req.Close = "h", true
	req.Header = http.Header{"Id": {"r1"}, "Key": {"key"}}
	resp, err := (&http.Transport{}).RoundTrip(req)
	if !assert.Check(s.t, err) {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// Guards against a VM that runs out of memory, and ends with all its requests, because many
// clients send long bodies at once; also against memory that is not given back.
func TestLongBodiesUseUpTheMemory(t *testing.T) {
	for name, known := range map[string]bool{"with a length": true, "in chunks": false} {
		t.Run(name, func(t *testing.T) {
			knownred.SkipListed(t, "gateway")
			const size = 700 << 10
			release := make(chan struct{})
			u := startUpstream(t, "u1", func(r *http.Request, w io.Writer) bool {
				<-release
				return answer(http.StatusOK, "booked")(r, w)
			})
			s := newSystem(t, registration(u, "v1"))
			// Chunks are read into a buffer that doubles: of 512 KiB into one of 1 MiB.
			s.restart(gateway.Options{MaxRequestBodies: 2 << 20}).configure()
			first := make(chan int, 2)
			for range 2 {
				go func() { first <- s.upload(size, known) }()
				time.Sleep(300 * time.Millisecond)
			}
			assert.Check(t, s.server.RequestBodyBytes() > 0)
			begun := time.Now()
			assert.Equal(t, s.upload(size, known), http.StatusServiceUnavailable)
			assert.Check(t, time.Since(begun) < time.Second)
			close(release)
			statuses := []int{<-first, <-first}
			served := 0
			for _, status := range statuses {
				if status == http.StatusOK {
					served++
				}
			}
			assert.Check(t, served >= 1, "%v", statuses)
			for begun := time.Now(); s.server.RequestBodyBytes() > 0 && time.Since(begun) < time.Second; {
				time.Sleep(10 * time.Millisecond)
			}
			assert.Equal(t, s.server.RequestBodyBytes(), int64(0))
			assert.Equal(t, s.upload(size, known), http.StatusOK)
		})
	}
}

// Guards against a limit on bodies beyond all memory with which no request is served.
func TestBodyLimitBeyondAllMemory(t *testing.T) {
	s := newSystem(t, registration(startUpstream(t, "u1", answer(http.StatusOK, "booked")), "v1"))
	c, err := routing.Compile(routing.Configuration{
		Version: 1, Limits: routing.Limits{MaxBodyBytes: math.MaxInt64}, Services: []routing.Service{{Name: "svc"}},
		Routes: []routing.Route{{
			Name: "unsafe", Host: "h", Prefix: "/unsafe/", Kind: routing.Unsafe, Timeout: 3 * time.Second, MaxAttempts: 1,
			Destinations: []routing.Destination{{Service: "svc", Weight: 1}},
		}},
		Organisations: []routing.Organisation{{Name: "org", Keys: []string{"key"}}},
	})
	assert.NilError(t, err)
	s.server.SetState(&gateway.State{Snapshot: c})
	for _, known := range []bool{true, false} {
		assert.Equal(t, s.upload(700<<10, known), http.StatusOK)
	}
}

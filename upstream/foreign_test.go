package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/upstream"
)

// repeatingServer runs every request. The first response on each connection is that
// of respond; every later request gets the response of the request before it.
type repeatingServer struct {
	respond func(*http.Request) string

	mu  sync.Mutex
	ran []string // the attempt ids of the requests
}

func (s *repeatingServer) attempts() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.ran)
}

func (s *repeatingServer) serve(t *testing.T) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.handle(conn)
		}
	}()
	return "http://" + l.Addr().String()
}

func (s *repeatingServer) handle(conn net.Conn) {
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	r, last := bufio.NewReader(conn), ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		s.mu.Lock()
		s.ran = append(s.ran, req.Header.Get(upstream.HeaderAttemptID))
		s.mu.Unlock()
		own := s.respond(req)
		if last == "" {
			last = own
		}
		if _, err := io.WriteString(conn, last); err != nil {
			return
		}
		last = own
	}
}

// response returns a response with the ids of an engine call.
func response(r *http.Request, status int, header, body string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n%s", status, len(body), header)
	for _, name := range []string{upstream.HeaderRequestID, upstream.HeaderAttemptID, upstream.HeaderVersion} {
		fmt.Fprintf(&b, "%s: %s\r\n", name, r.Header.Get(name))
	}
	return b.String() + "\r\n" + body
}

// Guards against a refusal of an earlier call that is believed for a later one on
// the same connection, and against a connection that stays in use after it, so that
// each call gets the response of the one before.
func TestResponseOfAnEarlierCall(t *testing.T) {
	for name, respond := range map[string]func(*http.Request) string{
		"refused": func(r *http.Request) string {
			return response(r, http.StatusServiceUnavailable, upstream.HeaderRan+": no\r\n", `{}`)
		},
		"refused without a body": func(r *http.Request) string {
			return response(r, http.StatusServiceUnavailable, upstream.HeaderRan+": no\r\n", "")
		},
		"answered":                func(r *http.Request) string { return response(r, http.StatusOK, "", goodWhole) },
		"answered without a body": func(r *http.Request) string { return response(r, http.StatusOK, "", "") },
	} {
		t.Run(name, func(t *testing.T) {
			s, c := &repeatingServer{respond: respond}, newClient(t, upstream.Options{})
			url := s.serve(t)
			foreign := 0
			var sent []string
			for i := range 8 {
				one := call(url, wholeBody)
				one.RequestID, one.AttemptID = fmt.Sprint("r", i), fmt.Sprint("a", i)
				sent = append(sent, one.AttemptID)
				_, err := c.Complete(bounded(t), one)
				own := err == nil || errkind.Of(err) == errkind.UpstreamRefused || strings.Contains(err.Error(), "chat completion")
				if !own {
					foreign++
					assert.Assert(t, errkind.RanOf(err) != errkind.RanNo, "call %d: %v", i, err)
				}
			}
			assert.DeepEqual(t, s.attempts(), sent)
			assert.Equal(t, foreign, 4)
		})
	}
}

// Guards against a refusal with several values of a header, one of which is that of
// the call.
func TestRefusalWithAmbiguousHeaders(t *testing.T) {
	for _, name := range []string{upstream.HeaderRequestID, upstream.HeaderAttemptID, upstream.HeaderRan} {
		url := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(upstream.HeaderRequestID, r.Header.Get(upstream.HeaderRequestID))
			w.Header().Set(upstream.HeaderAttemptID, r.Header.Get(upstream.HeaderAttemptID))
			w.Header().Set(upstream.HeaderRan, "no")
			w.Header().Add(name, "other")
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		_, err := newClient(t, upstream.Options{}).Complete(bounded(t), call(url, wholeBody))
		assert.Equal(t, errkind.RanOf(err), errkind.RanUnknown, "%s: %v", name, err)
	}
}

// Guards against a booking that gets the response of an earlier one, as a refusal,
// although it was made. The responses of services have no ids.
func TestBookingGetsItsOwnResponse(t *testing.T) {
	var bookings atomic.Int32
	s := &repeatingServer{respond: func(r *http.Request) string {
		if bookings.Add(1) == 1 {
			return "HTTP/1.1 503 X\r\nContent-Length: 4\r\n\r\nfull"
		}
		return "HTTP/1.1 201 X\r\nContent-Length: 2\r\n\r\nok"
	}}
	url, c := s.serve(t), newClient(t, upstream.Options{})
	for i := range 4 {
		res, err := c.Forward(bounded(t), booking(url, http.MethodPost, `{}`, false))
		assert.NilError(t, err)
		assert.Equal(t, res.Status == http.StatusServiceUnavailable, i == 0, "booking %d: status %d", i, res.Status)
	}
	assert.Equal(t, len(s.attempts()), 4)
}

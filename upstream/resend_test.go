package upstream_test

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/upstream"
)

// breakingServer answers the first request on each connection. It executes the
// second one and breaks the connection without a response.
type breakingServer struct {
	executed atomic.Int32
}

func (f *breakingServer) serve(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go f.handle(conn)
		}
	}()
	return "http://" + l.Addr().String()
}

func (f *breakingServer) handle(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for i := range 2 {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := r.Discard(int(req.ContentLength)); err != nil {
			return
		}
		f.executed.Add(1)
		if i == 0 {
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

func booking(url, method, body string, repeatable bool) upstream.ServiceCall {
	return upstream.ServiceCall{
		URL: url, Method: method, Path: "/bookings", Body: []byte(body), Repeatable: repeatable,
		Header: http.Header{"Idempotency-Key": {"k1"}},
	}
}

// Guards against a booking that is sent again when its connection breaks.
// net/http does so on its own for a reused connection when the request has an
// Idempotency-Key.
func TestBookingIsSentOnce(t *testing.T) {
	for _, tc := range []struct {
		method, body string
		repeatable   bool
		executed     int32
	}{
		{http.MethodPost, `{"beacon":7}`, false, 2},
		{http.MethodPost, "", false, 2},
		{http.MethodDelete, "", false, 2},
		{http.MethodGet, "", false, 2},
		{http.MethodGet, "", true, 3},
	} {
		t.Run(fmt.Sprint(tc.method, len(tc.body), tc.repeatable), func(t *testing.T) {
			f, c := &breakingServer{}, newClient(t, upstream.Options{})
			url := f.serve(t)
			_, err := c.ForwardOnKept(bounded(t), booking(url, tc.method, tc.body, tc.repeatable))
			assert.NilError(t, err)
			_, err = c.ForwardOnKept(bounded(t), booking(url, tc.method, tc.body, tc.repeatable))
			assert.Equal(t, f.executed.Load(), tc.executed)
			if tc.repeatable {
				assert.NilError(t, err)
				return
			}
			assert.Equal(t, errkind.Of(err), errkind.UpstreamFailed, "%v", err)
			assert.Equal(t, errkind.RanOf(err), errkind.RanUnknown)
		})
	}
}

// Negative control: the bookings are sent by a plain net/http transport, which
// sends a request with an Idempotency-Key again when its reused connection
// breaks. The server must count more bookings than were made.
func TestBookingIsSentAgainByPlainTransport(t *testing.T) {
	f := &breakingServer{}
	url := f.serve(t)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for range 2 {
		req, err := http.NewRequestWithContext(bounded(t), http.MethodPost, url, strings.NewReader("{}"))
		assert.NilError(t, err)
		req.Header.Set("Idempotency-Key", "k1")
		resp, err := transport.RoundTrip(req)
		assert.NilError(t, err)
		buf := make([]byte, 2)
		_, _ = resp.Body.Read(buf)
		_ = resp.Body.Close()
	}
	assert.Assert(t, f.executed.Load() > 2, "the plain transport did not send again: the check cannot fail")
}

// Guards against calls that are written without the BeforeWrite check, on a
// reused connection or without a body.
func TestBeforeWriteGuardsReusedConnections(t *testing.T) {
	var executed atomic.Int32
	url := serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { executed.Add(1) }))
	c := newClient(t, upstream.Options{})
	for _, body := range []string{"{}", ""} {
		checks := 0
		guarded := booking(url, http.MethodPost, body, true)
		guarded.BeforeWrite = func() error { checks++; return nil }
		_, err := c.Forward(bounded(t), guarded)
		assert.NilError(t, err)
		lapsed := errors.New("lapsed")
		guarded.BeforeWrite = func() error { checks++; return lapsed }
		_, err = c.Forward(bounded(t), guarded)
		assert.ErrorIs(t, err, lapsed)
		assert.Equal(t, errkind.RanOf(err), errkind.RanNo)
		assert.Equal(t, checks, 2)
	}
	assert.Equal(t, executed.Load(), int32(2))
}

// Guards against header fields of one connection that pass through the router
// in either direction.
func TestHopByHopFieldsAreDropped(t *testing.T) {
	var got http.Header
	url := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r.Header
		w.Header().Set("Connection", "X-Inner")
		w.Header().Set("X-Inner", "1")
		w.Header().Set("X-Outer", "1")
	}))
	res, err := newClient(t, upstream.Options{}).Forward(bounded(t), upstream.ServiceCall{
		URL: url, Method: http.MethodGet, Path: "/a%2Fb", Query: "q=1", Repeatable: true,
		Header: http.Header{"Connection": {"close, X-Private"}, "X-Private": {"1"}, "Te": {"trailers"}, "X-Public": {"1"}},
	})
	assert.NilError(t, err)
	assert.Equal(t, got.Get("X-Private")+got.Get("Te"), "")
	assert.Equal(t, got.Get("X-Public"), "1")
	assert.Equal(t, res.Header.Get("X-Inner"), "")
	assert.Equal(t, res.Header.Get("X-Outer"), "1")
}

package upstream_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/standin/service"
	"github.com/savoryshift/savoryshift/upstream"
	"github.com/savoryshift/savoryshift/upstream/upstreamtest"
)

// breakingConn breaks after a given number of bytes in either direction.
type breakingConn struct {
	net.Conn
	writes, reads atomic.Int64
}

var errBroken = errors.New("connection reset")

func (c *breakingConn) Write(p []byte) (int, error) { return c.limit(&c.writes, p, c.Conn.Write) }
func (c *breakingConn) Read(p []byte) (int, error)  { return c.limit(&c.reads, p, c.Conn.Read) }

func (c *breakingConn) limit(left *atomic.Int64, p []byte, do func([]byte) (int, error)) (int, error) {
	allowed := min(int64(len(p)), left.Load())
	if allowed <= 0 {
		_ = c.Close()
		return 0, errBroken
	}
	n, err := do(p[:allowed])
	if left.Add(-int64(n)); err == nil && left.Load() <= 0 && n < len(p) && allowed < int64(len(p)) {
		_ = c.Close()
		err = errBroken
	}
	return n, err
}

// breakingDial dials connections that break after a random number of bytes. The
// numbers are drawn in advance, because the transport dials in goroutines of
// its own.
func breakingDial(rt *rapid.T, network *upstreamtest.Network) func(context.Context, string, string) (net.Conn, error) {
	const conns = 64
	limits := rapid.SliceOfN(rapid.IntRange(0, 700), 2*conns, 2*conns).Draw(rt, "bytes")
	var dialled atomic.Int64
	return func(ctx context.Context, proto, address string) (net.Conn, error) {
		conn, err := network.Dial(ctx, proto, address)
		if err != nil {
			return nil, err
		}
		n := int(dialled.Add(1)-1) % conns
		broken := &breakingConn{Conn: conn}
		broken.writes.Store(int64(limits[2*n]))
		broken.reads.Store(int64(limits[2*n+1]))
		return broken, nil
	}
}

// bookFunc sends one booking. It returns whether the booking was answered and
// what is known of its execution.
type bookFunc func(key string, check func() error) (answered bool, ran errkind.Ran)

// checkBookings sends bookings over connections that break at random positions.
// It returns an error unless each booking ran at most once, each answered one
// ran, and none that was reported as "not run" ran.
func checkBookings(t *testing.T, client func(dial func(context.Context, string, string) (net.Conn, error)) bookFunc) func(*rapid.T) error {
	return func(rt *rapid.T) error {
		network, s := upstreamtest.New(), service.New()
		network.Serve(t, "service:80", s)
		send := client(breakingDial(rt, network))
		type result struct {
			answered bool
			ran      errkind.Ran
		}
		results := map[string]result{}
		for i := range 12 {
			var check func() error
			if rapid.IntRange(0, 4).Draw(rt, "lease") == 0 {
				check = func() error { return errors.New("lapsed") }
			}
			key := fmt.Sprint("k", i)
			answered, ran := send(key, check)
			results[key] = result{answered, ran}
		}
		executed := map[string]int{}
		for _, e := range s.Executions() {
			executed[e.IdempotencyKey]++
		}
		for key, e := range results {
			if n := executed[key]; n > 1 || e.answered && n != 1 || e.ran == errkind.RanNo && n != 0 {
				return fmt.Errorf("%s: executed %d times, answered %t, ran %s", key, n, e.answered, e.ran)
			}
		}
		return nil
	}
}

// Guards against bookings that run twice, or are reported wrongly, when
// connections break at any byte.
func TestBookingsRunOnceOverBreakingConnections(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		assert.NilError(rt, checkBookings(t, func(dial func(context.Context, string, string) (net.Conn, error)) bookFunc {
			c := upstream.New(upstream.Options{Dial: dial})
			rt.Cleanup(c.Close)
			return func(key string, check func() error) (bool, errkind.Ran) {
				one := booking("http://service:80", http.MethodPost, `{}`, false)
				one.Header, one.BeforeWrite = http.Header{"Idempotency-Key": {key}}, check
				_, err := c.Forward(bounded(t), one)
				return err == nil, errkind.RanOf(err)
			}
		})(rt))
	})
}

// Negative control: the bookings are sent by a plain net/http transport, without
// the BeforeWrite check, and a failed request is reported as not run. The check
// must find a booking that runs twice or is reported wrongly.
func TestBookingsOverPlainTransport(t *testing.T) {
	broken := false
	rapid.Check(t, func(rt *rapid.T) {
		err := checkBookings(t, func(dial func(context.Context, string, string) (net.Conn, error)) bookFunc {
			transport := &http.Transport{DialContext: dial}
			rt.Cleanup(transport.CloseIdleConnections)
			return func(key string, _ func() error) (bool, errkind.Ran) {
				req, err := http.NewRequestWithContext(bounded(t), http.MethodPost, "http://service:80/bookings", strings.NewReader("{}"))
				assert.NilError(rt, err)
				req.Header.Set("Idempotency-Key", key)
				resp, err := transport.RoundTrip(req)
				if err != nil {
					return false, errkind.RanNo
				}
				defer resp.Body.Close()
				_, err = io.Copy(io.Discard, resp.Body)
				return err == nil, errkind.RanUnknown
			}
		})(rt)
		broken = broken || err != nil
	})
	assert.Assert(t, broken, "the check cannot fail")
}

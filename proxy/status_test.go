package proxy_test

import (
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/errkind"
)

// Guards against a response of a service without a valid status that panics the handler of its
// request, or holds it until the deadline.
func TestInvalidStatusOfAServiceFails(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "1000", "-01", "abc"} {
		for _, kind := range []string{"service", "booking"} {
			t.Run(status+"/"+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newFixture(t)
					k := cutKinds[kind]
					c := &cutResponses{framing: framing{version: "1.1", header: "Content-Length: {length}\r\n", status: status}, kind: k}
					c.cut.Store(math.MaxInt32)
					l := w.net.Listen("10.0.0.3:80")
					defer l.Close()
					go c.serve(l)
					start := time.Now()
					r := w.sendCut(w.serve("10.1.0.1:80", w.options(w.router())), k, "key")
					want := errkind.UpstreamInvalidAnswer
					if kind == "service" {
						// The call may be repeated, but the service has no other instance.
						want = errkind.NoCapacity
					}
					assert.Equal(t, r.status, errkind.AnswerFor(want).Status, r.body)
					assert.Assert(t, strings.Contains(r.body, string(want)), r.body)
					// The deadline is 2 s.
					assert.Check(t, time.Since(start) < time.Second, "after %v", time.Since(start))
				})
			})
		}
	}
}

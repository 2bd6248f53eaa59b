package gateway_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a response without a valid status that holds its request until the deadline,
// or reaches the client.
func TestInvalidStatusHoldsTheRequest(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "1000", "-01", "abc"} {
		for route := range repeatable {
			for name, size := range map[string]int{"small": 4, "upload": 3 << 20} {
				t.Run(status+"/"+route+"/"+name, func(t *testing.T) {
					t.Parallel()
					u := startEarlyUpstream(t, "u1", func(r *http.Request, conn *net.TCPConn) {
						head, body := framings["length"].response(route, r.Header.Get("Id"))
						_, _ = conn.Write([]byte(strings.Replace(head, "200", status, 1) + body))
						// The upstream keeps the connection open until the gateway closes it.
						for b := make([]byte, 64<<10); ; {
							if _, err := conn.Read(b); err != nil {
								return
							}
						}
					})
					s := newSystem(t, registration(u, "v1")).configure()
					start := time.Now()
					r := s.callWithBody("/"+route+"/x", size)
					assert.Equal(t, r.status, http.StatusBadGateway)
					// The deadline is 3 s.
					assert.Check(t, time.Since(start) < 2*time.Second, "after %v", time.Since(start))
				})
			}
		}
	}
}

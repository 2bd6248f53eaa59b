package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// pausingBody returns a script that pauses in the middle of the response body.
func pausingBody(pause time.Duration) script {
	return func(r *http.Request, w io.Writer) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Length: 8\r\n\r\nhalf", r.Header.Get("Id"))
		time.Sleep(pause)
		fmt.Fprint(w, "half")
		return true
	}
}

// Guards against a whole response that is given up because its sound upstream pauses.
func TestPausedResponseIsGivenUp(t *testing.T) {
	const pause = 2200 * time.Millisecond
	first := map[string]script{"head": hesitating(pause, answer(200, "halfhalf")), "body": pausingBody(pause)}
	second := map[string]script{
		"others refuse": answer(http.StatusServiceUnavailable, "", "Not-Run: 1"),
		"others fail":   answer(http.StatusInternalServerError, "bad"),
		"others break":  func(*http.Request, io.Writer) bool { return false },
	}
	for where, do := range first {
		for others, second := range second {
			for _, route := range []string{"safe", "unsafe"} {
				for _, budget := range []int{0, 100} {
					t.Run(fmt.Sprintf("%s/%s/%s/budget %d", where, others, route, budget), func(t *testing.T) {
						t.Parallel()
						s, _, _ := newPair(t, do, second)
						s.budget.left = budget
						r := s.call("/" + route + "/x")
						assert.Equal(t, r.status, http.StatusOK, r.body)
						assert.Equal(t, r.body, "halfhalf")
					})
				}
			}
		}
	}
}

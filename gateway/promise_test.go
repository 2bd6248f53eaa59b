package gateway_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a client of an unsafe request that is told "not run" by a status although
// the upstream did not say so.
func TestStatusPromisesNotRunForTheUpstream(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		for _, signature := range []string{"", "Signature: s"} {
			for _, route := range []string{"unsafe", "once"} {
				t.Run(fmt.Sprintf("%d/%s/%s", status, route, signature), func(t *testing.T) {
					r := try(t, route, false, respond(status, "{id}", signature))
					assert.Equal(t, r.status, http.StatusBadGateway)
					assertNotForeign(t, r.reply)
					assert.Equal(t, r.header.Get("Signature"), "")
					assert.Equal(t, r.sentTo(r.b), 0, "the request was sent again")
				})
			}
		}
	}
}

// Guards against a failure of an upstream that is replaced although its status promises
// nothing, or although the request may run more than once.
func TestFailureOfAnUpstreamIsReplaced(t *testing.T) {
	for route, statuses := range map[string][]int{
		"unsafe": {400, 404, 500, 502, 504}, "once": {400, 404, 500, 502, 504}, "safe": {400, 408, 429, 500, 503}, "stream": {400, 408, 429, 500, 503},
	} {
		for _, status := range statuses {
			t.Run(fmt.Sprintf("%d/%s", status, route), func(t *testing.T) {
				do := respondSigned(status, "{id}")
				s, _, _ := newPair(t, do, do)
				r := s.call("/"+route+"/x", "Model: large")
				assert.Equal(t, r.status, status)
				assert.Equal(t, r.body, foreignText)
				assert.Equal(t, r.header.Get("Signature"), "s")
			})
		}
	}
}

package service_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/standin/service"
	"github.com/savoryshift/savoryshift/upstream"
)

// Guards against a booking that is executed twice but recorded once, and against
// injected faults that fail a call on the wrong side of its execution.
func TestExecutionsShowThroughFaults(t *testing.T) {
	s := service.New()
	server := httptest.NewServer(s)
	defer server.Close()
	c := upstream.New(upstream.Options{})
	defer c.Close()
	for i, tc := range []struct {
		faults   service.Faults
		status   int
		executed int
	}{
		{service.Faults{}, 201, 1},
		{service.Faults{}, 201, 2},
		{service.Faults{FailBefore: true}, 503, 2},
		{service.Faults{FailAfter: true}, 500, 3},
		{service.Faults{CutReply: true}, 0, 4},
	} {
		s.SetFaults(tc.faults)
		res, err := c.Forward(t.Context(), upstream.ServiceCall{
			URL: server.URL, Method: "POST", Path: "/bookings", Body: []byte(`{"beacon":7}`),
			Header: map[string][]string{service.HeaderIdempotencyKey: {"k1"}},
		})
		assert.Equal(t, res.Status, tc.status, "call %d", i)
		assert.Equal(t, len(s.Executions()), tc.executed, "call %d", i)
		if tc.status == 0 {
			assert.Equal(t, errkind.RanOf(err), errkind.RanUnknown)
		}
	}
	assert.Equal(t, s.Executions()[3].IdempotencyKey, "k1")
	s.SetFaults(service.Faults{})
	for _, status := range []int{200, 409} {
		res, err := c.Forward(t.Context(), upstream.ServiceCall{
			URL: server.URL, Method: "POST", Path: "/returns", Body: []byte(`{"booking":"b1"}`),
		})
		assert.NilError(t, err)
		assert.Equal(t, res.Status, status)
	}
	res, err := c.Forward(t.Context(), upstream.ServiceCall{URL: server.URL, Method: "GET", Path: "/bookings/b1"})
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(res.Body), `"returned":true`), string(res.Body))
}

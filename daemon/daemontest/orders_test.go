package daemontest_test

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/daemon/daemontest"
	"github.com/savoryshift/savoryshift/standin/engine"
)

// ordersTime is the time within which an engine must hold what the settings say
// again: the lease of 10 s, the repeat of an order after 60 s, and the weight
// store's rate.
const ordersTime = 100 * time.Second

// unload makes an engine forget its versions, as a restart does.
func unload(t *testing.T, e *engine.Engine) {
	answer := httptest.NewRecorder()
	e.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "/v1/orders", strings.NewReader(`{"fencing":0,"hold":[]}`)))
	assert.Equal(t, answer.Code, http.StatusOK, answer.Body.String())
	assert.Equal(t, len(held(e)), 0)
}

// held lists the versions that an engine can run.
func held(e *engine.Engine) []string {
	answer := httptest.NewRecorder()
	e.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/v1/held", nil))
	return slices.DeleteFunc(strings.FieldsFunc(answer.Body.String(), func(r rune) bool {
		return strings.ContainsRune(`[]", `+"\n", r)
	}), func(s string) bool { return s == "null" })
}

// Guards against engines that stay without versions: one that ignores fencing
// numbers and has lost its versions gets the order to hold them again, and then
// serves. The twin without a platform gets no order.
func TestEngineGetsItsVersionsBack(t *testing.T) {
	for name, cut := range map[string]bool{"with the platform": false, "twin: without": true} {
		t.Run(name, func(t *testing.T) {
			run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
				e := s.Engines["engine-za"]
				assert.Assert(t, len(held(e)) > 0)
				time.Sleep(2 * inForce) // the control lease is taken
				if cut {
					for _, zone := range daemontest.Zones {
						s.Net.Cut(zone, daemontest.PlatformHost)
					}
					time.Sleep(2 * inForce) // the control lease has lapsed
				}
				unload(t, e)
				time.Sleep(ordersTime)
				assert.Equal(t, len(held(e)) > 0, !cut, "%v", held(e))
			})
		})
	}
}

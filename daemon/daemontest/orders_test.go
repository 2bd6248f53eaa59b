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

// reloadTimeout is the time within which an engine that has lost its versions
// must have loaded them again. It covers the control lease of 10 s, the repeat of
// an order after 60 s, and the rate limit of transfers from the weight store.
const reloadTimeout = 100 * time.Second

// unload makes an engine drop its loaded versions, as a restart does.
func unload(t *testing.T, e *engine.Engine) {
	answer := httptest.NewRecorder()
	e.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "/v1/orders", strings.NewReader(`{"fencing":0,"hold":[]}`)))
	assert.Equal(t, answer.Code, http.StatusOK, answer.Body.String())
	assert.Equal(t, len(heldVersions(e)), 0)
}

// heldVersions lists the versions that an engine has loaded.
func heldVersions(e *engine.Engine) []string {
	answer := httptest.NewRecorder()
	e.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/v1/held", nil))
	return slices.DeleteFunc(strings.FieldsFunc(answer.Body.String(), func(r rune) bool {
		return strings.ContainsRune(`[]", `+"\n", r)
	}), func(s string) bool { return s == "null" })
}

// Guards against engines that stay without versions: an engine that has lost its
// versions, and that ignores fencing tokens, must get the order to load them
// again. In the negative control the platform is cut off, so no daemon holds the
// control lease and the engine must get no order.
func TestEngineGetsItsVersionsBack(t *testing.T) {
	for name, cut := range map[string]bool{"with the platform": false, "negative control: without": true} {
		t.Run(name, func(t *testing.T) {
			run(t, daemontest.Options{}, func(t *testing.T, s *daemontest.System) {
				e := s.Engines["engine-za"]
				assert.Assert(t, len(heldVersions(e)) > 0)
				time.Sleep(2 * propagationTime) // until a daemon holds the control lease
				if cut {
					for _, zone := range daemontest.Zones {
						s.Net.Cut(zone, daemontest.PlatformHost)
					}
					time.Sleep(2 * propagationTime) // until the control lease has expired
				}
				unload(t, e)
				time.Sleep(reloadTimeout)
				assert.Equal(t, len(heldVersions(e)) > 0, !cut, "%v", heldVersions(e))
			})
		})
	}
}

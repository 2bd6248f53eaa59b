package entrytest

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/platform/standin"
)

// evacuationBound is within the platform's bound of 5 s for the time until an evacuation is in
// force.
const evacuationBound = 2 * time.Second

func startIn(t *testing.T, s *System, id, zone string) *standin.Upstream {
	t.Helper()
	u, err := standin.StartUpstream(s.Store, id, "desk", "v1", zone, plainService)
	assert.NilError(t, err)
	return u
}

// checkZones sends requests to all VMs and checks which of the upstreams take them.
func checkZones(t *testing.T, s *System, used, unused []*standin.Upstream) {
	t.Helper()
	before := 0
	for _, u := range unused {
		before += u.Total()
	}
	for _, vm := range s.VMs {
		for range 6 {
			a := s.Call(vm, "/book/x", standin.Key)
			want := http.StatusOK
			if len(used) == 0 {
				want = http.StatusServiceUnavailable
				assert.Check(t, a.Header.Get("Retry-After") != "")
			}
			assert.Check(t, a.Status == want, "%+v", a)
		}
	}
	after := 0
	for _, u := range unused {
		after += u.Total()
	}
	assert.Equal(t, after, before)
}

// Guards against requests to an evacuated zone on any VM: with one that starts during the
// evacuation, an unavailable store, two zones, all zones of a service, damaged and foreign
// rows, and a zone that is taken back.
func TestEvacuation(t *testing.T) {
	s := New(t)
	x, y := startIn(t, s, "dx", "x"), startIn(t, s, "dy", "y")
	s.Start()
	s.Start()
	time.Sleep(discoveryTime)
	s.Store.PutValue("op", "evacuate/x", []byte("\x00{"))
	s.Store.Put("op", "evacuate/", map[string]any{})
	s.Store.Put("op", "evacuate/ y", map[string]any{})
	s.Store.Put("op", "evacuate", map[string]any{})
	time.Sleep(evacuationBound)
	s.Start()
	checkZones(t, s, []*standin.Upstream{y}, []*standin.Upstream{x})

	s.Store.SetFault(standin.Fault{Down: true})
	time.Sleep(2 * time.Second)
	s.Start() // from a peer's table
	checkZones(t, s, []*standin.Upstream{y}, []*standin.Upstream{x})
	s.Store.SetFault(standin.Fault{})

	s.Store.PutRaw("op", "evacuate/y", rawRow("op", "evacuate/y", `"%%"`))
	time.Sleep(evacuationBound + time.Second) // the store has just returned
	checkZones(t, s, nil, []*standin.Upstream{x, y})

	s.Store.Remove("op", "evacuate/x")
	s.Eventually("the zone is used again", func() bool { return s.Call(s.VMs[0], "/book/x", standin.Key).Status == http.StatusOK })
	s.Store.Put("op", "evacuate/x", map[string]any{})
	s.Store.Remove("op", "evacuate/x")
	s.Store.Put("op", "evacuate/x", map[string]any{})
	s.Store.Remove("op", "evacuate/y")
	time.Sleep(evacuationBound)
	checkZones(t, s, []*standin.Upstream{y}, []*standin.Upstream{x})
}

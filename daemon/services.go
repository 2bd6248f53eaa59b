package daemon

import (
	"cmp"
	"slices"
	"time"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/proxy"
	"github.com/savoryshift/savoryshift/tree"
)

// ServiceTarget implements proxy.Router. It returns the usable instance with the
// fewest calls in flight; of equal ones it prefers an instance in the zone of this
// daemon.
func (r *routing) ServiceTarget(service string, tried []string) (proxy.Target, error) {
	v := r.view.Load()
	if v == nil {
		return proxy.Target{}, errkind.New(errkind.NoConfiguration, "this daemon has no view of the upstreams yet")
	}
	var best *tree.UpstreamInfo
	for _, up := range v.snapshot.UpstreamsOfService(service) {
		if !v.usable[up.ID] || slices.Contains(tried, up.ID) {
			continue
		}
		if best == nil || r.compare(v, up, best) < 0 {
			best = up
		}
	}
	if best == nil {
		return proxy.Target{}, errkind.New(errkind.NoCapacity, "no instance of service %q is available", service)
	}
	v.live[best.ID].Begin()
	return proxy.Target{Upstream: best.ID, URL: best.URL}, nil
}

// compare orders instances by calls in flight, then by distance.
func (r *routing) compare(v *routeView, a, b *tree.UpstreamInfo) int {
	return cmp.Or(
		cmp.Compare(v.live[a.ID].InFlight(), v.live[b.ID].InFlight()),
		cmp.Compare(r.distance(a.Upstream), r.distance(b.Upstream)),
	)
}

// ServiceFinished implements proxy.Router.
func (r *routing) ServiceFinished(t proxy.Target, err error) {
	live := r.liveOf(t.Upstream)
	live.End()
	r.observe(t.Upstream, time.Now(), err)
	if err == nil {
		live.Succeeded()
		return
	}
	live.Failed(r.now())
}

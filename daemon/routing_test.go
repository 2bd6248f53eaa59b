package daemon

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/coord/member"
	"github.com/savoryshift/savoryshift/coord/memstore"
	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/proxy"
	"github.com/savoryshift/savoryshift/settings"
	"github.com/savoryshift/savoryshift/tree"
)

const routingTree = `{
"versions":{"s1":{"model":"small","cost_per_1k_output_tokens":1},"l1":{"model":"large","cost_per_1k_output_tokens":10}},
"upstreams":{
 "e1":{"kind":"engine","url":"http://10.0.0.1:80","availability_zone":"a","versions":["s1","l1"],"slots":8},
 "e2":{"kind":"engine","url":"http://10.0.0.2:80","availability_zone":"b","versions":["s1","l1"],"slots":8},
 "d1":{"kind":"service","url":"http://10.0.0.3:80","availability_zone":"b"},
 "d2":{"kind":"service","url":"http://10.0.0.4:80","availability_zone":"a"}},
"services":{"brief":{"kind":"model","upstreams":["e1","e2"]},"desk":{"kind":"plain","path_prefix":"/desk/","upstreams":["d1","d2"]}},
"organisations":{"club":{"models":["small","large"],"services":{"brief":{},"desk":{}}}}}`

func newTestRouting(t *testing.T, states map[string]upstreamState) (*routing, proxy.RouteRequest) {
	s, err := tree.Build([]byte(routingTree), 1, "")
	assert.NilError(t, err)
	e, err := s.Effective("club", "brief", "")
	assert.NilError(t, err)
	r := newRouting("a", newGuards(nil))
	r.observe = func(string, time.Time, error) {}
	r.rebuild(s, states, true)
	return r, proxy.RouteRequest{
		RequestID:    "r",
		Organisation: "club",
		Service:      "brief",
		Effective:    e,
		Versions:     []string{"s1", "l1"},
		PromptTokens: 20,
		Deadline:     time.Now().Add(time.Minute),
	}
}

// Guards against requests to an upstream that is down or leaving, or for a
// version that the engine has not loaded. Without upstream states, both engines
// are used.
func TestOnlyUsableUpstreamsGetWork(t *testing.T) {
	for name, c := range map[string]struct {
		states map[string]upstreamState
		want   []string
	}{
		"all":          {nil, []string{"e1", "e2"}},
		"one down":     {map[string]upstreamState{"e1": {}, "e2": {healthy: true}}, []string{"e2"}},
		"not held yet": {map[string]upstreamState{"e1": {healthy: true, held: []string{}}, "e2": {healthy: true}}, []string{"e2"}},
	} {
		t.Run(name, func(t *testing.T) {
			r, q := newTestRouting(t, c.states)
			var used []string
			for range 50 {
				q.RequestID += "x"
				plan, err := r.Plan(q)
				assert.NilError(t, err)
				target := plan.Steps[0].Target
				r.Started(q, target) // load moves the next plan to another engine
				if !slices.Contains(used, target.Upstream) {
					used = append(used, target.Upstream)
				}
			}
			slices.Sort(used)
			assert.DeepEqual(t, used, c.want)
		})
	}
}

// Guards against a refusal without an error kind when no upstream is usable.
func TestNoUsableUpstream(t *testing.T) {
	r, q := newTestRouting(t, map[string]upstreamState{"e1": {}, "e2": {}, "d1": {}, "d2": {}})
	_, err := r.Plan(q)
	assert.Equal(t, errkind.Of(err), errkind.NoCapacity)
	_, err = r.ServiceTarget("desk", nil)
	assert.Equal(t, errkind.Of(err), errkind.NoCapacity)
}

// Guards against a resumed stream that changes its version, and against a retry
// on the upstream that has just failed.
func TestRetryKeepsVersionAndAvoidsUpstream(t *testing.T) {
	r, q := newTestRouting(t, nil)
	failed := proxy.Target{Upstream: "e1", Version: "l1"}
	plan, err := r.Next(q, proxy.Progress{Failed: &failed, KeepVersion: "l1", Calls: 1})
	assert.NilError(t, err)
	assert.Equal(t, len(plan.Steps), 1)
	assert.Equal(t, plan.Steps[0].Version, "l1")
	assert.Equal(t, plan.Steps[0].Upstream, "e2")
}

// Guards against service requests that go to a busy instance, or to one in another
// zone, without need.
func TestServiceTargetPrefersFreeThenNear(t *testing.T) {
	r, _ := newTestRouting(t, nil)
	first, err := r.ServiceTarget("desk", nil)
	assert.NilError(t, err)
	assert.Equal(t, first.Upstream, "d2")
	second, err := r.ServiceTarget("desk", nil)
	assert.NilError(t, err)
	assert.Equal(t, second.Upstream, "d1")
	_, err = r.ServiceTarget("desk", []string{"d1", "d2"})
	assert.Equal(t, errkind.Of(err), errkind.NoCapacity)
}

// Guards against daemons that do not find the new address of a replaced VM, and
// against an earlier incarnation that overwrites the row of a later one.
func TestRegistryFollowsReplacedVMs(t *testing.T) {
	table := memstore.New()
	ctx := t.Context()
	watcher := newRegistry(table, member.VM{ID: "a/vm0", Incarnation: 1}, "10.0.0.9:1",
		[]settings.SeedPeer{{VM: "vm1", AvailabilityZone: "a", Address: "10.0.0.1:1"}})
	old := newRegistry(table, member.VM{ID: "a/vm1", Incarnation: 5}, "10.0.0.1:1", nil)
	replaced := newRegistry(table, member.VM{ID: "a/vm1", Incarnation: 6}, "10.0.0.2:1", nil)
	assert.NilError(t, old.register(ctx))
	assert.NilError(t, replaced.register(ctx))
	assert.ErrorIs(t, old.register(ctx), errReplaced)
	address, ok := watcher.addressOf("a/vm1")
	assert.Assert(t, ok)
	assert.Equal(t, address, "10.0.0.1:1") // the seed, until the rows are read
	watcher.readAddresses(ctx, []string{"a/vm1"})
	address, _ = watcher.addressOf("a/vm1")
	assert.Equal(t, address, "10.0.0.2:1")
}

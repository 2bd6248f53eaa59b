package daemon

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/proxy"
	"github.com/savoryshift/savoryshift/tree"
)

func rolloutSnapshot(t *testing.T, state tree.RolloutState) *tree.Snapshot {
	s, err := tree.Compile(tree.Tree{
		Versions: map[string]tree.Version{
			"s1": {Model: "small", CostPer1kOutputTokens: 1, State: tree.VersionSettled},
			"s2": {Model: "small", CostPer1kOutputTokens: 1, State: tree.VersionCandidate},
		},
		Rollouts: map[string]tree.Rollout{"r": {From: "s1", To: "s2", Percent: 50, State: state}},
	}, 1, "")
	assert.NilError(t, err)
	return s
}

// Guards against a bad candidate that stays in use: one that fails, is rated
// worse or is slow, as observed by this daemon or by another one. A healthy
// candidate must not be halted.
func TestGuardsHaltABadCandidate(t *testing.T) {
	base := proxy.Target{Upstream: "e1", Version: "s1"}
	candidate := proxy.Target{Upstream: "e1", Version: "s2"}
	outcome := func(target proxy.Target, pace time.Duration, err error) proxy.Outcome {
		return proxy.Outcome{Target: target, Total: 100 * pace, CompletionTokens: 100, Err: err}
	}
	signals := map[string]func(*guards, int){
		"healthy": func(g *guards, i int) {
			g.observeServed(outcome(candidate, time.Millisecond, nil))
			g.observeRating(proxy.RouteRequest{}, candidate, i%10 != 0)
		},
		"fails": func(g *guards, i int) {
			if i%3 == 0 {
				g.observeFailed(outcome(candidate, 0, errkind.New(errkind.UpstreamFailed, "status 500")))
			} else {
				g.observeServed(outcome(candidate, time.Millisecond, nil))
			}
		},
		"rated worse": func(g *guards, i int) { g.observeRating(proxy.RouteRequest{}, candidate, i%2 == 0) },
		"slow":        func(g *guards, i int) { g.observeServed(outcome(candidate, 2*time.Millisecond, nil)) },
	}
	for name, observe := range signals {
		for _, remote := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, seen remotely %t", name, remote), func(t *testing.T) {
				halted := map[string]bool{}
				newDaemonGuards := func(daemon string) *guards {
					g := newGuards(func(version, rollout, _ string) { halted[daemon+version+rollout] = true })
					g.update(rolloutSnapshot(t, tree.RolloutRunning))
					return g
				}
				here, there := newDaemonGuards("here "), newDaemonGuards("there ")
				for i := range 200 {
					here.observeServed(outcome(base, time.Millisecond, nil))
					here.observeRating(proxy.RouteRequest{}, base, i%10 != 0)
					observe(here, i)
				}
				if remote {
					there.merge("here", here.counts())
					assert.Equal(t, halted["there s2r"], name != "healthy")
				}
				assert.Equal(t, halted["here s2r"], name != "healthy")
			})
		}
	}
	g := newGuards(nil)
	g.update(rolloutSnapshot(t, tree.RolloutAborted))
	assert.Assert(t, !g.watched("s2"))
}

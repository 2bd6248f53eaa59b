package daemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/coord/member"
	"github.com/savoryshift/savoryshift/coord/memstore"
	"github.com/savoryshift/savoryshift/coord/share"
	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/tree"
)

func limitedSnapshot(t *testing.T, limits string) (*tree.Snapshot, *tree.Effective) {
	s, err := tree.Build([]byte(`{"services":{"brief":{"kind":"model","upstreams":[]}},
		"organisations":{"club":{"limits":`+limits+`,"services":{"brief":{"limits":{"requests_per_second":100}}}}}}`), 1, "")
	assert.NilError(t, err)
	e, err := s.Effective("club", "brief", "")
	assert.NilError(t, err)
	return s, e
}

// Guards against two daemons that together admit more than the limit of an
// organisation, against a limit that still applies after the settings have dropped
// it, and against a refusal with the wrong error kind.
func TestLimitsHoldOverDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond, seconds = 10, 60
		table := memstore.New()
		s, e := limitedSnapshot(t, `{"requests_per_second":10}`)
		ctx, cancel := context.WithCancel(t.Context())
		var limiters []limiter
		for _, id := range []string{"a/vm0", "b/vm0"} {
			l := limiter{share.New(share.Options{Table: table, VM: id, Incarnation: "1", Holders: func() int { return 2 }})}
			l.setLimits(nil, s)
			go func() { _ = l.shares.Run(ctx) }()
			limiters = append(limiters, l)
		}
		admitted := 0
		for i := range seconds * 40 {
			done, err := limiters[i%2].Admit(e, 0)
			if err == nil {
				admitted++
				done(0)
			} else {
				assert.Equal(t, errkind.Of(err), errkind.LimitExceeded)
			}
			time.Sleep(25 * time.Millisecond)
		}
		// The budget of one second may have accumulated before the start.
		assert.Assert(t, admitted <= perSecond*(seconds+1), admitted)
		assert.Assert(t, admitted >= perSecond*seconds*9/10, admitted)

		free, e := limitedSnapshot(t, `{}`)
		limiters[0].setLimits(s, free)
		for range 20 {
			_, err := limiters[0].Admit(e, 0)
			assert.NilError(t, err)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against reclaiming the shares of a live VM: only a VM that has been
// missing from the platform's list for goneAfter loses its shares.
func TestSharesReturnOnlyFromVMsThatAreGone(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		listed, read bool
		after        time.Duration
		registered   bool
	}{
		"listed":        {true, true, 2 * goneAfter, true},
		"list not read": {false, false, 2 * goneAfter, true},
		"missing short": {false, true, goneAfter / 2, true},
		"missing long":  {false, true, goneAfter, false},
	} {
		t.Run(name, func(t *testing.T) {
			table := memstore.New()
			assert.NilError(t, newRegistry(table, member.VM{ID: "a/vm1", Incarnation: 1}, "10.0.0.1:1", nil).register(t.Context()))
			r := &reclaimer{
				table:  table,
				shares: share.New(share.Options{Table: table, VM: "a/vm0", Incarnation: "1"}),
				listed: func(string) (bool, bool) { return c.listed, c.read },
			}
			r.reclaimMissing(t.Context(), now)
			r.reclaimMissing(t.Context(), now.Add(c.after))
			rows, err := registeredVMs(t.Context(), table)
			assert.NilError(t, err)
			assert.Equal(t, len(rows) == 1, c.registered)
		})
	}
}

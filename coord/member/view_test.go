package member_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/coord/member"
)

func ids(vms []member.VM) []string {
	out := make([]string, len(vms))
	for i, vm := range vms {
		out[i] = vm.ID
	}
	return out
}

// Guards against silent VMs that stay delegates, and against a late message of
// a replaced process that takes the place of its successor.
func TestViewLifecycle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := member.New(member.Options{Self: member.VM{ID: "a/1", Incarnation: 1}})
		assert.NilError(t, v.RecordAlive(member.VM{ID: "a/2", Incarnation: 5}, time.Now()))
		assert.NilError(t, v.RecordAlive(member.VM{ID: "b/1", Incarnation: 1}, time.Now()))
		time.Sleep(3 * time.Second)
		assert.DeepEqual(t, ids(v.Live()), []string{"a/1", "b/1"})
		assert.DeepEqual(t, v.Delegates("a", 2), []string{"a/1"})
		assert.DeepEqual(t, v.Contacts("a"), []string{"a/2"}) // still contacted
		assert.NilError(t, v.RecordAlive(member.VM{ID: "a/2", Incarnation: 6}, time.Now()))
		assert.ErrorIs(t, v.RecordAlive(member.VM{ID: "a/2", Incarnation: 5}, time.Now()), member.ErrOldIncarnation)
		assert.ErrorIs(t, v.RecordAlive(member.VM{ID: "nozone", Incarnation: 5}, time.Now()), member.ErrBadID)
		assert.DeepEqual(t, ids(v.Live()), []string{"a/1", "a/2", "b/1"})
		time.Sleep(13 * time.Second)
		assert.DeepEqual(t, v.Sweep(), []string{"b/1"})
		time.Sleep(13 * time.Second)
		assert.DeepEqual(t, v.Sweep(), []string{"a/2"})
		assert.ErrorIs(t, v.RecordAlive(member.VM{ID: "a/2", Incarnation: 5}, time.Now()), member.ErrOldIncarnation)
		assert.NilError(t, v.RecordAlive(member.VM{ID: "a/2", Incarnation: 6}, time.Now().Add(-time.Minute))) // stale report
		assert.Equal(t, len(v.Members()), 1)
		assert.NilError(t, v.RecordAlive(member.VM{ID: "a/2", Incarnation: 6}, time.Now())) // resumed after a freeze
		assert.Equal(t, len(v.Members()), 2)
		assert.DeepEqual(t, v.Counters(), member.Counters{OldIncarnations: 2, Restarts: 1, Suspected: 1, Removed: 2})
	})
}

// Guards against a zone that is never contacted again once a long partition has
// removed all of its VMs from the view.
func TestSeedsAreContacted(t *testing.T) {
	v := member.New(member.Options{Self: member.VM{ID: "a/1", Incarnation: 1}})
	v.SetSeeds([]string{"a/1", "a/2", "b/1", "bad"})
	assert.DeepEqual(t, v.Zones(), []string{"a", "b"})
	assert.DeepEqual(t, v.Delegates("b", 2), []string{"b/1"})
	assert.DeepEqual(t, v.Contacts("a"), []string{"a/2"})
	v.SetSeeds([]string{"b/1", "b/2", "b/3", "b/4"})
	chosen := slices.Concat(v.Delegates("b", 2), v.Delegates("b", 2))
	slices.Sort(chosen)
	assert.DeepEqual(t, chosen, []string{"b/1", "b/2", "b/3", "b/4"})
}

// Guards against a delegate that is chosen again and again though calls to it
// fail, because others still report it.
func TestFailedCallSuspects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := member.New(member.Options{Self: member.VM{ID: "a/1", Incarnation: 1}})
		other := member.VM{ID: "b/1", Incarnation: 1}
		report := func() { assert.NilError(t, v.RecordAlive(other, time.Now())) }
		report()
		v.Fail("b/1")
		report()
		assert.Equal(t, len(v.Live()), 1)
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(v.Live()), 2)
		v.Fail("b/1")
		assert.NilError(t, v.HearDirect(other))
		assert.Equal(t, len(v.Live()), 2)
	})
}

// Guards against a choice that moves when an unrelated VM leaves, and against
// two VMs with the same view that choose differently.
func TestDelegatesAreStable(t *testing.T) {
	view := func(self int, skip int) *member.View {
		v := member.New(member.Options{Self: member.VM{ID: fmt.Sprint("a/", self), Incarnation: 1}})
		for i := range 20 {
			if i != skip {
				assert.NilError(t, v.RecordAlive(member.VM{ID: fmt.Sprint("a/", i), Incarnation: 1}, time.Now()))
			}
		}
		return v
	}
	all := view(0, -1).Delegates("a", 2)
	assert.DeepEqual(t, view(7, -1).Delegates("a", 2), all)
	for skip := range 20 {
		got := view(0, skip).Delegates("a", 2)
		for _, id := range all {
			left := id == fmt.Sprint("a/", skip) && skip != 0
			assert.Equal(t, slices.Contains(got, id), !left, "skip %d", skip)
		}
	}
}

package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func zoneSet(names ...string) map[string]bool {
	set := map[string]bool{}
	for _, name := range names {
		set[name] = true
	}
	return set
}

// Guards against calls that are placed in an evacuated zone: with two zones evacuated, as a
// last resort, or at an upstream that registers, drains or restarts meanwhile; and against
// calls that were placed before and are written.
func TestEvacuatedZoneGetsNoCalls(t *testing.T) {
	b := engines(6, "x", "y", "z")
	q := query(100)
	earlier := b.upstreams["e0"].Instance()
	assert.Assert(t, b.Usable(earlier, now))
	b.SetEvacuated(zoneSet("x", "y"), now)
	assert.Assert(t, !b.Usable(earlier, now))
	for range 20 {
		_, c := place(t, b, q)
		assert.Equal(t, c.AvailabilityZone, "z")
	}
	list := []Upstream{}
	for _, e := range b.upstreams {
		u := e.Upstream
		u.Incarnation = 2
		if u.AvailabilityZone == "z" {
			u.Draining = true
		}
		list = append(list, u)
	}
	b.SetUpstreams(list, now, now)
	_, ok := b.Choose(q)
	assert.Assert(t, !ok, "the only other zone drains")
	assert.Equal(t, b.Alternatives("s", "", nil, now), 0)
	assert.Assert(t, b.AllEvacuated(q))
	assert.DeepEqual(t, b.ExclusionCounts(q), ExclusionCounts{Registered: 6, Evacuated: 4, Leaving: 2})
}

// Guards against a zone that is not used again, or is used again too early, if it is taken
// back and evacuated again at once, and against a zone evacuated before any upstream is
// known.
func TestZoneIsTakenBackAndEvacuatedAgain(t *testing.T) {
	b := NewBalancer(Options{})
	added, removed := b.SetEvacuated(zoneSet("x"), now)
	assert.Equal(t, len(added)+len(removed), 1)
	list := []Upstream{{ID: "e0", Service: "s", Address: "a", AvailabilityZone: "x", Slots: 1}}
	b.SetUpstreams(list, now, now)
	for i := range 10 {
		_, ok := b.Choose(query(10))
		assert.Equal(t, ok, i%2 == 1)
		at := after(time.Duration(i) * 100 * time.Millisecond)
		if i%2 == 0 {
			added, removed = b.SetEvacuated(zoneSet(), at)
		} else {
			added, removed = b.SetEvacuated(zoneSet("x"), at)
		}
		assert.Equal(t, len(added), i%2)
		assert.Equal(t, len(removed), 1-i%2)
	}
}

// Guards against a client that is told to return at the end of a pause in a zone that is
// evacuated, and against a zone partition that lets calls into another evacuated zone.
func TestEvacuationBesidePausesAndPartitions(t *testing.T) {
	b := engines(2, "x", "y")
	b.SetEvacuated(zoneSet("x"), now)
	b.RecordPause(b.upstreams["e0"].Instance(), time.Second, now)
	b.RecordPause(b.upstreams["e1"].Instance(), 5*time.Second, now)
	assert.Equal(t, b.ShortestPause(query(10)), 5*time.Second)
	assert.Assert(t, !b.AllEvacuated(query(10)))
	b = engines(2, "x", "y")
	b.SetEvacuated(zoneSet("x"), now)
	b.zone("y").lastFailureAt = now
	_, c := place(t, b, query(10))
	assert.Equal(t, c.ID, "e1")
}

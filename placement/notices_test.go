package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// pair returns two upstreams, of which the first one is preferred for its zone.
func pair() (b *Balancer, first, second Upstream) {
	first = Upstream{ID: "e0", Incarnation: 1, Service: "s", Address: "a", AvailabilityZone: "z", Release: "v1", Slots: 4}
	second = Upstream{ID: "e1", Incarnation: 1, Service: "s", Address: "b", AvailabilityZone: "y", Release: "v1", Slots: 4}
	b = NewBalancer(Options{AvailabilityZone: "z"})
	b.SetUpstreams([]Upstream{first, second}, now, now)
	return b, first, second
}

// chosen returns the upstream that is chosen at a time, empty if there is none.
func chosen(b *Balancer, at time.Time, exclude ...string) string {
	q := query(1000)
	q.Now, q.Exclude = at, map[string]bool{}
	for _, id := range exclude {
		q.Exclude[id] = true
	}
	c, _ := b.Choose(q)
	return c.ID
}

// Guards against calls to an upstream that said it leaves, on each way on which the state
// of an upstream is replaced or a call is placed all the same.
func TestLeavingByOwnWord(t *testing.T) {
	later := after(time.Second)
	for name, c := range map[string]struct {
		change func(b *Balancer, first, second Upstream)
		at     time.Time
		want   string
	}{
		"still registered as ready": {func(*Balancer, Upstream, Upstream) {}, later, "e1"},
		"registrations are read again": {func(b *Balancer, first, second Upstream) {
			b.SetUpstreams([]Upstream{first, second}, later, later)
		}, later, "e1"},
		"another release under the same incarnation": {func(b *Balancer, first, second Upstream) {
			first.Release = "v2"
			b.SetUpstreams([]Upstream{first, second}, later, later)
		}, later, "e1"},
		"no other upstream": {func(b *Balancer, first, second Upstream) {
			b.SetUpstreams([]Upstream{first}, later, later)
		}, after(time.Minute), ""},
		"registration lapsed, last resort": {func(b *Balancer, first, second Upstream) {
			b.SetUpstreams(nil, later, later)
			b.RecordLeaving(second.Instance(), later)
		}, later, ""},
		"registration back after its state was dropped": {func(b *Balancer, first, second Upstream) {
			b.SetUpstreams([]Upstream{second}, later, later)
			gone := later.Add(2 * unregisteredRetention)
			b.SetUpstreams([]Upstream{second}, gone, gone)
			b.Sweep(gone)
			b.SetUpstreams([]Upstream{first, second}, gone, gone)
		}, later.Add(3 * unregisteredRetention), "e1"},
		"new incarnation": {func(b *Balancer, first, second Upstream) {
			first.Incarnation = 2
			b.SetUpstreams([]Upstream{first, second}, later, later)
		}, later, "e0"},
		"new address": {func(b *Balancer, first, second Upstream) {
			first.Address = "c"
			b.SetUpstreams([]Upstream{first, second}, later, later)
		}, later, "e0"},
		"first incarnation again": {func(b *Balancer, first, second Upstream) {
			next := first
			next.Incarnation = 2
			b.SetUpstreams([]Upstream{next, second}, later, later)
			b.SetUpstreams([]Upstream{first, second}, later, later)
		}, later, "e1"},
	} {
		t.Run(name, func(t *testing.T) {
			b, first, second := pair()
			assert.Equal(t, chosen(b, now), "e0")
			assert.Assert(t, b.RecordLeaving(first.Instance(), now))
			assert.Assert(t, !b.RecordLeaving(first.Instance(), now), "reported twice")
			c.change(b, first, second)
			assert.Equal(t, chosen(b, c.at), c.want)
		})
	}
}

// Guards against a notice that is lost because it was told before the registration was
// read.
func TestLeavingBeforeRegistration(t *testing.T) {
	_, first, second := pair()
	b := NewBalancer(Options{AvailabilityZone: "z"})
	b.RecordLeaving(first.Instance(), now)
	b.SetUpstreams([]Upstream{first, second}, now, now)
	assert.Equal(t, chosen(b, now), "e1")
}

// Guards against a placed call that is written after the instance said that it leaves,
// asked for a pause or was replaced.
func TestPlacedCallIsNotWritten(t *testing.T) {
	for name, change := range map[string]func(b *Balancer, first Upstream){
		"leaving": func(b *Balancer, first Upstream) { b.RecordLeaving(first.Instance(), now) },
		"paused":  func(b *Balancer, first Upstream) { b.RecordPause(first.Instance(), time.Second, now) },
		"new incarnation": func(b *Balancer, first Upstream) {
			first.Incarnation = 2
			b.SetUpstreams([]Upstream{first}, now, now)
		},
		"new address": func(b *Balancer, first Upstream) {
			first.Address = "c"
			b.SetUpstreams([]Upstream{first}, now, now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			b, first, _ := pair()
			_, c := place(t, b, query(100))
			assert.Assert(t, b.Usable(c.Instance(), now))
			change(b, first)
			assert.Assert(t, !b.Usable(c.Instance(), now))
		})
	}
}

// Guards against calls to an upstream before the end of the pause that it asked for, and
// against a pause that outlasts its end or its instance.
func TestPausedUpstream(t *testing.T) {
	const pause = 5 * time.Second
	reload := func(b *Balancer, list ...Upstream) { b.SetUpstreams(list, after(time.Second), after(time.Second)) }
	for name, c := range map[string]struct {
		change func(b *Balancer, first, second Upstream)
		until  time.Duration
	}{
		"one pause":          {func(*Balancer, Upstream, Upstream) {}, pause},
		"a longer one later": {func(b *Balancer, first, _ Upstream) { b.RecordPause(first.Instance(), pause, after(time.Second)) }, pause + time.Second},
		"a shorter one later": {func(b *Balancer, first, _ Upstream) {
			b.RecordPause(first.Instance(), time.Second, after(time.Second))
		}, pause},
		"registrations are read again": {func(b *Balancer, first, second Upstream) { reload(b, first, second) }, pause},
		"registration lapses and returns": {func(b *Balancer, first, second Upstream) {
			reload(b, second)
			reload(b, first, second)
		}, pause},
		"sweep": {func(b *Balancer, _, _ Upstream) { b.Sweep(after(time.Second)) }, pause},
		"new incarnation": {func(b *Balancer, first, second Upstream) {
			first.Incarnation = 2
			reload(b, first, second)
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b, first, second := pair()
			assert.Assert(t, b.RecordPause(first.Instance(), pause, now))
			c.change(b, first, second)
			assert.Equal(t, chosen(b, after(c.until)), "e0")
			if c.until > 0 {
				last := after(c.until - time.Millisecond)
				assert.Equal(t, chosen(b, last), "e1")
				assert.Equal(t, chosen(b, last, "e1"), "", "chosen as a last resort")
			}
		})
	}
}

// Guards against a pause that ends before its time because the state of an unregistered
// upstream is dropped.
func TestPauseOutlivesTheState(t *testing.T) {
	b, first, second := pair()
	b.RecordPause(first.Instance(), time.Hour, now)
	b.SetUpstreams([]Upstream{second}, now, now)
	gone := after(2 * unregisteredRetention)
	b.SetUpstreams([]Upstream{second}, gone, gone)
	b.Sweep(gone)
	b.SetUpstreams([]Upstream{first, second}, gone, gone)
	assert.Equal(t, chosen(b, after(time.Hour-time.Millisecond)), "e1")
	assert.Equal(t, chosen(b, after(time.Hour)), "e0")
}

// Guards against a line of the log for each answer during a pause.
func TestPauseIsReportedOnce(t *testing.T) {
	b, first, _ := pair()
	reported := 0
	for i := range 10 {
		if b.RecordPause(first.Instance(), 3*time.Second, after(time.Duration(i)*50*time.Millisecond)) {
			reported++
		}
	}
	assert.Equal(t, reported, 1)
	assert.Assert(t, b.RecordPause(first.Instance(), time.Minute, after(time.Second)))
	assert.Assert(t, b.RecordPause(first.Instance(), time.Second, after(2*time.Minute)))
}

// Guards against notices that are kept for ever, and against dropping those that still
// matter.
func TestNoticesExpire(t *testing.T) {
	b, first, second := pair()
	b.RecordLeaving(first.Instance(), now)
	b.RecordPause(second.Instance(), time.Second, now)
	b.Sweep(after(2 * leavingRetention))
	assert.Equal(t, len(b.notices), 1)
	b.SetUpstreams(nil, after(2*leavingRetention), after(2*leavingRetention))
	b.SetUpstreams(nil, after(2*leavingRetention), after(2*leavingRetention+time.Minute))
	b.Sweep(after(3 * leavingRetention))
	assert.Equal(t, len(b.notices), 1)
	b.Sweep(after(3*leavingRetention + time.Minute))
	assert.Equal(t, len(b.notices), 0)
}

// Guards against peers that are told of pauses, which are addressed to one VM, of the
// oldest news first, not of all, or of instances that left long ago.
func TestLeavingSince(t *testing.T) {
	b, first, second := pair()
	b.RecordPause(first.Instance(), time.Minute, now)
	assert.Equal(t, len(b.LeavingSince(time.Time{}, now)), 0)
	b.RecordLeaving(first.Instance(), now)
	b.RecordLeaving(second.Instance(), after(time.Second))
	assert.DeepEqual(t, b.LeavingSince(time.Time{}, after(time.Second)), []Instance{second.Instance(), first.Instance()})
	assert.DeepEqual(t, b.LeavingSince(after(time.Second), after(time.Second)), []Instance{second.Instance()})
	long := after(2 * unregisteredRetention)
	b.SetUpstreams([]Upstream{first}, now, now)
	b.SetUpstreams([]Upstream{first}, long, long)
	assert.DeepEqual(t, b.LeavingSince(time.Time{}, long), []Instance{first.Instance()})
	b.SetUpstreams([]Upstream{first, second}, long, long)
	assert.Equal(t, len(b.LeavingSince(time.Time{}, long)), 2)
}

// Guards against refused clients that are told to wait for a pause although another
// upstream may take them sooner.
func TestShortestPause(t *testing.T) {
	b, first, second := pair()
	assert.Equal(t, b.ShortestPause(query(100)), time.Duration(0))
	b.RecordPause(first.Instance(), 5*time.Second, now)
	assert.Equal(t, b.ShortestPause(query(100)), time.Duration(0))
	b.RecordPause(second.Instance(), 3*time.Second, now)
	assert.Equal(t, b.ShortestPause(query(100)), 3*time.Second)
	b.RecordLeaving(second.Instance(), now)
	assert.Equal(t, b.ShortestPause(query(100)), 5*time.Second)
	q := query(100)
	q.Allow = func(string) bool { return false }
	assert.Equal(t, b.ShortestPause(q), time.Duration(0))
	assert.Equal(t, b.ShortestPause(&Query{Service: "none", Now: now}), time.Duration(0))
}

// Guards against a refusal that is put down to another reason than the upstream's own
// word.
func TestNoticesAreCounted(t *testing.T) {
	b, first, second := pair()
	b.RecordLeaving(first.Instance(), now)
	b.RecordPause(second.Instance(), time.Second, now)
	assert.DeepEqual(t, b.ExclusionCounts(query(100)), ExclusionCounts{Registered: 2, Leaving: 1, Paused: 1})
}

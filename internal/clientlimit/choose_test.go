package clientlimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request in progress, or a client that sends at an ordinary speed, that loses
// its place, against an idle connection that is closed before one that has stopped, and against
// a client that takes its response and loses it.
func TestChoose(t *testing.T) {
	now := time.Now()
	at := func(p phase, begun, last time.Duration, bytes int64) view {
		return view{phase: p, since: now.Add(-begun), last: now.Add(-last), bytes: bytes, usage: usage{10, 1}}
	}
	list := []view{
		at(running, time.Hour, time.Hour, 0),
		at(idle, time.Second, time.Second, 0),
		at(idle, time.Minute, time.Minute, 0),
		at(inHead, time.Second, time.Second, 100),
		at(inBody, 5*time.Second, 0, 1<<20),                  // 1 s behind the slowest permitted rate
		at(inBody, 2*time.Second, 2*time.Second, 1<<20),      // silent for 2 s
		at(inBody, time.Second, 100*time.Millisecond, 1<<20), // on time
		at(inHead, 100*time.Millisecond, 100*time.Millisecond, 0),
		at(running, time.Minute, time.Minute, 0), // its client has not taken a part for 3 s
		at(running, time.Minute, time.Minute, 0), // the same for a moment
	}
	list[8].writingSince, list[9].writingSince = now.Add(-3*time.Second), now.Add(-time.Second/2)
	for _, c := range []struct {
		memory      int64
		descriptors int
		more        int
		want        []int
	}{
		{memory: 1, want: []int{5}},
		{memory: 30, want: []int{5, 3, 4}},
		{descriptors: 4, want: []int{5, 3, 4, 2}},
		{memory: 50, descriptors: 1, want: []int{5, 3, 4, 2, 1}},
		{memory: 60, want: []int{5, 3, 4, 2, 1, 8}},
		{descriptors: 1, more: 2, want: []int{5, 3, 4}},
		{descriptors: 5, more: 2, want: []int{5, 3, 4, 2, 1}},
		{descriptors: 6, more: 2, want: []int{5, 3, 4, 2, 1, 8}},
		{memory: 61, want: nil},
		{descriptors: 7, want: nil},
	} {
		assert.DeepEqual(t, choose(list, usage{c.memory, c.descriptors}, usage{descriptors: c.more}, now), c.want)
	}
}

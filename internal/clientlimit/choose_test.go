package clientlimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request in progress, or a client that sends at an ordinary speed, that loses
// its place, and against an idle connection that is closed before one that has stopped.
func TestChoose(t *testing.T) {
	now := time.Now()
	at := func(p phase, begun, last time.Duration, bytes int64) view {
		return view{phase: p, since: now.Add(-begun), last: now.Add(-last), bytes: bytes, memory: 10, descriptors: 1}
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
	}
	for _, c := range []struct {
		memory      int64
		descriptors int
		want        []int
	}{
		{memory: 1, want: []int{5}},
		{memory: 30, want: []int{5, 3, 4}},
		{descriptors: 4, want: []int{5, 3, 4, 2}},
		{memory: 50, descriptors: 1, want: []int{5, 3, 4, 2, 1}},
		{memory: 51, want: nil},
		{descriptors: 6, want: nil},
	} {
		assert.DeepEqual(t, choose(list, c.memory, c.descriptors, now), c.want)
	}
}

package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/platform/standin"
)

var begun = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// booking is a call that keeps every promise, with its run.
func booking() (Call, standin.Run) {
	c := Call{ID: "r1", Route: "book", VM: "vm0", Sent: begun, Ended: begun.Add(time.Second), Status: 200, Upstream: "desk-1", Whole: true}
	c.Answer = c.path() + " for org by desk-1"
	return c, standin.Run{Upstream: "desk-1", Service: "desk", Attempt: "r1", Target: c.path(), Organisation: "org", Body: c.body(), Status: 200, Started: begun, Ended: c.Ended}
}

func streamed(events int) (Call, standin.Run) {
	c, run := booking()
	c.Route, c.Upstream, c.Answer = "stream", "model-1", ""
	for i := range events {
		c.Answer += fmt.Sprintf("id: %d\ndata: small %s\n\n", i+1, c.path())
	}
	run.Upstream, run.Service, run.Target = "model-1", "model", c.path()
	return c, run
}

var first = Change{At: begun.Add(-time.Minute), Service: "desk"}

func broken(c Call, changes []Change, history History, runs ...standin.Run) string {
	return strings.Join(Record{Calls: []Call{c}, Runs: runs, Changes: append([]Change{first}, changes...), History: history}.Broken(), "\n")
}

// Guards against checks that pass whatever the VMs do: each promise is broken
// once, and seen.
func TestBrokenPromisesAreSeen(t *testing.T) {
	c, run := booking()
	assert.Equal(t, broken(c, nil, nil, run), "")
	s, part := streamed(streamEvents)
	assert.Equal(t, broken(s, nil, nil, part), "")

	assert.Assert(t, strings.Contains(broken(c, nil, nil, run, run), "more than once"))

	refused := c
	refused.Status, refused.Upstream = 503, ""
	assert.Assert(t, strings.Contains(broken(refused, nil, nil, run), "a refused booking ran"))
	refused.Status = 404
	assert.Assert(t, strings.Contains(broken(refused, nil, nil), "denied"))

	other := c
	other.Answer = "/book/r2 for org by desk-1"
	assert.Assert(t, strings.Contains(broken(other, nil, nil, run), "another body"))
	other = c
	other.Upstream = ""
	assert.Assert(t, strings.Contains(broken(other, nil, nil, run), "without an upstream"))
	other.Upstream = "desk-2"
	assert.Assert(t, strings.Contains(broken(other, nil, nil, run), "did not run"))

	short, part := streamed(streamEvents - 1)
	assert.Assert(t, strings.Contains(broken(short, nil, nil, part), "number of events"))
	doubled, part := streamed(streamEvents)
	doubled.Answer = strings.Replace(doubled.Answer, "id: 4\n", "id: 3\n", 1)
	assert.Assert(t, strings.Contains(broken(doubled, nil, nil, part), "wrong event"))

	changed := run
	changed.Body = "body of r2"
	assert.Assert(t, strings.Contains(broken(c, nil, nil, changed), "changed on the way"))
	stranger := run
	stranger.Attempt = "r9"
	assert.Assert(t, strings.Contains(broken(c, nil, nil, run, stranger), "no caller sent"))
}

// Guards the promises with a time limit: they hold without a disruption, and are
// not checked beside one.
func TestTimedPromisesAreSeen(t *testing.T) {
	disrupted := History{{Step: Step{Fault: StoreDown}, From: begun.Add(-time.Second), To: begun.Add(time.Second)}}
	planned := History{{Step: Step{Fault: VMStop}, From: begun.Add(-time.Second), To: begun.Add(time.Second)}}
	for name, play := range map[string]func(History) string{
		"an answer was lost": func(h History) string {
			c, run := booking()
			c.Whole = false
			return broken(c, nil, h, run)
		},
		"an old configuration": func(h History) string {
			c, run := booking()
			return broken(c, []Change{{At: begun.Add(-configurationBound - time.Second), Service: "desk2"}}, h, run)
		},
		"that left": func(h History) string {
			c, run := booking()
			return broken(c, []Change{{At: begun.Add(-leaveBound - time.Second), Upstream: "desk-1"}}, h, run)
		},
		"too many upstreams": func(h History) string {
			c, run := streamed(streamEvents)
			return broken(c, nil, h, run, run, run, run)
		},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, strings.Contains(play(planned), name), "%s", play(planned))
			assert.Equal(t, play(disrupted), "")
		})
	}
}

// Guards the check of work that goes on after its caller has left.
func TestWorkAfterTheCallerLeftIsSeen(t *testing.T) {
	r := Record{Changes: []Change{first}}
	for i := range 8 {
		c, run := streamed(streamEvents)
		c.ID, c.Left, c.Whole = fmt.Sprintf("r%d", i), true, false
		c.Answer = ""
		run.Attempt, run.Target, run.Body = c.ID, c.path(), c.body()
		run.Ended = c.Ended.Add(goneBound + time.Millisecond)
		r.Calls, r.Runs = append(r.Calls, c), append(r.Runs, run)
	}
	assert.Assert(t, strings.Contains(strings.Join(r.Broken(), "\n"), "after the caller had left"))
	for i := range r.Runs {
		r.Runs[i].Ended = begun
	}
	assert.Equal(t, len(r.Broken()), 0, "%v", r.Broken())
}

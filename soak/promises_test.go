package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/platform/standin"
)

var callStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// bookingCall returns a booking that violates no guarantee, and its run.
func bookingCall() (Call, standin.Run) {
	c := Call{ID: "r1", Route: "book", VM: "vm0", Sent: callStart, Ended: callStart.Add(time.Second), Status: 200, Upstream: "desk-1", Complete: true}
	c.Answer = c.path() + " for org by desk-1"
	return c, standin.Run{Upstream: "desk-1", Service: "desk", Attempt: "r1", Target: c.path(), Organisation: "org", Body: c.body(), Status: 200, Started: callStart, Ended: c.Ended}
}

// streamedCall returns a streamed call with a number of events, and its run.
func streamedCall(events int) (Call, standin.Run) {
	c, run := bookingCall()
	c.Route, c.Upstream, c.Answer = "stream", "model-1", ""
	for i := range events {
		c.Answer += fmt.Sprintf("id: %d\ndata: small %s\n\n", i+1, c.path())
	}
	run.Upstream, run.Service, run.Target = "model-1", "model", c.path()
	return c, run
}

var initialConfiguration = Change{At: callStart.Add(-time.Minute), Service: "desk"}

// violations returns the violations of a record that consists of one call, its runs,
// further changes and a history.
func violations(c Call, changes []Change, history History, runs ...standin.Run) string {
	return strings.Join(Record{Calls: []Call{c}, Runs: runs, Changes: append([]Change{initialConfiguration}, changes...), History: history}.Violations(), "\n")
}

// Guards against checks that cannot fail: the test violates each guarantee in turn
// and expects its check to report it.
func TestBrokenPromisesAreSeen(t *testing.T) {
	c, run := bookingCall()
	assert.Equal(t, violations(c, nil, nil, run), "")
	s, part := streamedCall(streamEvents)
	assert.Equal(t, violations(s, nil, nil, part), "")

	assert.Assert(t, strings.Contains(violations(c, nil, nil, run, run), "more than once"))

	refused := c
	refused.Status, refused.Upstream = 503, ""
	assert.Assert(t, strings.Contains(violations(refused, nil, nil, run), "a refused booking ran"))
	assert.Assert(t, strings.Contains(violations(refused, nil, nil), "when to repeat"))
	refused.RetryAfter = "0.5"
	assert.Equal(t, violations(refused, nil, nil), "")
	look := refused
	look.Route = "look"
	lookRun := run
	lookRun.Target = look.path()
	assert.Assert(t, strings.Contains(violations(look, nil, nil, lookRun), "although it ran"))
	refused.Status = 404
	assert.Assert(t, strings.Contains(violations(refused, nil, nil), "denied"))

	other := c
	other.Answer = "/book/r2 for org by desk-1"
	assert.Assert(t, strings.Contains(violations(other, nil, nil, run), "another body"))
	other = c
	other.Upstream = ""
	assert.Assert(t, strings.Contains(violations(other, nil, nil, run), "without an upstream"))
	other.Upstream = "desk-2"
	assert.Assert(t, strings.Contains(violations(other, nil, nil, run), "did not run"))

	short, part := streamedCall(streamEvents - 1)
	assert.Assert(t, strings.Contains(violations(short, nil, nil, part), "number of events"))
	doubled, part := streamedCall(streamEvents)
	doubled.Answer = strings.Replace(doubled.Answer, "id: 4\n", "id: 3\n", 1)
	assert.Assert(t, strings.Contains(violations(doubled, nil, nil, part), "wrong event"))

	cut, part := streamedCall(streamEvents - 1)
	cut.Complete, cut.Ended = false, callStart.Add(routeTimeout)
	cut.Answer += "id: 12\nda"
	assert.Equal(t, violations(cut, nil, nil, part), "")
	cut.Answer = strings.Replace(cut.Answer, "id: 4\n", "id: 5\n", 1)
	assert.Assert(t, strings.Contains(violations(cut, nil, nil, part), "wrong event"))
	foreign := refused
	foreign.Status, foreign.AnswerID = 503, "r2"
	assert.Assert(t, strings.Contains(violations(foreign, nil, nil), "another request"))
	foreign.AnswerID, foreign.Answer = c.ID, standin.OddText
	assert.Assert(t, strings.Contains(violations(foreign, nil, nil), "another form"))

	changed := run
	changed.Body = "body of r2"
	assert.Assert(t, strings.Contains(violations(c, nil, nil, changed), "changed on the way"))
	odd := Record{Changes: []Change{initialConfiguration}, OddConnections: 1}
	assert.Assert(t, strings.Contains(strings.Join(odd.Violations(), "\n"), "name no upstream"))
	unknown := run
	unknown.Attempt = "r9"
	assert.Assert(t, strings.Contains(violations(c, nil, nil, run, unknown), "no caller sent"))
}

// Guards against checks of guarantees with a time limit that cannot fail, or that
// report a violation during a disruption. Planned work and pauses are no disruptions.
func TestTimedPromisesAreSeen(t *testing.T) {
	disrupted := History{{Step: Step{Kind: StoreDown}, From: callStart.Add(-time.Second), To: callStart.Add(time.Second)}}
	harmless := History{
		{Step: Step{Kind: VMStop}, From: callStart.Add(-time.Second), To: callStart.Add(time.Second), Subject: "vm0"},
		{Step: Step{Kind: UpstreamPauseBody}, From: callStart.Add(-time.Second), To: callStart.Add(time.Second), Subject: "desk-1"},
		{Step: Step{Kind: OddRegistration}, From: callStart.Add(-time.Second), To: callStart.Add(time.Second)},
	}
	for name, violationsWith := range map[string]func(History) string{
		"an answer was lost": func(h History) string {
			c, run := bookingCall()
			c.Complete = false
			return violations(c, nil, h, run)
		},
		"neither an answer nor a refusal": func(h History) string {
			c, _ := bookingCall()
			c.Complete, c.Status, c.Upstream, c.Answer = false, 0, "", ""
			c.BodySent = c.Ended.Add(-lostBound - time.Millisecond)
			return violations(c, nil, h)
		},
		"a request failed": func(h History) string {
			c, run := bookingCall()
			c.Status, c.Upstream = 502, ""
			return violations(c, nil, h, run)
		},
		"an old configuration": func(h History) string {
			c, run := bookingCall()
			return violations(c, []Change{{At: callStart.Add(-configurationBound - time.Second), Service: "desk2"}}, h, run)
		},
		"that left": func(h History) string {
			c, run := bookingCall()
			return violations(c, []Change{{At: callStart.Add(-drainBound - time.Second), Upstream: "desk-1"}}, h, run)
		},
		"too many upstreams": func(h History) string {
			c, run := streamedCall(streamEvents)
			return violations(c, nil, h, run, run, run, run)
		},
	} {
		t.Run(name, func(t *testing.T) {
			if name == "an old configuration" || name == "that left" {
				elsewhere := History{{Step: disrupted[0].Step, From: disrupted[0].From, To: disrupted[0].To, Subject: "vm1"}}
				assert.Assert(t, strings.Contains(violationsWith(elsewhere), name), "%s", violationsWith(elsewhere))
				elsewhere[0].Subject = "vm0"
				assert.Equal(t, violationsWith(elsewhere), "")
			}
			assert.Assert(t, strings.Contains(violationsWith(harmless), name), "%s", violationsWith(harmless))
			assert.Equal(t, violationsWith(disrupted), "")
		})
	}
}

// Guards against checks that report a request which the rules excuse: one that crossed
// the close of its connection, whose time had passed, or that a planned stop cut at its
// end; and against excuses that go further.
func TestExcusedLossesAreNotReported(t *testing.T) {
	crossed, run := bookingCall()
	crossed.Complete, crossed.Status, crossed.Upstream = false, 0, ""
	crossed.BodySent = crossed.Ended.Add(-lostBound)
	assert.Equal(t, violations(crossed, nil, nil), "")
	assert.Assert(t, strings.Contains(violations(crossed, nil, nil, run), "an answer was lost"))

	late := crossed
	late.Ended = late.Sent.Add(routeTimeout)
	assert.Equal(t, violations(late, nil, nil, run), "")

	for _, c := range []struct {
		sent, ended time.Duration
		vm          string
		excused     bool
	}{{graceAdmission, graceEnd, "vm0", true}, {graceAdmission, graceEnd, "vm1", false}, {graceAdmission + 1, graceEnd, "vm0", false}, {graceAdmission, graceEnd - 1, "vm0", false}} {
		stopped := callStart.Add(-c.sent)
		run.Ended, crossed.Ended = stopped.Add(c.ended), stopped.Add(c.ended)
		crossed.BodySent = crossed.Sent
		h := History{{Step: Step{Kind: VMStop}, From: stopped, To: stopped.Add(stopGrace), Subject: c.vm}}
		assert.Equal(t, violations(crossed, nil, h, run) == "", c.excused, "%+v", c)
	}
}

// Guards against an excuse for a request that its first upstream would have answered.
func TestOnlyTheFirstUpstreamThatBreaksOffIsAnExcuse(t *testing.T) {
	c, run := streamedCall(2)
	c.Complete = false
	replacement := run
	replacement.Upstream, replacement.BrokeOff, replacement.Started = "model-2", true, run.Started.Add(time.Second)
	assert.Assert(t, strings.Contains(violations(c, nil, nil, replacement, run), "an answer was lost"))
	replacement.BrokeOff, run.BrokeOff = false, true
	assert.Equal(t, violations(c, nil, nil, replacement, run), "")
}

// Guards against a check that takes an upstream that broke off for an excuse of a stream
// that got nothing, although a whole event had been sent.
func TestUnsentEventsAreSeen(t *testing.T) {
	c, run := streamedCall(1)
	c.Complete, run.BrokeOff, run.Events = false, true, 1
	assert.Equal(t, violations(c, nil, nil, run), "")
	silent := c
	silent.Status, silent.Upstream, silent.Answer = 0, "", ""
	silent.BodySent = c.Ended.Add(-lostBound - time.Millisecond)
	failed, headOnly, left := silent, c, silent
	failed.Status, failed.Complete, headOnly.Answer, left.Abandoned = 502, true, "id: 1\nda", true
	left.Ended = run.Ended.Add(eventBound + time.Millisecond)
	const unsent, nothing = "although an upstream had sent an event", "neither an answer nor a refusal"
	for _, broken := range []Call{silent, failed, headOnly, left} {
		assert.Assert(t, strings.Contains(violations(broken, nil, nil, run), unsent), "%+v", broken)
	}
	assert.Assert(t, strings.Contains(violations(silent, nil, nil, run), nothing))
	ending := History{{Step: Step{Kind: VMStop}, From: c.Ended.Add(-graceEnd), To: c.Ended.Add(time.Second), Subject: "vm0"}}
	assert.Assert(t, !strings.Contains(violations(silent, nil, ending, run), unsent))
	ending[0].Subject = "vm1"
	assert.Assert(t, strings.Contains(violations(silent, nil, ending, run), unsent))
	left.Ended = run.Ended.Add(eventBound)
	assert.Equal(t, violations(left, nil, nil, run), "")
	run.Events = 0
	assert.Assert(t, strings.Contains(violations(silent, nil, nil, run), nothing))
	failed.Complete = true
	assert.Equal(t, violations(failed, nil, nil, run), "")
}

// Guards against checks of leaving upstreams and of pauses that cannot fail, or that report
// requests which the rules excuse.
func TestRequestsAgainstTheWishOfAnUpstreamAreSeen(t *testing.T) {
	const askedPause = 2 * time.Second
	first, firstRun := bookingCall()
	firstRun.Leaving = true
	refusal := standin.Refusal{Upstream: "desk-1", Attempt: first.ID, At: first.Ended, RetryAfter: askedPause}
	record := func(vm string, after time.Duration, history History) Record {
		r := Record{Calls: []Call{first}, Runs: []standin.Run{firstRun}, Changes: []Change{initialConfiguration}, History: history}
		for i := range maxPausedArrivals + 1 {
			c, run := bookingCall()
			c.ID, c.VM, c.Sent = fmt.Sprintf("r%d", i+2), vm, first.Ended.Add(after)
			c.Ended, c.Answer = c.Sent.Add(time.Second), c.path()+" for org by desk-1"
			run.Attempt, run.Target, run.Body, run.Started, run.Ended = c.ID, c.path(), c.body(), c.Sent, c.Ended
			r.Calls, r.Runs = append(r.Calls, c), append(r.Runs, run)
		}
		return r
	}
	restarted := History{{Step: Step{Kind: VMKill}, From: first.Ended, To: first.Ended.Add(time.Millisecond), Subject: first.VM}}
	for what, check := range map[string]func(vm string, after time.Duration, history History) []string{
		"leaves": func(vm string, after time.Duration, history History) []string {
			return record(vm, drainBound+after, history).Violations()
		},
		"in the pause": func(vm string, after time.Duration, history History) []string {
			r := record(vm, pauseSettleTime+after, history)
			r.Runs[0].Leaving, r.Refusals = false, []standin.Refusal{refusal}
			return r.Violations()
		},
	} {
		assert.Assert(t, strings.Contains(strings.Join(check(first.VM, time.Millisecond, nil), "\n"), what))
		assert.Equal(t, len(check(first.VM, 0, nil)), 0, what)
		assert.Equal(t, len(check("vm1", time.Millisecond, nil)), 0, what)
		assert.Equal(t, len(check(first.VM, time.Millisecond, restarted)), 0, what)
	}
	// Requests that arrive before the pause may be refused within it.
	r := record("vm1", time.Hour, nil)
	r.Runs[0].Leaving, r.Refusals = false, []standin.Refusal{refusal}
	for range maxPausedArrivals + 1 {
		r.Refusals = append(r.Refusals, standin.Refusal{Upstream: "desk-1", Attempt: first.ID, Arrived: refusal.At, At: refusal.At.Add(pauseSettleTime + time.Millisecond)})
	}
	assert.Equal(t, len(r.Violations()), 0, "%v", r.Violations())
}

// Guards against a check that overlooks upstreams that go on working after their
// callers have left, or that reports work which ended before.
func TestWorkAfterTheCallerLeftIsSeen(t *testing.T) {
	r := Record{Changes: []Change{initialConfiguration}}
	for i := range 8 {
		c, run := streamedCall(streamEvents)
		c.ID, c.Abandoned, c.Complete = fmt.Sprintf("r%d", i), true, false
		c.Answer = ""
		run.Attempt, run.Target, run.Body = c.ID, c.path(), c.body()
		run.Ended = c.Ended.Add(abandonedWorkBound + time.Millisecond)
		r.Calls, r.Runs = append(r.Calls, c), append(r.Runs, run)
	}
	assert.Assert(t, strings.Contains(strings.Join(r.Violations(), "\n"), "after the caller had left"))
	for i := range r.Runs {
		r.Runs[i].Ended = callStart
	}
	assert.Equal(t, len(r.Violations()), 0, "%v", r.Violations())
}

// Guards against callers that repeat a refused request before the time that the refusal
// states, or that wait longer than clients of the platform do.
func TestCallersHonourRetryAfter(t *testing.T) {
	c, _ := bookingCall()
	c.RetryAfter = "0.25"
	assert.Equal(t, c.retryDelay(), time.Duration(0))
	c.Status = 503
	assert.Equal(t, c.retryDelay(), 250*time.Millisecond)
	c.RetryAfter = "60"
	assert.Equal(t, c.retryDelay(), callDeadline/3)
	c.RetryAfter = ""
	assert.Equal(t, c.retryDelay(), time.Duration(0))
}

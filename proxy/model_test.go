package proxy_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/proxy"
	"github.com/savoryshift/savoryshift/proxy/proxytest"
	"github.com/savoryshift/savoryshift/standin/engine"
	"github.com/savoryshift/savoryshift/tree"
)

// Guards against a run of a version that the organisation does not allow, also
// when the settings change between the plan and the write. As a negative
// control, a proxy with outdated settings at the write does run it.
func TestOnlyAllowedVersionsRun(t *testing.T) {
	for _, c := range []struct {
		name  string
		fresh bool // the proxy sees the new settings at the write
	}{{"checked at the write", true}, {"negative control: old settings at the write", false}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFixture(t)
				router := w.router(step("e1", "s1"))
				router.BeforeWrite = func() {
					next := baseTree()
					next.Versions["s1"] = tree.Version{Model: "small", State: tree.VersionWithdrawn, Successor: "l1"}
					w.apply(next, 2)
				}
				o := w.options(router)
				if !c.fresh {
					old := w.snapshot()
					o.Snapshot = func() *tree.Snapshot { return old }
				}
				r := w.chat(w.serve("10.1.0.1:80", o), "brief")
				if !c.fresh {
					assert.Equal(t, w.runsOfVersion("s1"), 1)
					return
				}
				wantKind(t, r, errkind.NoAllowedVersion)
				assert.Equal(t, r.err.Ran, errkind.RanNo)
				assert.Equal(t, w.runsOfVersion("s1"), 0)
			})
		})
	}
}

// Guards against a suspended daemon that sends a request although its evidence
// of a fresh configuration expired between the plan and the write.
func TestLapsedEvidenceStopsTheWrite(t *testing.T) {
	for _, lapses := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			w := newFixture(t)
			next := baseTree()
			no := false
			next.Versions["l1"] = tree.Version{Model: "large", State: tree.VersionSettled, UsableInIsolation: &no}
			w.apply(next, 2)
			router := w.router(step("e1", "l1"))
			router.BeforeWrite = func() { w.evidence.Lapsed.Store(lapses) }
			r := w.chat(w.serve("10.1.0.1:80", w.options(router)), "brief")
			if lapses {
				wantKind(t, r, errkind.NoAllowedVersion)
				assert.Equal(t, w.runsOfVersion("l1"), 0)
			} else {
				assert.Equal(t, w.runsOfVersion("l1"), 1)
			}
		})
	}
}

// Guards against a halted candidate that still receives requests of the
// sessions that were placed on it.
func TestHaltedCandidateFallsBackToBase(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t)
		next := baseTree()
		next.Rollouts = map[string]tree.Rollout{"r": {From: "s1", To: "s2", Percent: 100, State: tree.RolloutRunning}}
		w.apply(next, 2)
		url := w.serve("10.1.0.1:80", w.options(w.router()))
		first := w.chat(url, "small", proxy.HeaderSession, "new")
		assert.Equal(t, first.header.Get(proxy.HeaderVersion), "s2", first.body)
		w.halts.Halt("s2")
		second := w.chat(url, "small", proxy.HeaderSession, first.header.Get(proxy.HeaderSession))
		assert.Equal(t, second.header.Get(proxy.HeaderVersion), "s1", second.body)
	})
}

// Guards against a session that changes its version when it reaches another
// daemon or when a rollout progresses. A new session gets the candidate.
func TestSessionKeepsItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t)
		a := w.serve("10.1.0.1:80", w.options(w.router()))
		b := w.serve("10.1.0.2:80", w.options(w.router()))
		first := w.chat(a, "small", proxy.HeaderSession, "new")
		assert.Equal(t, first.header.Get(proxy.HeaderVersion), "s1")
		next := baseTree()
		next.Rollouts = map[string]tree.Rollout{"r": {From: "s1", To: "s2", Percent: 100, State: tree.RolloutRunning}}
		w.apply(next, 2)
		kept := w.chat(b, "small", proxy.HeaderSession, first.header.Get(proxy.HeaderSession))
		assert.Equal(t, kept.header.Get(proxy.HeaderVersion), "s1")
		fresh := w.chat(b, "small", proxy.HeaderSession, "new")
		assert.Equal(t, fresh.header.Get(proxy.HeaderVersion), "s2")
		stolen := w.post(a+"/v1/chat/completions", otherKey, `{"model":"small","messages":[{"role":"user","content":"x"}]}`,
			proxy.HeaderSession, first.header.Get(proxy.HeaderSession))
		wantKind(t, stolen, errkind.Forbidden)
	})
}

// Guards against a stream that is truncated, duplicated or reordered when its
// engine fails part-way. Without another upstream the caller receives an error
// event and no end marker.
func TestStreamResumesOnAnotherUpstream(t *testing.T) {
	for _, resumes := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			w := newFixture(t)
			whole := w.stream(w.serve("10.1.0.9:80", w.options(w.router(step("e2", "s1")))))
			w.engines["e1"].SetFaults(engine.Faults{CutAfterPart: 3})
			router := w.router(step("e1", "s1"))
			if resumes {
				router.NextPlans = []proxy.Plan{{Kind: "resume", Steps: []proxy.Step{step("e2", "s1")}}}
			}
			r := w.stream(w.serve("10.1.0.1:80", w.options(router)))
			assert.Equal(t, router.Progress()[0].KeepVersion, "s1")
			assert.Equal(t, strings.HasSuffix(r.body, "data: [DONE]\n\n"), resumes, r.body)
			assert.Equal(t, strings.Contains(r.body, `"ran":`), !resumes)
			if resumes {
				assert.Equal(t, strings.Count(r.body, "data: "), strings.Count(whole.body, "data: "))
				assert.Equal(t, len(w.biller.Usage()), 2)
			}
		})
	}
}

// Guards against a response that is delivered although its ledger entry was
// rejected.
func TestWholeAnswerIsHeldUntilBilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t)
		w.biller.Err = errkind.Wrap(errkind.LedgerFull, errors.New("full"))
		url := w.serve("10.1.0.1:80", w.options(w.router()))
		r := w.chat(url, "brief")
		wantKind(t, r, errkind.LedgerFull)
		assert.Equal(t, r.err.Ran, errkind.RanYes)
		assert.Assert(t, !strings.Contains(w.stream(url).body, "[DONE]"))
	})
}

// Guards against a cascade that delivers a badly rated response although a
// better one is available, and against one that delivers nothing when there is
// none.
func TestCascade(t *testing.T) {
	for _, c := range []struct {
		name    string
		follow  []proxy.Plan
		version string
	}{
		{"better version answers", []proxy.Plan{{Steps: []proxy.Step{step("e1", "l1")}}}, "l1"},
		{"no further plan", nil, "s1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFixture(t)
				w.rater.BadVersions = []string{"s1"}
				cheap := step("e1", "s1")
				cheap.Rated = true
				router := w.router(cheap)
				router.NextPlans = c.follow
				r := w.chat(w.serve("10.1.0.1:80", w.options(router)), "brief")
				assert.Equal(t, r.status, 200, r.body)
				assert.Equal(t, r.header.Get(proxy.HeaderVersion), c.version)
				assert.Equal(t, len(w.biller.Usage()), 1)
			})
		})
	}
}

// Guards against a hedged request that mixes the parts of two streams or waits
// for the slow one.
func TestHedgeDeliversOneStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t)
		w.engines["e1"].SetFaults(engine.Faults{Slow: 100})
		second := step("e2", "s1")
		second.StartAfter = 100 * time.Millisecond
		start := time.Now()
		r := w.stream(w.serve("10.1.0.1:80", w.options(w.router(step("e1", "s1"), second))))
		assert.Assert(t, strings.HasSuffix(r.body, "data: [DONE]\n\n"), r.body)
		assert.Assert(t, time.Since(start) < time.Second)
		plain := w.stream(w.serve("10.1.0.2:80", w.options(w.router(step("e2", "s1")))))
		assert.Equal(t, strings.Count(r.body, "data: "), strings.Count(plain.body, "data: "))
	})
}

// Guards against errors that claim "not run" although an engine ran the
// request, for every kind of engine failure.
func TestNotRunIsTrue(t *testing.T) {
	for name, f := range map[string]engine.Faults{
		"fails":         {ErrorRate: 1},
		"malformed":     {Malformed: true},
		"wrong ids":     {WrongIDs: true},
		"wrong version": {WrongVersion: true},
		"cut":           {CutAfterPart: 1},
		"frozen":        {Frozen: true},
		"leaving":       {Leaving: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFixture(t)
				w.engines["e1"].SetFaults(f)
				url := w.serve("10.1.0.1:80", w.options(&proxytest.Router{Snapshot: w.snapshot, Steps: []proxy.Step{step("e1", "s1")}}))
				r := w.chat(url, "brief", proxy.HeaderDeadline, "3000")
				assert.Assert(t, r.status >= 400, r.body)
				ran := w.runsOfRequest(r.err.RequestID) > 0
				assert.Assert(t, !ran || r.err.Ran != errkind.RanNo, "%s, runs: %t", r.body, ran)
				assert.Equal(t, len(w.biller.Usage()), 0)
				w.engines["e1"].SetFaults(engine.Faults{})
			})
		})
	}
}

// Guards against an engine that hangs and holds a request until its deadline,
// although another engine could respond. Without patience, and so without a
// hedged call, the request does time out.
func TestHangingEngineIsLeftForAnother(t *testing.T) {
	for _, patient := range []bool{true, false} {
		for _, stream := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				w := newFixture(t)
				w.engines["e1"].SetFaults(engine.Faults{Frozen: true})
				first := step("e1", "s1")
				if patient {
					first.Patience = time.Second
				}
				router := w.router(first)
				router.NextPlans = []proxy.Plan{{Kind: "second", Steps: []proxy.Step{step("e2", "s1")}}}
				url := w.serve("10.1.0.1:80", w.options(router))
				body := fmt.Sprintf(`{"model":"brief","stream":%t,"max_tokens":8,"messages":[{"role":"user","content":"hello"}]}`, stream)
				start := time.Now()
				r := w.post(url+"/v1/chat/completions", callerKey, body, proxy.HeaderDeadline, "5000")
				if patient {
					assert.Equal(t, r.status, 200, r.body)
					assert.Assert(t, time.Since(start) < 2*time.Second)
					assert.Equal(t, len(w.biller.Usage()), 1)
				} else {
					wantKind(t, r, errkind.UpstreamTimeout)
				}
				w.engines["e1"].SetFaults(engine.Faults{})
				synctest.Wait()
			})
		}
	}
}

// Guards against an error that claims "not run" although the first call may
// have run, when the retry is refused.
func TestRefusedRetryDoesNotHideTheFirstCall(t *testing.T) {
	for name, first := range map[string]engine.Faults{"cut": {CutAfterPart: 1}, "malformed": {Malformed: true}} {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, stream %t", name, stream), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newFixture(t)
					w.engines["e1"].SetFaults(first)
					w.engines["e2"].SetFaults(engine.Faults{Leaving: true})
					router := w.router(step("e1", "s1"))
					router.NextPlans = []proxy.Plan{{Kind: "retry", Steps: []proxy.Step{step("e2", "s1")}}}
					url := w.serve("10.1.0.1:80", w.options(router))
					body := fmt.Sprintf(`{"model":"brief","stream":%t,"max_tokens":8,"messages":[{"role":"user","content":"hello"}]}`, stream)
					r := w.post(url+"/v1/chat/completions", callerKey, body)
					assert.Assert(t, len(w.engines["e1"].Runs()) == 1 && !strings.Contains(r.body, `"ran":"no"`), r.body)
				})
			})
		}
	}
}

// hangingRater does not answer.
type hangingRater struct{}

func (hangingRater) Rate(ctx context.Context, _ proxy.RatingRequest) (bool, error) {
	<-ctx.Done()
	return false, ctx.Err()
}

// Guards against an answer in hand that reaches the caller only after the
// deadline, because the better call or the rating of the answer hangs.
func TestHeldAnswerIsReleasedInTime(t *testing.T) {
	const deadline = 3 * time.Second
	cheap, better := step("e1", "s1"), step("e2", "l1")
	cheap.Rated = true
	for name, c := range map[string]struct {
		steps  []proxy.Step
		follow []proxy.Plan
		rater  proxy.Rater
	}{
		"better call hangs":       {[]proxy.Step{cheap}, []proxy.Plan{{Steps: []proxy.Step{better}}}, nil},
		"early better call hangs": {[]proxy.Step{cheap, better}, nil, nil},
		"rating hangs":            {[]proxy.Step{cheap}, nil, hangingRater{}},
		"rating hangs in a race":  {[]proxy.Step{cheap, better}, nil, hangingRater{}},
	} {
		for _, stream := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, stream %t", name, stream), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newFixture(t)
					w.rater.BadVersions = []string{"s1"}
					w.engines["e2"].SetFaults(engine.Faults{Frozen: true})
					defer w.engines["e2"].SetFaults(engine.Faults{})
					router := w.router(c.steps...)
					router.NextPlans = c.follow
					o := w.options(router)
					if c.rater != nil {
						o.Rater = c.rater
					}
					body := fmt.Sprintf(`{"model":"brief","stream":%t,"max_tokens":8,"messages":[{"role":"user","content":"hello"}]}`, stream)
					start := time.Now()
					r := w.post(w.serve("10.1.0.1:80", o)+"/v1/chat/completions", callerKey, body, proxy.HeaderDeadline, fmt.Sprint(deadline.Milliseconds()))
					assert.Equal(t, r.status, 200, r.body)
					assert.Equal(t, r.header.Get(proxy.HeaderVersion), "s1")
					assert.Assert(t, time.Since(start) < deadline, "after %v", time.Since(start))
				})
			})
		}
	}
}

// Guards against an answer in hand that is dropped for a better call, which then is
// refused or fails.
func TestHeldAnswerOutlivesAFailedBetterCall(t *testing.T) {
	cheap, better := step("e1", "s1"), step("e2", "l1")
	cheap.Rated = true
	for name, f := range map[string]engine.Faults{"refused": {Leaving: true}, "fails": {ErrorRate: 1}, "cut": {CutAfterPart: 1}} {
		for kind, steps := range map[string][]proxy.Step{"cascade": {cheap}, "early cascade": {cheap, better}} {
			for _, stream := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, %s, stream %t", name, kind, stream), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						w := newFixture(t)
						w.rater.BadVersions = []string{"s1"}
						w.engines["e2"].SetFaults(f)
						router := w.router(steps...)
						router.NextPlans = []proxy.Plan{{Steps: []proxy.Step{better}}}
						body := fmt.Sprintf(`{"model":"brief","stream":%t,"max_tokens":8,"messages":[{"role":"user","content":"hello"}]}`, stream)
						r := w.post(w.serve("10.1.0.1:80", w.options(router))+"/v1/chat/completions", callerKey, body)
						assert.Equal(t, r.status, 200, r.body)
						assert.Equal(t, r.header.Get(proxy.HeaderVersion), "s1")
						assert.Equal(t, strings.Contains(r.body, "[DONE]"), stream)
					})
				})
			}
		}
	}
}

package demo

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against lost, repeated or misrouted requests, with a short demonstration on
// the whole system.
func TestDemonstrationHolds(t *testing.T) {
	var progress strings.Builder
	v, err := Run(t.Context(), Options{Requests: 120, Progress: &progress})
	assert.NilError(t, err, progress.String())
	assert.Equal(t, v.Problem(), "", "%s\n%s\n%v", progress.String(), v.Line(), v.Failures)
	assert.Equal(t, v.Line(), "demo: answered 120 of 120, lost 0, billed twice 0, ran twice 0, withdrawn version served 0")
}

// Guards against a verdict that reports no problem for a failed run.
func TestVerdictNamesEachProblem(t *testing.T) {
	good := Verdict{Sent: 1, Answered: 1, CandidateRuns: 1, Streamed: 1, Repeated: 1}
	assert.Equal(t, good.Problem(), "")
	for name, setProblem := range map[string]func(*Verdict){
		"lost":              func(v *Verdict) { v.Lost = 1 },
		"billed twice":      func(v *Verdict) { v.BilledTwice = 1 },
		"not billed":        func(v *Verdict) { v.NotBilled = 1 },
		"ran twice":         func(v *Verdict) { v.RanTwice = 1 },
		"withdrawn served":  func(v *Verdict) { v.WithdrawnServed = 1 },
		"session broken":    func(v *Verdict) { v.SessionsBroken = 1 },
		"no candidate runs": func(v *Verdict) { v.CandidateRuns = 0 },
		"nothing streamed":  func(v *Verdict) { v.Streamed = 0 },
	} {
		v := good
		setProblem(&v)
		assert.Assert(t, v.Problem() != "", name)
	}
}

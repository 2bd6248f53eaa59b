package cascade

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/admission"
)

// pausesResult counts the streams of small and large models, those that another prompt made
// late by a pause, and the answers of poor quality.
type pausesResult struct{ requests, late, poor, escalated int }

// playPauses plays 20 s of long prompts. Engines give their streams, which run for 4 s, no
// event while they read a prompt: reading it for the large model takes longer than the
// allowed pause. With prices, requests for the large model pay for the streams.
func playPauses(perSecond float64, prices bool) pausesResult {
	const engines, allowed, small, large, runs = 8, 1.0, 0.12, 1.2, 4.0
	r := rand.New(rand.NewPCG(5, 6))
	e := &emulatedEngines{backlog: make([]float64, engines)}
	v := NewValuation()
	pauses := make([]admission.Pauses, engines)
	type stream struct {
		until float64
		late  bool
	}
	streams := make([][]*stream, engines)
	var out pausesResult
	begin := time.Unix(0, 0)
	read := func(engine int, prefill, now float64) {
		for _, s := range streams[engine] {
			if s.until > now && !s.late && prefill > allowed {
				s.late = true
				out.late++
			}
		}
		if len(streams[engine]) > 0 {
			pauses[engine].Observe(time.Duration(prefill*float64(time.Second)), time.Duration(allowed*float64(time.Second)), begin.Add(time.Duration(now*float64(time.Second))))
		}
	}
	for now := 0.0; now < 20; now += r.ExpFloat64() / perSecond {
		e.advance(now)
		out.requests++
		engine, _, _ := e.place(small)
		read(engine, small, now)
		hardness := r.Float64()
		confidence := int(max(0, min(100, 50+100*(0.58-hardness)+12*r.NormFloat64())))
		next, wait, first := e.place(large)
		level, running := 0.0, 0
		for i := range pauses {
			level += pauses[i].Level() / engines
		}
		for _, s := range streams[next] {
			if s.until > now {
				running++
			}
		}
		in := Input{
			Confidence: confidence, Cost: 0.1, EngineTime: large, Wait: wait, PredictedFirstEvent: time.Duration(first * float64(time.Second)), TimeLeft: 6 * time.Second,
			Terms: v.Observe(Request{PromptTokens: 12000, GeneratedTokens: 300, Price: 0.29, EngineTime: large, Wait: wait, Objective: 6 * time.Second}),
		}
		if prices {
			in.LateStreams = admission.LateStreams(large/allowed, running, level)
		}
		if Decide(in).Drop {
			out.escalated++
			engine = next
			read(next, large, now)
		} else {
			e.backlog[next] -= large
			if hardness > 0.58 {
				out.poor++
			}
		}
		streams[engine] = append(streams[engine], &stream{until: now + runs})
	}
	return out
}

// Load answered: prompts that the large model reads beside many streams. Guards against
// streams of other callers that are late for answers which gain less, and against a large
// model that is not used while few streams run.
func TestLargeModelSparesTheStreamsBeside(t *testing.T) {
	before, with := playPauses(12, false), playPauses(12, true)
	t.Logf("before %+v, with prices %+v", before, with)
	assert.Assert(t, before.late*10 >= before.requests, "the load makes few streams late: %+v", before)
	// Each answer of the small model that is kept and poor loses about as much as a late stream.
	assert.Assert(t, with.late+with.poor < before.late+before.poor, "%+v, before %+v", with, before)
	assert.Assert(t, with.late*2 <= before.late, "%+v, before %+v", with, before)
	calmBefore, calm := playPauses(0.5, false), playPauses(0.5, true)
	assert.Assert(t, calm.escalated*10 >= 9*calmBefore.escalated, "%+v, before %+v", calm, calmBefore)
}

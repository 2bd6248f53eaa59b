package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/savoryshift/savoryshift/errkind"
)

// testInputs returns inputs with the given number of engines and versions.
// Engine i has loaded version i modulo versions.
func testInputs(engines, versions int) Inputs {
	in := Inputs{RatingAvailable: true}
	for i := range versions {
		in.Versions = append(in.Versions, VersionSpec{
			ID: fmt.Sprint("v", i), Model: fmt.Sprint("m", i), CostPer1kOutput: float64(1 + i), Usable: true,
		})
	}
	for i := range engines {
		in.Upstreams = append(in.Upstreams, UpstreamSpec{
			ID: fmt.Sprint("u", i), Versions: []int{i % versions}, Slots: 16, Usable: true, Live: &Live{},
		})
	}
	return in
}

func allVersions(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

func testRequest(versions int) Request {
	return Request{
		Organisation: "o", Class: "c", PromptTokens: 200, Deadline: 30 * time.Second, QualityTarget: 0.9,
		LatencyQuantile: 0.9, Weights: Weights{Cost: 1, Latency: 1, Exposure: 1}, Priority: 5, Versions: allVersions(versions), Seed: 1,
	}
}

// Guards against decisions whose cost grows with the number of engines: the
// allocations and the number of examined engines are bounded.
func TestDecisionWorkIsBounded(t *testing.T) {
	for _, engines := range []int{330, 3300} {
		p := New(Options{})
		v := p.BuildView(testInputs(engines, 30), 0)
		r := testRequest(30)
		p.Choose(v, &r, 0)
		allocations := testing.AllocsPerRun(200, func() {
			r.Seed++
			p.Choose(v, &r, 0)
		})
		assert.Assert(t, allocations <= 2, "%v allocations with %d engines", allocations, engines)
		var ev evaluator
		ev.collectOptions(v, &r, v.class(r.Class), -1, 0)
		assert.Assert(t, ev.examined > 0 && ev.examined <= maxOptions*maxExamined, "%d of %d engines examined", ev.examined, engines)
	}
}

// Guards against calls to versions that a request is not allowed to use or that
// are withdrawn, for any combination of allowed versions, failures and deadlines.
func TestPlansUseOnlyAllowedAndUsableVersions(t *testing.T) {
	rapid.Check(t, checkAllowed)
}

// Checks that allowedBy can fail: it rejects a plan that was made for a request
// with other allowed versions.
func TestAllowedVersionsCheckCanFail(t *testing.T) {
	failed := false
	for seed := range 200 {
		r := testRequest(6)
		p := New(Options{})
		plan := p.Choose(p.BuildView(testInputs(12, 6), 0), &r, 0)
		r.Versions = []int{1 + seed%5}
		failed = failed || !allowedBy(&r, &plan)
	}
	assert.Assert(t, failed)
}

func allowedBy(r *Request, plan *Plan) bool {
	for _, c := range plan.Calls[:plan.N] {
		ok := false
		for _, v := range r.Versions {
			ok = ok || v == c.Version
		}
		if !ok {
			return false
		}
	}
	return true
}

func checkAllowed(t *rapid.T) {
	in := testInputs(12, 6)
	for i := range in.Versions {
		in.Versions[i].Usable = rapid.Bool().Draw(t, "usable")
	}
	in.RatingAvailable = rapid.Bool().Draw(t, "rating")
	p := New(Options{})
	r := testRequest(6)
	r.Versions = rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 0, 6, rapid.ID[int]).Draw(t, "allowed")
	r.Deadline = time.Duration(rapid.IntRange(-1, 60).Draw(t, "deadline")) * time.Second
	v := p.BuildView(in, 0)
	plans := []Plan{p.Choose(v, &r, 0)}
	plans = append(plans, p.Next(v, &r, Progress{Held: 0.4, Tokens: 100, Tried: r.Versions[:min(1, len(r.Versions))], Calls: 1}, time.Second))
	plans = append(plans, p.Next(v, &r, Progress{Failed: true, FailedUpstream: 3, Calls: 1}, time.Second))
	for _, plan := range plans {
		assert.Assert(t, allowedBy(&r, &plan))
		for _, c := range plan.Calls[:plan.N] {
			assert.Assert(t, in.Versions[c.Version].Usable)
		}
		assert.Assert(t, !plan.Refused() || plan.N == 0, "a refusal must not carry calls")
	}
}

// Guards against refusals of the wrong kind: each cause has its own kind, and all
// of these kinds say that no upstream has run the request.
func TestRefusalsNameTheirCause(t *testing.T) {
	down := testInputs(2, 1)
	for i := range down.Upstreams {
		down.Upstreams[i].Usable = false
	}
	for _, c := range []struct {
		name   string
		in     Inputs
		change func(*Request)
		want   errkind.Kind
	}{
		{"passed", testInputs(2, 1), func(r *Request) { r.Deadline = 0 }, errkind.DeadlinePassed},
		{"too short", testInputs(2, 1), func(r *Request) { r.Deadline = 10 * time.Millisecond }, errkind.DeadlineTooShort},
		{"no version", testInputs(2, 1), func(r *Request) { r.Versions = nil }, errkind.NoAllowedVersion},
		{"engines down", down, func(*Request) {}, errkind.NoCapacity},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := New(Options{})
			r := testRequest(1)
			c.change(&r)
			plan := p.Choose(p.BuildView(c.in, 0), &r, 0)
			assert.Equal(t, plan.Refusal, c.want)
			assert.Equal(t, errkind.AnswerFor(plan.Refusal).Ran, errkind.RanNo)
		})
	}
}

// Guards against retry storms: an organisation gets its initial retries and then
// one retry per ten requests, as its retry budget says.
func TestRetriesStayWithinBudget(t *testing.T) {
	p := New(Options{})
	v := p.BuildView(testInputs(4, 1), 0)
	retries := 0
	for range 1000 {
		r := testRequest(1)
		r.RetryBudget = 0.1
		p.Choose(v, &r, 0)
		for range 3 {
			if plan := p.Next(v, &r, Progress{Failed: true, Calls: 1}, 0); !plan.Refused() {
				retries++
			}
		}
	}
	assert.Assert(t, retries <= 100+initialRetries, "%d retries", retries)
	assert.Assert(t, retries >= 95, "%d retries", retries)
}

// Guards against a retry budget that is spent on retries that are not made, because
// no other engine could serve them.
func TestRetriesWithoutACallAreFree(t *testing.T) {
	p := New(Options{})
	v := p.BuildView(testInputs(1, 1), 0)
	r := testRequest(1)
	for range 3 * initialRetries {
		plan := p.Next(v, &r, Progress{Failed: true, Calls: 1}, 0)
		assert.Equal(t, plan.Refusal, errkind.NoCapacity)
	}
	v = p.BuildView(testInputs(4, 1), 0)
	plan := p.Next(v, &r, Progress{Failed: true, Calls: 1}, 0)
	assert.Assert(t, !plan.Refused(), "%s", plan.Refusal)
}

// Guards against exploration that exceeds its budgets of requests and cost.
func TestExplorationStaysWithinBudget(t *testing.T) {
	const share, n = 0.02, 5000
	explored, cost := [2]int{}, [2]float64{}
	for i, budget := range []float64{share, 1e-9} {
		p := New(Options{Exploration: budget})
		in := testInputs(3, 3)
		for range 100 {
			p.ObserveRating("c", "v0", true, time.Second, 0)
		}
		v := p.BuildView(in, 0)
		for seed := range uint64(n) {
			r := testRequest(3)
			r.Seed, r.QualityTarget = seed, 0.5
			plan := p.Choose(v, &r, 0)
			cost[i] += plan.Cost
			if plan.Explore {
				explored[i]++
			}
		}
	}
	assert.Assert(t, explored[0] > 0 && explored[0] <= n*share+1, "%d of %d requests explore", explored[0], n)
	assert.Equal(t, explored[1], 0)
	assert.Assert(t, cost[0] <= cost[1]*(1+share)*1.01, "cost %v, without exploration %v", cost[0], cost[1])
}

// Guards against a class that misses its quality target although more expensive
// versions would meet it, and against the use of the most expensive version only.
func TestMixMeetsTargetBelowTheCostOfTheBest(t *testing.T) {
	const accuracy = 0.9
	truth := []float64{0.7, 0.86, 0.96}
	p := New(Options{RatingAccuracy: accuracy})
	rng := rand.New(rand.NewPCG(3, 1))
	for range 3000 {
		i := rng.IntN(3)
		good := rng.Float64() < truth[i]*accuracy+(1-truth[i])*(1-accuracy)
		p.ObserveRating("c", fmt.Sprint("v", i), good, 300*time.Millisecond, 0)
	}
	in := testInputs(3, 3)
	in.Versions[1].CostPer1kOutput, in.Versions[2].CostPer1kOutput = 3, 10
	v := p.BuildView(in, 0)
	quality, cost, best := 0.0, 0.0, 0.0
	const n = 400
	for range n {
		r := testRequest(3)
		r.Deadline = time.Minute
		plan := p.Choose(v, &r, 0)
		quality += plan.Quality / n
		cost += plan.Cost / n
		best += 10 * (v.class("c").expectedTokens + r.PromptTokens/5) / 1000 / n
	}
	t.Logf("quality %.3f, cost %.3f of %.3f", quality, cost, best)
	assert.Assert(t, quality >= 0.9-0.01 && cost < 0.4*best)
}

// Guards against quality estimates that ignore rating errors: the estimate must
// approach the true quality for each accuracy of the rating service.
func TestQualityIsCorrectedForRatingErrors(t *testing.T) {
	for _, accuracy := range []float64{0.7, 0.9, 1} {
		p := New(Options{RatingAccuracy: accuracy})
		rng := rand.New(rand.NewPCG(9, 1))
		for range 5000 {
			good := rng.Float64() < 0.8
			p.ObserveRating("c", "v0", good == (rng.Float64() < accuracy), time.Second, 0)
		}
		got := p.BuildView(testInputs(1, 1), 0).Prior("c", 0)
		assert.Assert(t, math.Abs(got-0.8) < 0.08, "accuracy %v: quality %v", accuracy, got)
	}
}

// Guards against data races between decisions, observations, views and merges.
func TestConcurrentUse(t *testing.T) {
	p, in := New(Options{}), testInputs(20, 4)
	v := p.BuildView(in, 0)
	var wg sync.WaitGroup
	for g := range 4 {
		wg.Go(func() {
			for i := range 200 {
				now := time.Duration(i) * time.Millisecond
				r := testRequest(4)
				plan := p.Choose(v, &r, now)
				live := v.Live(plan.Calls[0].Upstream)
				live.Begin()
				p.ObserveRating("c", "v0", i%2 == 0, time.Second, now)
				p.ObserveServed(Served{Class: "c", Version: "v0", Upstream: "u0", Streaming: time.Second, Tokens: 50}, now)
				live.Sample(now)
				live.End()
				if i%20 == 0 {
					p.Merge(fmt.Sprint(g), p.Export())
					p.BuildView(in, now)
				}
			}
		})
	}
	wg.Wait()
}

func benchmarkChoose(b *testing.B, engines int) {
	p := New(Options{})
	v := p.BuildView(testInputs(engines, 30), 0)
	r := testRequest(30)
	b.ReportAllocs()
	for b.Loop() {
		r.Seed++
		p.Choose(v, &r, 0)
	}
}

func BenchmarkChoose330(b *testing.B)  { benchmarkChoose(b, 330) }
func BenchmarkChoose3300(b *testing.B) { benchmarkChoose(b, 3300) }

func benchmarkSelectUpstream(b *testing.B, engines int) {
	p := New(Options{})
	v := p.BuildView(testInputs(engines, 30), 0)
	r := testRequest(30)
	b.ReportAllocs()
	for b.Loop() {
		r.Seed++
		v.selectUpstream(&r, int(r.Seed%30), 150, -1, 0)
	}
}

func BenchmarkSelectUpstream330(b *testing.B)  { benchmarkSelectUpstream(b, 330) }
func BenchmarkSelectUpstream3300(b *testing.B) { benchmarkSelectUpstream(b, 3300) }

package admission

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Properties: a request is never refused while there is idle room or after it may have run,
// never admitted beyond the time left by the router's own prediction, and the same inputs
// give the same decision.
func TestAdmitProperties(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 1))
	for i := range 20_000 {
		in := Request{
			Predicted: seconds(r.ExpFloat64() * 4), Margin: minMargin + (maxMargin-minMargin)*r.Float64(), Left: seconds(r.NormFloat64() + 2),
			IdleRoom: r.IntN(4) == 0, MayHaveRun: r.IntN(4) == 0,
		}
		a := Admit(in)
		assert.Equal(t, a, Admit(in))
		beyond := seconds(in.Margin*in.Predicted.Seconds()) > in.Left
		assert.Equal(t, a.Refused, beyond && !in.IdleRoom && !in.MayHaveRun, "%d: %+v", i, in)
		assert.Assert(t, a.Excess >= 0 && (!a.Refused || a.Excess > 0), "%d: %+v", i, in)
	}
}

// Guards against a margin that does not follow the errors.
func TestMarginFollowsTheErrors(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 2))
	for _, c := range []struct{ mean, deviation float64 }{{0, 0.1}, {0, 0.4}, {-0.7, 0.2}, {1, 0.1}, {-5, 0.1}} {
		a := &Accuracy{}
		margins := []float64{}
		for i := range 4000 {
			a.Observe(seconds(math.Exp(c.mean+c.deviation*r.NormFloat64())), time.Second)
			if i >= 1000 {
				margins = append(margins, a.Margin())
			}
		}
		slices.Sort(margins)
		want := max(minMargin, min(maxMargin, math.Exp(c.mean+0.6745*c.deviation)))
		got := margins[len(margins)/2]
		assert.Assert(t, got > want/1.15 && got < want*1.15, "%+v: %v, want %v", c, got, want)
	}
}

// overload counts what callers got in an overload.
type overload struct{ requests, served, refused, inVain int }

// playOverload plays 20 s of requests to 8 emulated engines that read one prompt after the
// other, with load times what they can read. Clients leave after 2 s without a first event.
// A refused one comes back after the time that it is told, while it still has time. The
// engines do not learn that a client has left before they have read its prompt.
func playOverload(seed uint64, load float64, admits bool) overload {
	const engines, mean, patience, error = 8, 0.25, 2.0, 0.2
	r := rand.New(rand.NewPCG(seed, 3))
	free := make([]float64, engines) // the time at which the engine has read all prompts
	accuracy := &Accuracy{}
	type arrival struct{ at, deadline, prefill float64 }
	var arrivals []arrival
	for at := 0.0; at < 20; at += r.ExpFloat64() * mean / engines / load {
		arrivals = append(arrivals, arrival{at, at + patience, r.ExpFloat64() * mean})
	}
	out := overload{requests: len(arrivals)}
	for len(arrivals) > 0 {
		a := arrivals[0]
		arrivals = arrivals[1:]
		best := 0
		for i := range free {
			if free[i] < free[best] {
				best = i
			}
		}
		first := max(a.at, free[best]) + a.prefill
		predicted := (first - a.at) * math.Exp(error*r.NormFloat64())
		d := Admit(Request{Predicted: seconds(predicted), Margin: accuracy.Margin(), Left: seconds(a.deadline - a.at), IdleRoom: free[best] <= a.at})
		if admits && d.Refused {
			back := a.at + max(0.1, d.Excess.Seconds()*(1+jitterOfTest*r.Float64()))
			if back >= a.deadline {
				out.refused++
				continue
			}
			a.at = back
			i, _ := slices.BinarySearchFunc(arrivals, a, func(x, y arrival) int { return int(math.Copysign(1, x.at-y.at)) })
			arrivals = slices.Insert(arrivals, i, a)
			continue
		}
		free[best] = first
		accuracy.Observe(seconds(first-a.at), seconds(predicted))
		if first > a.deadline {
			out.inVain++
			continue
		}
		out.served++
	}
	return out
}

const jitterOfTest = 0.75

// Load answered: requests beyond what the engines can serve. Guards against engines that
// read prompts whose clients have left, so that few of the others are served, and against
// refusals while there is room.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	for _, load := range []float64{0.5, 0.8, 1.3, 2, 3} {
		var before, with overload
		for seed := range uint64(5) {
			for admits, sum := range map[bool]*overload{false: &before, true: &with} {
				p := playOverload(seed, load, admits)
				sum.requests += p.requests
				sum.served += p.served
				sum.refused += p.refused
				sum.inVain += p.inVain
			}
		}
		t.Logf("load %v: before %+v, with admission %+v", load, before, with)
		if load < 1 {
			// docs/design.md: 99% of the feasible requests at 80% load.
			assert.Check(t, with.served*100 >= 99*before.served, "load %v: %+v, before %+v", load, with, before)
			continue
		}
		// The engines can read 1/load of the prompts.
		assert.Check(t, float64(with.served) >= 0.9*float64(with.requests)/load, "load %v: %+v", load, with)
		assert.Check(t, with.inVain*10 <= with.requests, "load %v: %+v", load, with)
		assert.Check(t, with.served > before.served, "load %v: %+v, before %+v", load, with, before)
	}
}

package bench

import (
	"sort"
	"time"
)

// ClassResult is the quality of the answers to one class of requests in one cell.
type ClassResult struct {
	Name    string  `json:"name"`
	Target  float64 `json:"target"`
	Answers int     `json:"answers"`
	// Good is the number of good answers, for the oracle the expected number.
	Good float64 `json:"good"`
	// Expected is the sum of the true probabilities of a good answer, given the
	// ratings at delivery. It estimates the same number as Good with less noise.
	Expected float64 `json:"expected_good"`
	// Predicted is the sum of the qualities that the router predicted for the
	// answers.
	Predicted float64 `json:"predicted_good"`
	// Requests is the number of requests of the class, answered or not.
	Requests int `json:"requests"`
}

// Quality returns the share of good answers.
func (c *ClassResult) Quality() float64 {
	if c.Answers == 0 {
		return 0
	}
	return c.Good / float64(c.Answers)
}

// Cell is the result of one router at one level under one fault, over one or
// more seeds.
type Cell struct {
	Workload string `json:"workload"`
	Router   string `json:"router"`
	Level    string `json:"level"`
	Fault    string `json:"fault"`
	Seeds    int    `json:"seeds"`
	Requests int    `json:"requests"`
	// Feasible is the number of requests that an idle engine could answer in time.
	Feasible int `json:"feasible"`
	// Answered is the number of requests with a complete answer before the client
	// left, FeasibleAnswered the number of those that were feasible.
	Answered         int           `json:"answered"`
	FeasibleAnswered int           `json:"feasible_answered"`
	Refusals         int           `json:"refusals"`
	Cost             float64       `json:"cost"`
	Calls            int           `json:"upstream_calls"`
	Retries          int           `json:"retries"`
	Exposure         int           `json:"calls_to_bad_version"`
	HaltS            []float64     `json:"halt_s"`
	Classes          []ClassResult `json:"classes"`
	SimulatedS       float64       `json:"simulated_s"`
	// SurgeAnswered is the number of answered requests that arrived during the
	// surge. AfterFeasible is the number of feasible requests that arrived at least
	// recoveryTime, five seconds, after the end of the surge, and AfterAnswered the
	// number of those that were answered in time.
	SurgeAnswered int `json:"surge_answered"`
	AfterFeasible int `json:"after_surge_feasible"`
	AfterAnswered int `json:"after_surge_answered"`

	firstTokens, totals, callFirstTokens []float64
	Summary                              Quantiles `json:"quantiles"`
}

// Quantiles are quantiles of response times, in seconds. They cover the answered
// requests, and the calls for CallFirstP50 and CallFirstP95.
type Quantiles struct {
	FirstP50 float64 `json:"first_token_p50_s"`
	FirstP95 float64 `json:"first_token_p95_s"`
	// CallFirstP50 and CallFirstP95 are quantiles of the time from sending a call to
	// its first token at the daemon.
	CallFirstP50 float64 `json:"call_first_token_p50_s"`
	CallFirstP95 float64 `json:"call_first_token_p95_s"`
	TotalP50     float64 `json:"total_p50_s"`
	TotalP95     float64 `json:"total_p95_s"`
}

func newCell(w *Workload, router, level, fault string) *Cell {
	c := &Cell{Workload: w.Name, Router: router, Level: level, Fault: fault}
	for _, k := range w.Classes {
		c.Classes = append(c.Classes, ClassResult{Name: k.Name, Target: k.QualityTarget})
	}
	return c
}

// add adds the results of one run.
func (c *Cell) add(w *world, duration time.Duration) {
	c.Seeds++
	c.SimulatedS += duration.Seconds()
	c.Exposure += w.badCalls
	if w.firstHalt >= 0 {
		c.HaltS = append(c.HaltS, w.firstHalt.Seconds())
	}
	for _, t := range w.firstTokens {
		c.callFirstTokens = append(c.callFirstTokens, t.Seconds())
	}
	for _, q := range w.requests {
		c.addRequest(w, q)
	}
}

// addSurge adds the results of one run with regard to its surge.
func (c *Cell) addSurge(w *world, s Surge) {
	if s.Factor <= 0 {
		return
	}
	for _, q := range w.requests {
		if s.active(q.at) && q.answered {
			c.SurgeAnswered++
		}
		if q.at >= s.recoveredAt() && w.feasible(q) {
			c.AfterFeasible++
			if q.answered {
				c.AfterAnswered++
			}
		}
	}
}

func (c *Cell) addRequest(w *world, q *request) {
	k := &c.Classes[q.class]
	feasible := w.feasible(q)
	c.Requests++
	k.Requests++
	c.Cost += q.cost
	c.Calls += q.calls
	c.Retries += q.retries
	if feasible {
		c.Feasible++
	}
	if q.refused {
		c.Refusals++
	}
	if !q.answered {
		return
	}
	c.Answered++
	k.Answers++
	k.Predicted += q.predictedQuality
	k.Expected += q.goodProbability // 0 for the oracle, which adds its prediction below
	if feasible {
		c.FeasibleAnswered++
	}
	switch {
	case q.fractional:
		k.Good += q.predictedQuality
		k.Expected += q.predictedQuality
		return
	case q.good:
		k.Good++
	}
	c.firstTokens = append(c.firstTokens, q.firstToken.Seconds())
	c.totals = append(c.totals, q.total.Seconds())
}

// feasible reports whether some version on an idle engine would answer in time,
// at the speed that the engine has without faults.
func (w *world) feasible(q *request) bool {
	left := (q.deadline + q.abandonDelay - w.clientLatency()).Seconds()
	for v, engines := range w.enginesByVersion {
		spec := &w.load.Versions[v]
		for _, e := range engines {
			t := spec.FirstTokenMs/1000 + q.output/spec.OutputTokensPerSSlot
			if t/e.spec.SpeedFactor+2*w.latency(q.daemon, e).Seconds() <= left {
				return true
			}
		}
	}
	return false
}

// computeQuantiles fills in Summary.
func (c *Cell) computeQuantiles() {
	c.Summary = Quantiles{
		FirstP50: quantile(c.firstTokens, 0.5), FirstP95: quantile(c.firstTokens, 0.95),
		CallFirstP50: quantile(c.callFirstTokens, 0.5), CallFirstP95: quantile(c.callFirstTokens, 0.95),
		TotalP50: quantile(c.totals, 0.5), TotalP95: quantile(c.totals, 0.95),
	}
}

// CostPerRequest returns the cost of all calls divided by the number of requests.
func (c *Cell) CostPerRequest() float64 { return c.Cost / float64(max(1, c.Requests)) }

// CallsPerRequest returns the mean number of calls per request, including the
// calls of cascades.
func (c *Cell) CallsPerRequest() float64 { return float64(c.Calls) / float64(max(1, c.Requests)) }

// Goodput returns the number of answers in time per simulated second.
func (c *Cell) Goodput() float64 { return float64(c.Answered) / max(c.SimulatedS, 1e-9) }

// quantile sorts x and returns the value at p.
func quantile(x []float64, p float64) float64 {
	if len(x) == 0 {
		return 0
	}
	sort.Float64s(x)
	return x[min(len(x)-1, int(p*float64(len(x))))]
}

package rollout

import "math"

const (
	// firstStep and minStep bound the change of a logarithmic median by one observation.
	// The step falls from the first to the second with the number of observations.
	firstStep = 0.5
	minStep   = 0.01
	// minOrdinary is the number of calls of a model from which on their median is known.
	minOrdinary = 20
)

// ratio returns the ratio of the measured to the nominal time.
func (o *Outcome) ratio() float64 { return o.Measured.Seconds() / o.Nominal.Seconds() }

// ordinaryRatios holds, by model, the median ratio of measured to nominal times. How far
// a nominal time is off depends on the engines and on the model.
type ordinaryRatios map[string]*median

// of returns the median ratio of a model, and whether it is known.
func (r ordinaryRatios) of(model string) (ratio float64, known bool) {
	m := r[model]
	if m == nil || m.n < minOrdinary {
		return 0, false
	}
	return math.Exp(m.log), true
}

// observe records the ratio of a call.
func (r ordinaryRatios) observe(model string, ratio float64) {
	m := r[model]
	if m == nil {
		m = &median{}
		r[model] = m
	}
	m.observe(math.Log(ratio))
}

// median tracks the median of the logarithm of a quantity.
type median struct{ log, n float64 }

func (m *median) observe(log float64) {
	m.n++
	step := math.Max(minStep, firstStep/m.n)
	if log < m.log {
		step = -step
	}
	m.log += step
}

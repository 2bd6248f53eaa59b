package policy

import (
	"math"
	"sync/atomic"
)

// The value of quality is steered per class, so that the mean predicted
// quality of its answers meets the target at the least cost: each answer that
// is predicted below the target adds to a debt, which raises the value.
const (
	// debtGain is the change of the logarithm of the value per unit of debt.
	debtGain = 1.5
	// startValue is the value of quality before any debt, in units of the cost
	// of a mean request of the class on the dearest version.
	startValue = 1.5
	minValue   = 0.02
	maxValue   = 5.0
)

// target is the state of one class. It is safe for concurrent use.
type target struct {
	own   atomic.Uint64
	peers atomic.Uint64
}

func (t *target) debt() float64 { return math.Float64frombits(t.own.Load()) }

// value is the worth of one unit of quality, in units of the cost of a mean
// request on the dearest version.
func (t *target) value() float64 {
	debt := t.debt() + math.Float64frombits(t.peers.Load())
	return clamp(startValue*math.Exp(debtGain*debt), minValue, maxValue)
}

// note adds the shortfall of one answer to the debt. The debt is bounded, so
// that a long time in which the target was out of reach is soon forgotten.
func (t *target) note(shortfall float64) {
	low, high := math.Log(minValue/startValue)/debtGain, math.Log(maxValue/startValue)/debtGain
	for {
		old := t.own.Load()
		peers := math.Float64frombits(t.peers.Load())
		debt := clamp(math.Float64frombits(old)+shortfall, low-peers, high-peers)
		if t.own.CompareAndSwap(old, math.Float64bits(debt)) {
			return
		}
	}
}

// target returns the state of a class.
func (p *Planner) target(class string) *target {
	if t, ok := p.targets.Load(class); ok {
		return t.(*target)
	}
	t, _ := p.targets.LoadOrStore(class, &target{})
	return t.(*target)
}

// shareDebts takes over the debts of the other daemons.
func (p *Planner) shareDebts(l *learned) {
	for class, debt := range l.debts {
		p.target(class).peers.Store(math.Float64bits(debt))
	}
}

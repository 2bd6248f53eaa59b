package policy

import (
	"math"
	"sync/atomic"
)

// Each class has a value of quality, which a feedback controller adjusts so that
// the mean predicted quality of the answers meets the target at the lowest cost.
// Each answer that is predicted below the target adds its shortfall to a debt,
// and one above the target reduces it; the value rises with the debt.
const (
	// debtGain is the change of the logarithm of the value per unit of debt.
	debtGain = 1.5
	// initialQualityValue is the value of quality without debt, in units of the
	// cost of a mean request of the class on the most expensive version.
	// minQualityValue and maxQualityValue bound the value.
	initialQualityValue = 1.5
	minQualityValue     = 0.02
	maxQualityValue     = 5.0
)

// qualityController holds the debt of one class as the bits of floating-point
// numbers: that of this daemon and the sum over its peers. It is safe for
// concurrent use.
type qualityController struct {
	ownDebt  atomic.Uint64
	peerDebt atomic.Uint64
}

// debt returns the debt that this daemon has accumulated.
func (c *qualityController) debt() float64 { return math.Float64frombits(c.ownDebt.Load()) }

// qualityValue returns the value of one unit of quality, in units of the cost of
// a mean request of the class on the most expensive version.
func (c *qualityController) qualityValue() float64 {
	debt := c.debt() + math.Float64frombits(c.peerDebt.Load())
	return clamp(initialQualityValue*math.Exp(debtGain*debt), minQualityValue, maxQualityValue)
}

// addShortfall adds the shortfall of one answer to the debt. The debt is
// bounded to the range in which it changes the value, so that the value
// recovers quickly after a long time in which the target was out of reach.
func (c *qualityController) addShortfall(shortfall float64) {
	low, high := math.Log(minQualityValue/initialQualityValue)/debtGain, math.Log(maxQualityValue/initialQualityValue)/debtGain
	for {
		old := c.ownDebt.Load()
		peerDebt := math.Float64frombits(c.peerDebt.Load())
		debt := clamp(math.Float64frombits(old)+shortfall, low-peerDebt, high-peerDebt)
		if c.ownDebt.CompareAndSwap(old, math.Float64bits(debt)) {
			return
		}
	}
}

// qualityController returns the quality controller of a class and creates it if
// needed.
func (p *Planner) qualityController(class string) *qualityController {
	if c, ok := p.controllers.Load(class); ok {
		return c.(*qualityController)
	}
	c, _ := p.controllers.LoadOrStore(class, &qualityController{})
	return c.(*qualityController)
}

// storePeerDebts passes the debts of the other daemons to the quality
// controllers.
func (p *Planner) storePeerDebts(l *learnedStats) {
	for class, debt := range l.debts {
		p.qualityController(class).peerDebt.Store(math.Float64bits(debt))
	}
}

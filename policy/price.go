package policy

import "math"

// Where the engines of a version are busy, engine time has a price, so that
// requests with little value give way to others.
const (
	// priceStartUtilisation is the utilisation of the engines above which
	// engine time has a price.
	priceStartUtilisation = 0.75
	// fullPriceUtilisation is the utilisation at which the engine time of a
	// mean request costs as much as an on-time answer is worth.
	fullPriceUtilisation = 1.5
	// onTimeValue is the value of an answer that meets the deadline, in units
	// of the cost of a mean request on the most expensive version.
	onTimeValue = 12.0
)

// buildSlotPrices computes, for each version, the price of occupying a slot of
// its engines for one second.
func (v *View) buildSlotPrices() {
	v.slotPrice = make([]float64, len(v.versions))
	for i, list := range v.engines {
		load, slots, service := 0.0, 0.0, 0.0
		for _, e := range list {
			u := &v.upstreams[e.upstream]
			backlog := float64(v.peerCalls[e.upstream])
			if u.Live != nil {
				backlog += float64(u.Live.InFlight())
			}
			load += backlog
			slots += float64(e.slots)
			service += float64(e.slots) * (e.first + e.perToken*v.meanTokens)
		}
		if slots == 0 {
			continue
		}
		fraction := clamp((load/slots-priceStartUtilisation)/(fullPriceUtilisation-priceStartUtilisation), 0, 1)
		v.slotPrice[i] = onTimeValue * v.meanRequestCost * fraction / math.Max(service/slots, 1e-3)
	}
}

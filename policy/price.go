package policy

import "math"

// Prices of engine time. Where the engines of a version are busy, a second of
// a slot has a price, so that work which adds little gives way.
const (
	// priceFrom is the utilisation at which a price begins.
	priceFrom = 0.75
	// priceFull is the utilisation at which serving one mean request costs as
	// much as an answer is worth.
	priceFull = 1.5
	// answerValue is the worth of an answer in time, in units of the cost of a
	// mean request on the dearest version.
	answerValue = 12.0
)

// buildPrices sets the price of a second of a slot for each version.
func (v *View) buildPrices() {
	v.price = make([]float64, len(v.versions))
	for i, list := range v.holders {
		load, slots, service := 0.0, 0.0, 0.0
		for _, h := range list {
			u := &v.upstreams[h.upstream]
			backlog := float64(v.others[h.upstream])
			if u.Live != nil {
				backlog += float64(u.Live.InFlight())
			}
			load += backlog
			slots += float64(h.slots)
			service += float64(h.slots) * (h.first + h.perToken*v.meanTokens)
		}
		if slots == 0 {
			continue
		}
		rise := clamp((load/slots-priceFrom)/(priceFull-priceFrom), 0, 1)
		v.price[i] = answerValue * v.scale * rise / math.Max(service/slots, 1e-3)
	}
}

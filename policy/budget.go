package policy

import (
	"math"
	"sync"
	"time"
)

const (
	// retryBurst is the maximum number of unused retries that an organisation
	// can accumulate.
	retryBurst = 10
	// initialRetries is the number of retries that an organisation has before
	// its first request.
	initialRetries = 3
	// usageHalfLife is the half-life of the recorded capacity use of an
	// organisation.
	usageHalfLife = 5 * time.Second
)

// organisationState holds the retry budget and the recent capacity use of one
// organisation at this daemon.
type organisationState struct {
	mu          sync.Mutex
	retryTokens float64
	// usage is the engine time of admitted requests in seconds, decayed until
	// usageAt.
	usage   float64
	share   float64
	usageAt time.Duration
}

// organisationState returns the state of an organisation and creates it if
// needed.
func (p *Planner) organisationState(organisation string) *organisationState {
	if s, ok := p.organisations.Load(organisation); ok {
		return s.(*organisationState)
	}
	s, _ := p.organisations.LoadOrStore(organisation, &organisationState{retryTokens: initialRetries, share: 1})
	return s.(*organisationState)
}

// spendRetry takes one retry from the retry budget of the organisation. It
// returns false if the budget is spent.
func (p *Planner) spendRetry(r *Request) bool {
	s := p.organisationState(r.Organisation)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retryTokens < 1 {
		return false
	}
	s.retryTokens--
	return true
}

// returnRetry gives back a retry of spendRetry that was not made.
func (p *Planner) returnRetry(r *Request) {
	s := p.organisationState(r.Organisation)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryTokens = math.Min(retryBurst, s.retryTokens+1)
}

// decayedUsage returns a recorded usage after exponential decay over the given
// time.
func decayedUsage(usage float64, since time.Duration) float64 {
	return usage * math.Exp2(-max(0, since).Seconds()/usageHalfLife.Seconds())
}

// recordAdmitted adds the predicted engine time of an admitted request to the
// capacity use of its organisation, and the request's contribution to the retry
// budget.
func (p *Planner) recordAdmitted(r *Request, o *option, tokens float64, now time.Duration) {
	s := p.organisationState(r.Organisation)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryTokens = math.Min(retryBurst, s.retryTokens+r.RetryBudget)
	s.usage = decayedUsage(s.usage, now-s.usageAt) + o.timeToFirstToken - o.wait + o.perToken*tokens
	s.usageAt = now
	s.share = shareOf(r)
}

// shareOf returns the share of the request's organisation, 1 if none is set.
func shareOf(r *Request) float64 { return ternary(r.Share > 0, r.Share, 1) }

// buildUsageRatios computes, for each organisation, its part of the capacity
// that all organisations use, divided by its part of all shares. A ratio above
// 1 means that the organisation uses more than its share.
func (p *Planner) buildUsageRatios(v *View, now time.Duration) {
	usages := map[string]float64{}
	shares := map[string]float64{}
	totalUsage, totalShare := 0.0, 0.0
	p.organisations.Range(func(name, state any) bool {
		s := state.(*organisationState)
		s.mu.Lock()
		usage, share := decayedUsage(s.usage, now-s.usageAt), s.share
		s.mu.Unlock()
		if usage > idleUsage {
			usages[name.(string)], shares[name.(string)] = usage, share
			totalUsage += usage
			totalShare += share
		}
		return true
	})
	v.usageRatio = make(map[string]float64, len(usages))
	for name, usage := range usages {
		v.usageRatio[name] = (usage / totalUsage) / (shares[name] / totalShare)
	}
}

// idleUsage is the recent capacity use, in seconds of a slot, up to which an
// organisation is left out of the comparison of shares.
const idleUsage = 0.05

// fairnessFactor scales the value of an answer by how the recent use of its
// organisation compares with its share. An organisation above its share gets a
// lower value, so its requests are refused first when capacity is short.
// Without a shortage engine time has no price and no request is refused.
func (v *View) fairnessFactor(r *Request) float64 {
	usageRatio, ok := v.usageRatio[r.Organisation]
	if !ok {
		return 1
	}
	return clamp(1/usageRatio, minFairnessFactor, maxFairnessFactor)
}

// minFairnessFactor and maxFairnessFactor bound the effect of the shares.
const (
	minFairnessFactor = 0.4
	maxFairnessFactor = 2.5
)

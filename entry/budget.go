package entry

import (
	"sync"
	"time"

	"github.com/savoryshift/savoryshift/platform"
)

const (
	// budgetSafetyFactor is the fraction of the platform's bound on retries that the
	// VMs use. The rest is a margin for calls that upstreams refuse, and for the
	// difference between this sliding window and the window of the platform.
	budgetSafetyFactor = 0.8
	// budgetBuckets is the number of buckets of a sliding window.
	budgetBuckets = 20
)

// retryBudget limits the retries of this VM to its part of the platform's bound on
// the retries of all VMs together. It is safe for concurrent use.
type retryBudget struct {
	bounds platform.Bounds

	mu sync.Mutex
	// vms is the number of VMs that share the bound.
	vms int
	// startedAt is the start of bucket 0. It has a monotonic clock reading, so
	// changes of the wall clock do not move the window.
	startedAt time.Time
	// services holds one window per service name.
	services map[string]*budgetWindow
}

// budgetWindow counts requests and retries in the buckets of a sliding window.
type budgetWindow struct {
	requests, retries [budgetBuckets]int
	// bucket is the number of the current bucket, counted from startedAt; its index
	// is the remainder modulo budgetBuckets.
	bucket int64
}

func newRetryBudget(b platform.Bounds) *retryBudget {
	return &retryBudget{bounds: b, startedAt: time.Now(), vms: 1, services: map[string]*budgetWindow{}}
}

// setBounds replaces the bounds. A new length of the window resets all counts,
// because they were made in buckets of another length.
func (b *retryBudget) setBounds(bounds platform.Bounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bounds.RetryWindow != b.bounds.RetryWindow {
		clear(b.services)
	}
	b.bounds = bounds
}

// SetVMs sets the number of VMs that share the bound.
func (b *retryBudget) SetVMs(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vms = max(1, n)
}

// window returns the window of a service after dropping the buckets that have
// expired by now. The caller must hold b.mu.
func (b *retryBudget) window(service string, now time.Time) *budgetWindow {
	w := b.services[service]
	bucket := int64(now.Sub(b.startedAt) / (b.bounds.RetryWindow / budgetBuckets))
	if w == nil {
		w = &budgetWindow{bucket: bucket}
		b.services[service] = w
	}
	for range min(budgetBuckets, max(0, bucket-w.bucket)) {
		w.bucket++
		i := w.bucket % budgetBuckets
		w.requests[i], w.retries[i] = 0, 0
	}
	w.bucket = max(w.bucket, bucket)
	return w
}

// RecordRequest implements gateway.RetryBudget.
func (b *retryBudget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	w.requests[w.bucket%budgetBuckets]++
}

// AllowRetry implements gateway.RetryBudget. The ratio applies to the requests of
// this VM; the slack is divided equally among the VMs.
func (b *retryBudget) AllowRetry(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	requests, retries := 0, 0
	for i := range budgetBuckets {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	allowed := budgetSafetyFactor * (b.bounds.RetryRatio*float64(requests) + b.bounds.RetrySlack/float64(b.vms))
	if float64(retries+1) > allowed {
		return false
	}
	w.retries[w.bucket%budgetBuckets]++
	return true
}

// ReturnRetry implements gateway.RetryBudget.
func (b *retryBudget) ReturnRetry(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	if i := w.bucket % budgetBuckets; w.retries[i] > 0 {
		w.retries[i]--
	}
}

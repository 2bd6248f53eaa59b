package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/platform"
)

// Guards against retry budgets of single VMs that together exceed the bound on all
// VMs in some window when every request fails, and against budgets that use less
// than half of the bound.
func TestRetryBudgetHoldsOverAllVMs(t *testing.T) {
	const vms, perTick = 9, 2
	bounds := platform.Bounds{RetryRatio: 0.9, RetryWindow: 10 * time.Second, RetrySlack: 58}
	var all []*retryBudget
	for range vms {
		b := newRetryBudget(bounds)
		b.SetVMs(vms)
		all = append(all, b)
	}
	begin := time.Now()
	const tick = 100 * time.Millisecond
	const steps = 300
	var retries, requests [steps]int
	for i := range steps {
		now := begin.Add(time.Duration(i) * tick)
		for _, b := range all {
			for range perTick {
				b.RecordRequest("s", now)
				requests[i]++
				for range 3 {
					if b.AllowRetry("s", now) {
						retries[i]++
					}
				}
			}
		}
	}
	const window = int(10 * time.Second / tick)
	for from := 0; from+window <= steps; from++ {
		n, r := 0, 0
		for i := from; i < from+window; i++ {
			n += retries[i]
			r += requests[i]
		}
		allowed := bounds.RetryRatio*float64(r) + bounds.RetrySlack
		assert.Assert(t, float64(n) <= allowed, "%d retries, want at most %.0f, in the window from tick %d", n, allowed, from)
		assert.Assert(t, float64(n) > 0.5*allowed, "%d retries, want more than half of the budget of %.0f", n, allowed)
	}
}

// Guards against a budget that allows no retry right after the start, when few
// requests have been counted.
func TestRetryBudgetAtTheStart(t *testing.T) {
	b := newRetryBudget(platform.Bounds{RetryRatio: 0.9, RetryWindow: 10 * time.Second, RetrySlack: 58})
	b.SetVMs(9)
	now := time.Now()
	b.RecordRequest("s", now)
	assert.Assert(t, b.AllowRetry("s", now))
	assert.Assert(t, b.AllowRetry("other", now))
}

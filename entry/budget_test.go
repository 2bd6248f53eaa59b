package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/platform"
)

// The VMs together must stay within the bound over all of them in every window,
// whatever fails.
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
	var repeats, requests [steps]int
	for i := range steps {
		now := begin.Add(time.Duration(i) * tick)
		for _, b := range all {
			for range perTick {
				b.RecordRequest("s", now)
				requests[i]++
				for range 3 {
					if b.AllowRetry("s", now) {
						repeats[i]++
					}
				}
			}
		}
	}
	const window = int(10 * time.Second / tick)
	for from := 0; from+window <= steps; from++ {
		n, r := 0, 0
		for i := from; i < from+window; i++ {
			n += repeats[i]
			r += requests[i]
		}
		allowed := bounds.RetryRatio*float64(r) + bounds.RetrySlack
		assert.Assert(t, float64(n) <= allowed, "%d repeats of %.0f in the window from %d", n, allowed, from)
		assert.Assert(t, float64(n) > 0.5*allowed, "the budget is to be used: %d of %.0f", n, allowed)
	}
}

// A burst of failures right after the start has some repeats to use.
func TestRetryBudgetAtTheStart(t *testing.T) {
	b := newRetryBudget(platform.Bounds{RetryRatio: 0.9, RetryWindow: 10 * time.Second, RetrySlack: 58})
	b.SetVMs(9)
	now := time.Now()
	b.RecordRequest("s", now)
	assert.Assert(t, b.AllowRetry("s", now))
	assert.Assert(t, b.AllowRetry("other", now))
}

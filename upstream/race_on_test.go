//go:build race

package upstream

// maxAllocationsPerPart is higher under the race detector, because sync.Pool,
// which encoding/json uses in Valid, then drops objects at random.
const maxAllocationsPerPart = 1.5

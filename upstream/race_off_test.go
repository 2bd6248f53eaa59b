//go:build !race

package upstream

// maxAllocationsPerPart is above 0 because a garbage collection empties the
// pools.
const maxAllocationsPerPart = 0.05

//go:build !race

package upstream

// maxAllocationsPerPart is above 0 because a garbage collection empties pools.
const maxAllocationsPerPart = 0.05

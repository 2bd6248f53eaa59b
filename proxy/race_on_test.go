//go:build race

package proxy_test

// concurrentStreams is smaller under the race detector, which supports at most
// 8,128 goroutines.
const concurrentStreams = 500

// maxAllocationsPerPart is higher under the race detector, because sync.Pool,
// which encoding/json uses in Valid, then drops objects at random. Up to 2.0
// allocations per part occur.
const maxAllocationsPerPart = 3.0

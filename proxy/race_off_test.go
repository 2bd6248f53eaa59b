//go:build !race

package proxy_test

// concurrentStreams is the number of streams of the memory test.
const concurrentStreams = 10_000

// maxAllocationsPerPart covers the whole path of one part: engine connection,
// proxy and caller connection.
const maxAllocationsPerPart = 0.1

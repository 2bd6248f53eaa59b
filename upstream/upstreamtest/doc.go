// Package upstreamtest provides an in-memory network for tests of package
// upstream and its users. It works inside testing/synctest.
package upstreamtest

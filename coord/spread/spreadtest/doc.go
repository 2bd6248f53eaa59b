// Package spreadtest simulates many spread nodes in one goroutine in virtual time.
// It replaces the network by an event queue, with delays, lost messages,
// partitions, frozen processes and restarts, and the platform by a memstore. It
// counts messages and their gob-encoded bytes.
//
// The package also compares strategies of spreading a change between zones, in a
// simpler simulation with one node per zone.
package spreadtest

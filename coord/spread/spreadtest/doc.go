// Package spreadtest drives many spread nodes in one goroutine on virtual time.
// It replaces the network and the platform by an event queue at the interfaces
// of the nodes, with delays, lost messages, partitions, frozen processes and
// restarts, and counts messages and their gob-encoded bytes.
package spreadtest

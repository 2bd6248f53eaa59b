// Package table holds the control state of a daemon: VMs, upstreams, versions
// and rollouts, one table each. Tables are owned by the control goroutine and
// are not safe for concurrent use. Only the systems of package control/system
// modify them.
package table

// Package table holds the control state of a daemon: VMs, upstreams, versions
// and roll-outs, one table each. Tables are owned by the control goroutine and
// are not safe for concurrent use. The systems of control/system change them.
package table

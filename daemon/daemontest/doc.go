// Package daemontest runs whole daemons on an in-memory network against fake
// platform services, model engines and plain services, for tests inside
// testing/synctest. The network can partition AvailabilityZones, the platform
// and single VMs, freeze a VM, and kill it at a chosen message. Tests check the
// requests that the fakes received and the answers that the clients received.
package daemontest

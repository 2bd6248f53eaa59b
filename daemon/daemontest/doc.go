// Package daemontest runs whole daemons against the stand-ins on an in-memory
// network, for tests inside testing/synctest. The network can cut
// AvailabilityZones, the platform and single VMs off, freeze a VM, and kill it
// at a chosen message. Checks read what the stand-ins and the callers saw.
package daemontest

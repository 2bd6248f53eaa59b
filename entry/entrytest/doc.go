// Package entrytest runs whole entry VMs in one process against the stand-ins of
// the users' platform, over loopback connections.
package entrytest

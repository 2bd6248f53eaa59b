// Package entrytest tests complete entry VMs in one process, over loopback
// connections, against the in-memory platform of package platform/standin.
package entrytest

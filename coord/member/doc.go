// Package member maintains a membership view of the live VMs from the messages
// that they send, and chooses the delegates of each AvailabilityZone.
//
// The view may be wrong at any time. It decides which VMs exchange messages and
// which of them read the platform, but no safety check relies on it.
package member

// Package member keeps the view of the live VMs, built from the messages that
// they send, and chooses the delegates of each AvailabilityZone.
//
// The view may be wrong at any time. It decides who talks to whom and how often
// the platform is read, never whether an action is safe.
package member

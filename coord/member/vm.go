package member

import (
	"errors"
	"fmt"
	"strings"
)

// maxIDBytes bounds the length of the id of a VM.
const maxIDBytes = 128

var (
	// ErrBadID reports an id that is not of the form AvailabilityZone/name.
	ErrBadID = errors.New("bad VM id")
	// ErrOldIncarnation reports a message of an earlier process of a VM, of which
	// a later incarnation is known.
	ErrOldIncarnation = errors.New("message of an old incarnation")
	// ErrFull reports a VM that cannot be added because the view has MaxMembers
	// members.
	ErrFull = errors.New("membership view is full")
)

// VM identifies one process on an entry VM.
type VM struct {
	// ID has the form AvailabilityZone/name.
	ID string
	// Incarnation grows with every start of the VM's process, for example the
	// start time in milliseconds. It is positive.
	Incarnation int64
}

// AvailabilityZone returns the AvailabilityZone contained in the id.
func (v VM) AvailabilityZone() string { return ZoneOf(v.ID) }

// ZoneOf returns the AvailabilityZone of a VM id.
func ZoneOf(id string) string {
	zone, _, _ := strings.Cut(id, "/")
	return zone
}

// JoinID returns the id of the VM with the given zone and name.
func JoinID(zone, name string) string { return zone + "/" + name }

// CheckID returns ErrBadID when id is not of the form AvailabilityZone/name.
func CheckID(id string) error {
	zone, name, ok := strings.Cut(id, "/")
	if !ok || zone == "" || name == "" || len(id) > maxIDBytes {
		return fmt.Errorf("%w: %q", ErrBadID, id)
	}
	return nil
}

package member

import (
	"errors"
	"fmt"
	"strings"
)

// maxIDBytes bounds the id of a VM.
const maxIDBytes = 128

var (
	// ErrBadID reports an id that is not of the form AvailabilityZone/name.
	ErrBadID = errors.New("bad VM id")
	// ErrOldIncarnation reports a message of a process that a later one of the
	// same VM has replaced.
	ErrOldIncarnation = errors.New("message of an old incarnation")
	// ErrFull reports a VM that does not fit into the bounded view.
	ErrFull = errors.New("membership view is full")
)

// VM is one process on an entry VM.
type VM struct {
	// ID is AvailabilityZone/name.
	ID string
	// Incarnation grows with every start of the VM's process, for example the
	// start time in milliseconds. It is positive.
	Incarnation int64
}

// AvailabilityZone returns the zone that the id carries.
func (v VM) AvailabilityZone() string { return ZoneOf(v.ID) }

// ZoneOf returns the AvailabilityZone of a VM id.
func ZoneOf(id string) string {
	zone, _, _ := strings.Cut(id, "/")
	return zone
}

// JoinID returns the id of the VM with the given name.
func JoinID(zone, name string) string { return zone + "/" + name }

// CheckID returns ErrBadID when id is not of the form AvailabilityZone/name.
func CheckID(id string) error {
	zone, name, ok := strings.Cut(id, "/")
	if !ok || zone == "" || name == "" || len(id) > maxIDBytes {
		return fmt.Errorf("%w: %q", ErrBadID, id)
	}
	return nil
}

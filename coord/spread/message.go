package spread

import (
	"errors"
	"fmt"
	"time"

	"github.com/savoryshift/savoryshift/coord/changelog"
	"github.com/savoryshift/savoryshift/coord/evidence"
	"github.com/savoryshift/savoryshift/coord/member"
)

// Bounds of the lists in a message.
const (
	maxChanges     = 256
	maxChangeBytes = 1 << 20 // a message carries at least one change, whatever its size
	maxZones       = 64
	maxRows        = member.MaxMembers
	maxStateBytes  = 2 << 20 // a larger state is read only from the platform
	maxMarks       = 16
	// maxAgeMs is far above the duration of every lease, and as a time.Duration
	// it cannot overflow.
	maxAgeMs = int64(24 * time.Hour / time.Millisecond)
)

// ErrBadMessage reports a message that is malformed or exceeds a bound.
var ErrBadMessage = errors.New("bad message")

// Mark is a halt mark. It halts one version of a rollout on all nodes.
type Mark struct {
	// Key identifies the halted version and rollout. It is opaque to this
	// package.
	Key string
	// By is the id of the VM that set the mark.
	By     string
	Reason string
	At     time.Time
}

// SyncRequest asks a peer for the state that the sender lacks.
type SyncRequest struct {
	// From is the id of the sender, which contains its AvailabilityZone.
	From        string
	Incarnation int64
	// Revision is the highest revision that the sender has verified. The last
	// Behind revisions up to it are not yet in force on the sender; the sender
	// acknowledges all earlier ones.
	Revision int64
	Behind   int64
	// Halts is the digest of the sender's halt marks, 0 for none.
	Halts uint64
	// Known is the digest of the report that the sender holds of the
	// responder's zone, when that is another zone.
	Known uint32
	// Summary asks for all reports without rows. Reports is the combined digest
	// of the reports that the sender holds; when the responder holds the same
	// ones, it replies with their ages only.
	Summary bool
	Reports uint64
	// Want lists the zones whose reports are requested with rows.
	Want []string
	// Snapshot asks for the state at the responder's revision in case the
	// responder does not retain the changes that the sender lacks.
	Snapshot bool
}

// SyncReply answers a SyncRequest.
type SyncReply struct {
	Incarnation int64
	// Revision and Behind describe the responder as in SyncRequest. Check is the
	// first 4 bytes of the hash of Revision.
	Revision int64
	Behind   int64
	Check    uint32
	// HasEvidence is true when the responder has evidence, which is that the head
	// of the change log was at Revision+Ahead AgeMs milliseconds ago.
	HasEvidence bool
	Ahead       int64
	AgeMs       int64
	// Halts are halt marks that the requester may lack.
	Halts []Mark
	// Changes are the changes after the requester's revision.
	Changes []changelog.Change
	// Snapshot is the state at Revision, if it was requested and Changes is empty.
	Snapshot *changelog.Snapshot
	// Zones are reports that the requester may lack.
	Zones []ZoneReport
	// Ages holds the ages of all reports in milliseconds, sorted by zone name. It
	// replaces Zones in a summary when the digests of requester and responder
	// agree.
	Ages []int64
}

// ZoneReport lists the live VMs of one zone, as seen by a VM of that zone, and
// their acknowledgements. Rows are omitted unless requested, because they change
// much more rarely than the other fields and the receiver usually has them.
type ZoneReport struct {
	Zone string
	// Members is the digest of Rows.
	Members uint64
	// AgeMs is the time since the report was known to be true, in milliseconds.
	AgeMs int64
	// Revision is the highest revision that a VM of the zone has acknowledged.
	// All VMs have acknowledged it except those in Late, which holds pairs of the
	// index of a row and the revision acknowledged by the VM of that row.
	Revision int64
	Late     []int64
	Rows     []Row
}

// Row is one VM of a ZoneReport. Rows are sorted by name.
type Row struct {
	// Name is the id of the VM without the zone.
	Name        string
	Incarnation int64
}

// Notification tells a peer the sender's revision, so that the peer can pull the
// changes that it lacks, and contains the new halt marks.
type Notification struct {
	From        string
	Incarnation int64
	Revision    int64
	Halts       []Mark
}

// Call is a SyncRequest to one peer. The caller passes the call to HandleReply
// together with its reply, or to HandleFailure when it fails.
type Call struct {
	To      string
	Request SyncRequest
	// sentInstant and sentTime are readings of the lease's clock and of
	// Options.Now, taken before the request was sent.
	sentInstant evidence.Instant
	sentTime    time.Time
	// isReplacement is true when the call replaces one that failed.
	isReplacement bool
}

// Effects are the actions that the caller must take after an event.
type Effects struct {
	// Advanced is true when the follower has a new state. The caller must put it
	// in force and then call Applied.
	Advanced bool
	// Load is true when the caller must read the changes up to the head, or a
	// snapshot, from the platform. The node also asks a peer for a snapshot, in
	// case the platform is unreachable.
	Load bool
	// Calls are the calls to make at once.
	Calls []Call
	// Notify lists the peers to which Notification must be sent at once.
	Notify       []string
	Notification Notification
}

func (r SyncRequest) check() error {
	if r.Behind < 0 || r.Revision < r.Behind || len(r.Want) > maxZones {
		return fmt.Errorf("%w: sync request from %q", ErrBadMessage, r.From)
	}
	return nil
}

func (r SyncReply) check() error {
	rows := 0
	for _, z := range r.Zones {
		rows += max(len(z.Rows), len(z.Late)/2)
		if err := z.check(); err != nil {
			return err
		}
	}
	for _, age := range r.Ages {
		if age < 0 || age > maxAgeMs {
			return fmt.Errorf("%w: report age %d ms", ErrBadMessage, age)
		}
	}
	tooLong := len(r.Changes) > maxChanges || len(r.Zones) > maxZones || len(r.Ages) > maxZones || rows > maxRows
	negative := r.Behind < 0 || r.Revision < r.Behind || r.Revision+r.Ahead < 0 || r.AgeMs < 0 || r.AgeMs > maxAgeMs
	if tooLong || negative {
		return fmt.Errorf("%w: sync reply", ErrBadMessage)
	}
	return checkMarks(r.Halts)
}

func (z ZoneReport) check() error {
	bad := z.Zone == "" || z.AgeMs < 0 || z.AgeMs > maxAgeMs || z.Revision < 0 || len(z.Late)%2 != 0 ||
		len(z.Rows) > 0 && digestRows(z.Rows) != z.Members
	if bad {
		return fmt.Errorf("%w: report of zone %.64q", ErrBadMessage, z.Zone)
	}
	return nil
}

func (n Notification) check() error {
	if n.Revision < 0 {
		return fmt.Errorf("%w: notification from %q", ErrBadMessage, n.From)
	}
	return checkMarks(n.Halts)
}

// Bounds of the fields of a mark.
const (
	maxKeyBytes    = 256
	maxReasonBytes = 256
)

func checkMarks(marks []Mark) error {
	if len(marks) > maxMarks {
		return fmt.Errorf("%w: %d halt marks", ErrBadMessage, len(marks))
	}
	for _, m := range marks {
		if err := m.check(); err != nil {
			return err
		}
	}
	return nil
}

func (m Mark) check() error {
	if m.Key == "" || len(m.Key) > maxKeyBytes || len(m.By) > maxKeyBytes || len(m.Reason) > maxReasonBytes {
		return fmt.Errorf("%w: halt mark %.64q", ErrBadMessage, m.Key)
	}
	return nil
}

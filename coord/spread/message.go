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
	maxChangeBytes = 1 << 20 // at least one change is sent, whatever its size
	maxZones       = 64
	maxRows        = member.MaxMembers
	maxStateBytes  = 2 << 20 // a larger state is only read from the platform
	maxMarks       = 16
	// maxAgeMs is far above every lease and cannot overflow a time.Duration.
	maxAgeMs = int64(24 * time.Hour / time.Millisecond)
)

// ErrBadMessage reports a message that breaks a bound or a format.
var ErrBadMessage = errors.New("bad message")

// Mark halts a version of a roll-out.
type Mark struct {
	// Key names what is halted.
	Key string
	// By is the id of the VM that set the mark.
	By     string
	Reason string
	At     time.Time
}

// SyncRequest asks a peer for what the sender misses.
type SyncRequest struct {
	// From is the id of the sender, which carries its AvailabilityZone.
	From        string
	Incarnation int64
	// Revision is the highest that the sender can prove. The last Behind
	// revisions are not yet in force there; the rest is acknowledged.
	Revision int64
	Behind   int64
	// Halts is the digest of the sender's halt marks, 0 for none.
	Halts uint64
	// Known is the digest of the report that the sender holds of the
	// responder's zone, when that is another zone.
	Known uint32
	// Summary asks for all reports without rows. Reports is the digest of
	// those that the sender holds; when it is right, ages are enough.
	Summary bool
	Reports uint64
	// Want asks for the rows of these zones.
	Want []string
	// Snapshot asks for the state itself when the changes are no longer kept.
	Snapshot bool
}

// SyncReply answers a SyncRequest.
type SyncReply struct {
	Incarnation int64
	// Revision and Behind are as in SyncRequest; Check is the start of the hash
	// of Revision.
	Revision int64
	Behind   int64
	Check    uint32
	// HasEvidence says that the head was at Revision+Ahead AgeMs ago.
	HasEvidence bool
	Ahead       int64
	AgeMs       int64
	// Halts are marks that the requester may miss.
	Halts []Mark
	// Changes follow the requester's revision.
	Changes []changelog.Change
	// Snapshot is the state at Revision, when asked for.
	Snapshot *changelog.Snapshot
	// Zones are reports that the requester may miss.
	Zones []ZoneReport
	// Ages of all reports in milliseconds, by zone name, when the digests of
	// requester and responder agree.
	Ages []int64
}

// ZoneReport lists the live VMs of one zone, as seen from inside it, and their
// acknowledgements. Rows are left out when the receiver may know them, because
// they change much more rarely than the rest.
type ZoneReport struct {
	Zone string
	// Members is the digest of Rows.
	Members uint64
	// AgeMs is the time since the report was true, in milliseconds.
	AgeMs int64
	// Revision is the highest that a VM of the zone has acknowledged. All VMs
	// have acknowledged it but those in Late, which holds pairs of the index
	// of a row and the revision acknowledged by it.
	Revision int64
	Late     []int64
	Rows     []Row
}

// Row is one VM of a report. Rows are sorted by name.
type Row struct {
	// Name is the id without the zone.
	Name        string
	Incarnation int64
}

// Notification tells a peer that there is something new to pull. It carries
// new halt marks itself.
type Notification struct {
	From        string
	Incarnation int64
	Revision    int64
	Halts       []Mark
}

// Call is a SyncRequest to one peer. The reply goes to HandleReply together
// with the call, and a call that fails goes to HandleFailure.
type Call struct {
	To      string
	Request SyncRequest
	// sentAt and sent were read before the request was sent.
	sentAt evidence.Instant
	sent   time.Time
	// replaces says that the call was made in place of one that failed.
	replaces bool
}

// Effects are what the caller must do after an event.
type Effects struct {
	// Advanced says that the follower has a new state. The caller puts it in
	// force and then calls Applied.
	Advanced bool
	// Load says that the changes up to the head, or a snapshot, must be read
	// from the platform. The node asks its peers for a snapshot at the same
	// time, in case the platform cannot be reached.
	Load bool
	// Calls are to be sent now.
	Calls []Call
	// Notify lists the peers that Notification is to be sent to now.
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

// Bounds of the texts of a mark.
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

package fleet

import (
	"time"

	"github.com/savoryshift/savoryshift/mirror"
	"github.com/savoryshift/savoryshift/placement"
	"github.com/savoryshift/savoryshift/rollout"
)

// Member is what is known of one VM.
type Member struct {
	VM, AvailabilityZone string
	// Address is where the VM takes calls of peers.
	Address string
	// Capacity is the processor share of the VM in cores.
	Capacity float64
	// Stopping VMs take no new connections and write nothing to the store; Lost
	// ones cannot reach it.
	Stopping, Lost bool
	// Age is the time since the VM was heard of.
	Age time.Duration
}

// LoadReport is a placement.Load in whole numbers, which are shorter on the wire.
type LoadReport struct {
	Upstream string
	Calls    int
	// ReadingMs is predicted engine time in ms; RunningPct is in hundredths.
	ReadingMs, RunningPct int
}

// Scope says whose reports a digest holds.
type Scope int

// Scopes.
const (
	// OwnScope digests hold what the sender itself has in flight and has seen.
	OwnScope Scope = iota
	// ZoneScope digests hold the sum over the zone of the sender.
	ZoneScope
	// OthersScope digests hold the sum over all VMs but the receiver.
	OthersScope
)

// Report is what one VM, or several together, have in flight and have seen.
type Report struct {
	Loads    []LoadReport
	Uses     []placement.CacheUse
	Sessions []rollout.SessionUse
	Rollouts []rollout.Evidence
}

// Digest is what a VM tells a peer.
type Digest struct {
	From Member
	// Incarnation is the start of the process; counts begin anew with each.
	Incarnation int64
	Scope       Scope
	Report      Report
	// Members are other VMs that are alive; they are not in every digest.
	Members []Member
	// Revisions are those of the copies of the store's tables, by table.
	Revisions map[string]int64
}

// TableRequest asks for what is newer in a table.
type TableRequest struct {
	Table string
	// After is the revision that the caller has; Loaded says that it has any.
	After  int64
	Loaded bool
}

// TableReply is what changed, or the whole table; it is empty when the callee
// knows nothing newer.
type TableReply struct {
	Newer, Whole bool
	Page         mirror.Page
}

// EncodeLoads converts loads for a digest.
func EncodeLoads(loads map[string]placement.Load) []LoadReport {
	out := make([]LoadReport, 0, len(loads))
	for id, l := range loads {
		out = append(out, LoadReport{Upstream: id, Calls: l.Calls, ReadingMs: int(l.PrefillSeconds * 1000), RunningPct: int(l.Running * 100)})
	}
	return out
}

// DecodeLoads is the inverse of EncodeLoads.
func DecodeLoads(list []LoadReport) map[string]placement.Load {
	out := make(map[string]placement.Load, len(list))
	for _, l := range list {
		out[l.Upstream] = placement.Load{Calls: l.Calls, PrefillSeconds: float64(l.ReadingMs) / 1000, Running: float64(l.RunningPct) / 100}
	}
	return out
}

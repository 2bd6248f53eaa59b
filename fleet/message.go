package fleet

import (
	"github.com/savoryshift/savoryshift/mirror"
	"github.com/savoryshift/savoryshift/placement"
	"github.com/savoryshift/savoryshift/rollout"
)

// LoadReport is a placement.Load in whole numbers, which are shorter on the wire.
type LoadReport struct {
	Upstream string
	Calls    int
	// ReadingMs is predicted engine time in ms; RunningPct is in hundredths.
	ReadingMs, RunningPct int
}

// Digest is what a VM tells its peers.
type Digest struct {
	VM, AvailabilityZone string
	// Address is where the VM takes calls of peers.
	Address string
	// Incarnation is the start of the process; counts begin anew with each.
	Incarnation int64
	// Stopping VMs take no new connections and write nothing to the store.
	Stopping bool
	// Peers are addresses of other VMs that are alive.
	Peers []string
	// Revisions are those of the copies of the store's tables, by table.
	Revisions map[string]int64
	Loads     []LoadReport
	Uses      []placement.CacheUse
	Sessions  []rollout.SessionUse
	Rollouts  []rollout.Evidence
}

// TableRequest asks for a copy of a table.
type TableRequest struct {
	Table string
	// After is the revision that the caller has.
	After int64
}

// TableReply is a copy of a table; it is empty when the callee knows nothing newer.
type TableReply struct {
	Newer bool
	Copy  mirror.Copy
}

// EncodeLoads converts loads for a digest.
func EncodeLoads(loads map[string]placement.Load) []LoadReport {
	out := make([]LoadReport, 0, len(loads))
	for id, l := range loads {
		out = append(out, LoadReport{Upstream: id, Calls: l.Calls, ReadingMs: int(l.Reading * 1000), RunningPct: int(l.Running * 100)})
	}
	return out
}

// DecodeLoads is the inverse of EncodeLoads.
func DecodeLoads(list []LoadReport) map[string]placement.Load {
	out := make(map[string]placement.Load, len(list))
	for _, l := range list {
		out[l.Upstream] = placement.Load{Calls: l.Calls, Reading: float64(l.ReadingMs) / 1000, Running: float64(l.RunningPct) / 100}
	}
	return out
}

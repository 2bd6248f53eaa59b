package fleet

import (
	"time"

	"github.com/savoryshift/savoryshift/admission"
	"github.com/savoryshift/savoryshift/mirror"
	"github.com/savoryshift/savoryshift/placement"
	"github.com/savoryshift/savoryshift/quarantine"
	"github.com/savoryshift/savoryshift/rollout"
)

// Member describes one VM of the fleet.
type Member struct {
	VM, AvailabilityZone string
	// Address is the address at which the VM accepts RPCs of peers.
	Address string
	// Capacity is the CPU share of the VM in cores.
	Capacity float64
	// Stopping is set if the VM is shutting down: it accepts no new connections
	// and writes nothing to the store. Lost is set if it cannot reach the store.
	Stopping, Lost bool
	// Age is the age of the information about the VM.
	Age time.Duration
}

// LoadReport is the load of an upstream: a placement.Load in integers, which take
// fewer bytes on the wire.
type LoadReport struct {
	Upstream string
	Calls    int
	// ReadingMs is placement.Load.PrefillSeconds in ms, and RunningPct is
	// placement.Load.Running in hundredths.
	ReadingMs, RunningPct int
	// Streams is placement.Load.Streams, and PausedPct is placement.Load.Paused in
	// hundredths. Tokens is placement.Load.Tokens. Builds before these fields ignore them.
	Streams, PausedPct, Tokens int
}

// Scope tells whose state the report of a digest covers.
type Scope int

// Scopes.
const (
	// OwnScope covers the sender only.
	OwnScope Scope = iota
	// ZoneScope covers all VMs in the zone of the sender.
	ZoneScope
	// OthersScope covers all VMs except the receiver.
	OthersScope
)

// Report is the state of one VM or the sum over several: the load that they put
// on upstreams, their recent uses of prompt prefixes and sessions, their evidence on
// rollouts, and the upstreams that said they leave.
type Report struct {
	Loads    []LoadReport
	Uses     []placement.CacheUse
	Sessions []rollout.SessionUse
	Rollouts []rollout.Evidence
	// Leaving are the instances whose leaving the sender has learned of, from their
	// answers or from its peers. Builds before this field ignore it.
	Leaving []placement.Instance
	// Quarantine is what the sender knows of parts of prompts that end upstreams, also
	// from its peers. Builds before this field ignore it.
	Quarantine quarantine.Report
	// Organisations is the engine time that organisations used lately, nil in digests that are
	// not full. Builds before this field ignore it.
	Organisations *admission.Report
}

// Digest is the message that two VMs send each other in an exchange.
type Digest struct {
	From Member
	// Incarnation identifies the process of the sender. Cumulative counts begin at
	// zero in each incarnation.
	Incarnation int64
	Scope       Scope
	Report      Report
	// Members are the VMs that are alive. Only full digests hold them.
	Members []Member
	// Tables are the states of the sender's copies of the store's tables, by table
	// name.
	Tables map[string]mirror.State
	// NewsTo is the position up to which the receiver knows the uses of prompt prefixes and
	// sessions with this digest, and Heard the position up to which the sender knows those of
	// the receiver. Builds before these fields ignore them and are sent the recent uses in
	// each digest.
	NewsTo int64
	Heard  NewsMark
}

// TableRequest requests the changes of a table.
type TableRequest struct {
	Table string
	// After is the revision of the caller's copy; it is valid only if Loaded is
	// true, which means that the caller has a copy.
	After  int64
	Loaded bool
	// Era is that of After. Held asks for the rows that the callee holds, also if it has no
	// newer revision. Builds before these fields send neither.
	Era  int64
	Held bool
}

// TableReply holds the changes of a table, or the whole table if Whole is set.
// Newer is false, and the page empty, if the callee has no newer revision and no held rows
// were asked for.
type TableReply struct {
	Newer, Whole bool
	Page         mirror.Page
}

// EncodeLoads converts loads by upstream to their form in a digest.
func EncodeLoads(loads map[string]placement.Load) []LoadReport {
	out := make([]LoadReport, 0, len(loads))
	for id, l := range loads {
		out = append(out, LoadReport{Upstream: id, Calls: l.Calls, ReadingMs: int(l.PrefillSeconds * 1000), RunningPct: int(l.Running * 100), Streams: l.Streams, PausedPct: int(l.Paused * 100), Tokens: l.Tokens})
	}
	return out
}

// DecodeLoads is the inverse of EncodeLoads.
func DecodeLoads(list []LoadReport) map[string]placement.Load {
	out := make(map[string]placement.Load, len(list))
	for _, l := range list {
		out[l.Upstream] = placement.Load{Calls: l.Calls, PrefillSeconds: float64(l.ReadingMs) / 1000, Running: float64(l.RunningPct) / 100, Streams: l.Streams, Paused: float64(l.PausedPct) / 100, Tokens: l.Tokens}
	}
	return out
}

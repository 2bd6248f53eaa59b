package operator

import (
	"encoding/json"
	"time"

	"github.com/savoryshift/savoryshift/coord/changelog"
	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/tree"
)

// ChangeState is the state of a change of the settings tree.
type ChangeState string

// States of a change. A committed change is in the log; an accepted one is also
// in force on all daemons.
const (
	Committed ChangeState = "committed"
	Accepted  ChangeState = "accepted"
)

// Change is one entry of the change log, with its patch as JSON.
type Change struct {
	Revision int64           `json:"revision"`
	ID       string          `json:"id"`
	Author   string          `json:"author"`
	Reason   string          `json:"reason"`
	Base     int64           `json:"base"`
	Time     time.Time       `json:"time"`
	Patch    json.RawMessage `json:"patch"`
	Prev     string          `json:"prev"`
	Hash     string          `json:"hash"`
}

func changeOf(c changelog.Change) Change {
	return Change{c.Revision, c.ID, c.Author, c.Reason, c.Base, c.Time, json.RawMessage(c.Patch), c.Prev, c.Hash}
}

func changesOf(list []changelog.Change) []Change {
	changes := make([]Change, len(list))
	for i, c := range list {
		changes[i] = changeOf(c)
	}
	return changes
}

// Edit is the body of POST /v1/changes.
type Edit struct {
	// ID identifies the change, so that a repeated call is not applied twice.
	// Default: a new UUID.
	ID string `json:"id,omitempty"`
	// Reason is stored in the audit trail. Required, at most 1,000 bytes.
	Reason string `json:"reason"`
	// Base is the revision on which the edit is based.
	Base int64 `json:"base"`
	// Patch is the JSON merge patch of the tree.
	Patch json.RawMessage `json:"patch"`
}

// Action is the body of all actions. Each action uses only the fields that it
// needs.
type Action struct {
	// ID identifies the change, so that a repeated call is not applied twice.
	// Default: a new UUID.
	ID string `json:"id,omitempty"`
	// Reason is stored in the audit trail. Required, at most 1,000 bytes.
	Reason string `json:"reason"`
	// Successor is the version that takes over the sessions of a withdrawn one.
	// Required for a withdrawal unless WithoutSuccessor is true.
	Successor        string `json:"successor,omitempty"`
	WithoutSuccessor bool   `json:"without_successor,omitempty"`
	// From, To, Percent, StepPercent and StepSeconds describe a rollout.
	From        string  `json:"from,omitempty"`
	To          string  `json:"to,omitempty"`
	Percent     float64 `json:"percent,omitempty"`
	StepPercent float64 `json:"step_percent,omitempty"`
	StepSeconds float64 `json:"step_seconds,omitempty"`
	// Undo ends the draining of an upstream.
	Undo bool `json:"undo,omitempty"`
}

// EditResult is the answer to an edit or action.
type EditResult struct {
	// Revision is the revision of the change. If NoEffect is true, it is the
	// revision on which the edit is based.
	Revision int64       `json:"revision"`
	State    ChangeState `json:"state"`
	// NoEffect reports that the tree already was in the requested state, so that
	// nothing was added to the log.
	NoEffect bool `json:"no_effect,omitempty"`
	// Change is the entry of the log; nil if NoEffect is true.
	Change *Change `json:"change,omitempty"`
	// MissingZones and MissingVMs list the zones and VMs that have not
	// acknowledged the change.
	MissingZones []string `json:"missing_zones,omitempty"`
	MissingVMs   []string `json:"missing_vms,omitempty"`
}

// HaltRequest is the body of POST /v1/halts.
type HaltRequest struct {
	Version string `json:"version"`
	// Rollout defaults to the running or paused rollout to the version.
	Rollout string `json:"rollout,omitempty"`
	Reason  string `json:"reason"`
}

// Halt is a halt mark, which stops a rollout to a version.
type Halt struct {
	Version string `json:"version"`
	Rollout string `json:"rollout"`
}

// TreeAnswer is the tree at a revision.
type TreeAnswer struct {
	Revision int64  `json:"revision"`
	Hash     string `json:"hash"`
	// Stale reports that the change log is unreachable and that Tree is the
	// configuration in force on the daemon.
	Stale bool            `json:"stale,omitempty"`
	Tree  json.RawMessage `json:"tree"`
}

// EffectiveAnswer holds effective values at a revision.
type EffectiveAnswer struct {
	Revision  int64           `json:"revision"`
	Stale     bool            `json:"stale,omitempty"`
	Effective *tree.Effective `json:"effective"`
}

// Page is a part of the change log in order of revision.
type Page struct {
	Head    changelog.Head `json:"head"`
	Changes []Change       `json:"changes"`
}

// DiffAnswer lists the values that differ between two revisions.
type DiffAnswer struct {
	From        int64             `json:"from"`
	To          int64             `json:"to"`
	Differences []tree.Difference `json:"differences"`
}

// ChangeStatus is the state of one change.
type ChangeStatus struct {
	Revision     int64       `json:"revision"`
	ID           string      `json:"id"`
	State        ChangeState `json:"state"`
	MissingZones []string    `json:"missing_zones,omitempty"`
	MissingVMs   []string    `json:"missing_vms,omitempty"`
}

// Status describes one daemon.
type Status struct {
	VM               string `json:"vm"`
	AvailabilityZone string `json:"availability_zone"`
	Region           string `json:"region"`
	// Revision and Hash identify the configuration in force.
	Revision int64  `json:"revision"`
	Hash     string `json:"hash"`
	// EvidenceAgeMs is the age of the newest evidence that the configuration is
	// current; -1 if there is none.
	EvidenceAgeMs    int64            `json:"evidence_age_ms"`
	Isolated         bool             `json:"isolated"`
	Draining         bool             `json:"draining"`
	RequestsInFlight int64            `json:"requests_in_flight"`
	LedgerEntries    int64            `json:"ledger_entries"`
	LedgerBytes      int64            `json:"ledger_bytes"`
	Halts            []Halt           `json:"halts,omitempty"`
	Members          []Member         `json:"members,omitempty"`
	Upstreams        []UpstreamStatus `json:"upstreams,omitempty"`
}

// Member is another daemon, as known to the daemon that reports it.
type Member struct {
	VM               string `json:"vm"`
	AvailabilityZone string `json:"availability_zone"`
	Revision         int64  `json:"revision"`
	// AgeMs is the time since the last message of the daemon.
	AgeMs int64 `json:"age_ms"`
	// Delegate reports whether the daemon reads the head of the change log for
	// its zone.
	Delegate bool `json:"delegate,omitempty"`
}

// UpstreamStatus is the state of an upstream, as known to the daemon that reports
// it.
type UpstreamStatus struct {
	ID               string   `json:"id"`
	AvailabilityZone string   `json:"availability_zone"`
	Versions         []string `json:"versions,omitempty"`
	// State is live, leaving or down.
	State    string `json:"state"`
	InFlight int64  `json:"in_flight"`
}

// ErrorAnswer is the body of an answer that reports an error.
type ErrorAnswer struct {
	Error ErrorBody `json:"error"`
}

// ErrorBody has the fields of the errors that callers of the traffic API receive,
// and more details for operators.
type ErrorBody struct {
	Message string       `json:"message"`
	Type    string       `json:"type"`
	Code    errkind.Kind `json:"code"`
	Ran     errkind.Ran  `json:"ran"`
	Retry   bool         `json:"retry"`
	// Problems lists the invalid values of a tree.
	Problems []tree.Problem `json:"problems,omitempty"`
	// Conflict describes the changes that were appended since the base.
	Conflict *Conflict `json:"conflict,omitempty"`
}

// Conflict describes the changes that were appended since the base of an edit and
// caused its refusal.
type Conflict struct {
	Base   int64          `json:"base"`
	Head   changelog.Head `json:"head"`
	Others []Change       `json:"others"`
}

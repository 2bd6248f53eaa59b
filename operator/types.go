package operator

import (
	"encoding/json"
	"time"

	"github.com/savoryshift/savoryshift/coord/changelog"
	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/tree"
)

// ChangeState says how far a change has come.
type ChangeState string

// States of a change: in the log, or in force everywhere.
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
	// ID is unique and makes a repeated call harmless; default a new UUID.
	ID string `json:"id,omitempty"`
	// Reason stands in the audit trail. Required, at most 1,000 bytes.
	Reason string `json:"reason"`
	// Base is the revision that the editor had seen.
	Base int64 `json:"base"`
	// Patch is the JSON merge patch of the tree.
	Patch json.RawMessage `json:"patch"`
}

// Action is the body of the actions. Each uses the fields that it needs.
type Action struct {
	// ID is unique and makes a repeated call harmless; default a new UUID.
	ID string `json:"id,omitempty"`
	// Reason stands in the audit trail. Required, at most 1,000 bytes.
	Reason string `json:"reason"`
	// Successor takes the sessions of a withdrawn version. Required for a
	// withdrawal unless WithoutSuccessor is true.
	Successor        string `json:"successor,omitempty"`
	WithoutSuccessor bool   `json:"without_successor,omitempty"`
	// From, To, Percent, StepPercent and StepSeconds describe a roll-out.
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
	// Revision holds the change; without effect, the head.
	Revision int64       `json:"revision"`
	State    ChangeState `json:"state"`
	// NoEffect says that the tree already was as wanted and nothing was added
	// to the log.
	NoEffect bool `json:"no_effect,omitempty"`
	// Change is the entry of the log.
	Change *Change `json:"change,omitempty"`
	// MissingZones and MissingVMs have not acknowledged the change.
	MissingZones []string `json:"missing_zones,omitempty"`
	MissingVMs   []string `json:"missing_vms,omitempty"`
}

// HaltRequest is the body of POST /v1/halts.
type HaltRequest struct {
	Version string `json:"version"`
	// Rollout defaults to the active roll-out to the version.
	Rollout string `json:"rollout,omitempty"`
	Reason  string `json:"reason"`
}

// Halt is a halt mark.
type Halt struct {
	Version string `json:"version"`
	Rollout string `json:"rollout"`
}

// TreeAnswer is the tree at a revision.
type TreeAnswer struct {
	Revision int64  `json:"revision"`
	Hash     string `json:"hash"`
	// Stale says that the log is unreachable and that this is what the daemon
	// has in force.
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
	// Revision and Hash are the configuration in force.
	Revision int64  `json:"revision"`
	Hash     string `json:"hash"`
	// EvidenceAgeMs is the age of the newest evidence, -1 without any.
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

// Member is another daemon as this one sees it.
type Member struct {
	VM               string `json:"vm"`
	AvailabilityZone string `json:"availability_zone"`
	Revision         int64  `json:"revision"`
	// AgeMs is the time since the daemon was last heard of.
	AgeMs int64 `json:"age_ms"`
	// Delegate says whether it reads the head of the log for its zone.
	Delegate bool `json:"delegate,omitempty"`
}

// UpstreamStatus is an upstream as this daemon sees it.
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

// ErrorBody has the fields of errors towards callers, and what an operator
// needs beyond them.
type ErrorBody struct {
	Message string       `json:"message"`
	Type    string       `json:"type"`
	Code    errkind.Kind `json:"code"`
	Ran     errkind.Ran  `json:"ran"`
	Retry   bool         `json:"retry"`
	// Problems lists the faults of a tree.
	Problems []tree.Problem `json:"problems,omitempty"`
	// Conflict shows the changes that were appended since the base.
	Conflict *Conflict `json:"conflict,omitempty"`
}

// Conflict shows the changes that won against an edit.
type Conflict struct {
	Base   int64          `json:"base"`
	Head   changelog.Head `json:"head"`
	Others []Change       `json:"others"`
}

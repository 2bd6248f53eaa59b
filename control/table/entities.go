package table

import (
	"time"

	"github.com/savoryshift/savoryshift/infra"
	"github.com/savoryshift/savoryshift/tree"
	"github.com/savoryshift/savoryshift/upstream"
)

// VM is one VM of the platform's list. It stays in the table when it is no
// longer listed.
type VM struct {
	AvailabilityZone string
	Kind             infra.VMKind
	State            infra.VMState
	// Listed says whether the last list contained the VM.
	Listed bool
}

// Version is one model version of the settings tree.
type Version struct {
	Model string
	State tree.VersionState
}

// Upstream is one engine or one instance of a plain service.
type Upstream struct {
	// Settings are those of the tree.
	Settings tree.Upstream
	Health   Health
	Leaving  Leaving
	Load     Load
	Order    Order
}

// Usable says whether the upstream may receive new work.
func (u *Upstream) Usable() bool {
	return u.Health.Up && !u.Leaving.Any() && !u.Settings.Draining
}

// Health is the result of probes and calls.
type Health struct {
	// Up changes only after several results in a row.
	Up bool
	// Failures and Successes count results in a row.
	Failures, Successes int
	// ChangedAt is when Up last changed.
	ChangedAt time.Time
	// Probing says that a probe is in flight, sent at ProbedAt.
	Probing  bool
	ProbedAt time.Time
	// ResultSentAt is when the newest probe with a result was sent; results of
	// older probes are late and do not count.
	ResultSentAt time.Time
}

// LeavingSource names who reports that an upstream is leaving.
type LeavingSource int

// Sources of reports that an upstream is leaving.
const (
	PlatformList LeavingSource = iota
	OwnAnswer
	FailedProbes
	leavingSources
)

// Leaving holds when each source first reported that the upstream is leaving.
// A source can take back its own report only.
type Leaving struct {
	since [leavingSources]time.Time
	// OwnSentAt is when the newest call that carried the upstream's own answer
	// was sent; older answers are late and do not count.
	OwnSentAt time.Time
}

// Set stores what a source reports at a time.
func (l *Leaving) Set(source LeavingSource, leaving bool, now time.Time) {
	switch {
	case !leaving:
		l.since[source] = time.Time{}
	case l.since[source].IsZero():
		l.since[source] = now
	}
}

// Any says whether a source reports that the upstream is leaving.
func (l *Leaving) Any() bool { return !l.Since().IsZero() }

// Since returns the time of the earliest report in force, or zero.
func (l *Leaving) Since() time.Time {
	var earliest time.Time
	for _, t := range l.since {
		if !t.IsZero() && (earliest.IsZero() || t.Before(earliest)) {
			earliest = t
		}
	}
	return earliest
}

// Load is the last load report and the daemon's own sends since then.
type Load struct {
	Report upstream.LoadReport
	// AsOf is the moment that the report describes; zero without a report.
	AsOf time.Time
	// Sent holds when the daemon sent the calls that the report cannot contain
	// and that have not ended, oldest first.
	Sent []time.Time
}

// Outstanding estimates the requests at the upstream.
func (l *Load) Outstanding() int {
	return l.Report.Running + l.Report.Queued + len(l.Sent)
}

// Rollout is one roll-out of the tree.
type Rollout struct {
	// Settings are those of the tree.
	Settings tree.Rollout
	// SteppedAt is when this daemon first saw the current percent and state.
	SteppedAt time.Time
	// Pending says that a change is in flight; RetryAt bounds the next try.
	Pending bool
	RetryAt time.Time
}

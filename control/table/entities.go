package table

import (
	"time"

	"github.com/savoryshift/savoryshift/infra"
	"github.com/savoryshift/savoryshift/tree"
	"github.com/savoryshift/savoryshift/upstream"
)

// VM is one VM of the platform's list. A VM that the list has dropped stays in
// the table while an upstream refers to it.
type VM struct {
	AvailabilityZone string
	Kind             infra.VMKind
	State            infra.VMState
	// Listed reports whether the last list contained the VM.
	Listed bool
}

// Version is one model version of the settings tree.
type Version struct {
	Model string
	State tree.VersionState
}

// Upstream is one engine or one instance of a plain service.
type Upstream struct {
	// Settings is the upstream's entry in the settings tree.
	Settings tree.Upstream
	Health   Health
	Leaving  Leaving
	Load     Load
	Order    Order
}

// Usable reports whether the upstream may receive new work.
func (u *Upstream) Usable() bool {
	return u.Health.Up && !u.Leaving.Any() && !u.Settings.Draining
}

// Health is the health of an upstream, derived from probes and calls.
type Health struct {
	// Up changes only after several consecutive results.
	Up bool
	// Failures and Successes count consecutive results of one kind.
	Failures, Successes int
	// ChangedAt is when Up last changed.
	ChangedAt time.Time
	// Probing reports whether a probe is in flight, which was sent at ProbedAt.
	Probing  bool
	ProbedAt time.Time
	// ResultSentAt is the time at which the newest probe with a result was sent.
	// Results of older probes are ignored.
	ResultSentAt time.Time
}

// LeavingSource is a source of reports that an upstream is leaving.
type LeavingSource int

// Sources of reports that an upstream is leaving.
const (
	PlatformList LeavingSource = iota
	SelfReport
	FailedProbes
	numLeavingSources
)

// Leaving holds when each source first reported that the upstream is leaving.
// A source can withdraw only its own report.
type Leaving struct {
	since [numLeavingSources]time.Time
	// SelfReportSentAt is the time at which the newest call whose reply said
	// whether the upstream is leaving was sent. Replies to older calls cannot
	// withdraw the report.
	SelfReportSentAt time.Time
}

// Set stores whether a source reports that the upstream is leaving. The first
// of several reports in a row determines the time.
func (l *Leaving) Set(source LeavingSource, leaving bool, now time.Time) {
	switch {
	case !leaving:
		l.since[source] = time.Time{}
	case l.since[source].IsZero():
		l.since[source] = now
	}
}

// Any reports whether any source reports that the upstream is leaving.
func (l *Leaving) Any() bool { return !l.Since().IsZero() }

// Since returns the time of the earliest report that was not withdrawn, or zero.
func (l *Leaving) Since() time.Time {
	var earliest time.Time
	for _, t := range l.since {
		if !t.IsZero() && (earliest.IsZero() || t.Before(earliest)) {
			earliest = t
		}
	}
	return earliest
}

// Load is the last load report and the calls that this daemon sent after it.
type Load struct {
	Report upstream.LoadReport
	// AsOf is the time that the report describes; zero without a report.
	AsOf time.Time
	// Sent holds the send times, oldest first, of this daemon's calls that are
	// in flight and were sent after AsOf, so that the report cannot contain them.
	Sent []time.Time
}

// Outstanding estimates the number of running and queued requests at the
// upstream.
func (l *Load) Outstanding() int {
	return l.Report.Running + l.Report.Queued + len(l.Sent)
}

// Rollout is one rollout of the tree.
type Rollout struct {
	// Settings is the rollout's entry in the settings tree.
	Settings tree.Rollout
	// SteppedAt is when this daemon first saw the current percent and state.
	SteppedAt time.Time
	// Pending reports whether a write of a step is in flight. The next attempt
	// is made no earlier than RetryAt.
	Pending bool
	RetryAt time.Time
}

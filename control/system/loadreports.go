package system

import (
	"slices"
	"time"

	"github.com/savoryshift/savoryshift/control/table"
)

const (
	// maxTrackedSends bounds the send times kept per upstream; the oldest ones
	// are dropped.
	maxTrackedSends = 4096
	// maxCallDuration is the longest deadline of a call. A call that was sent
	// longer ago has ended, and its result was lost.
	maxCallDuration = 10 * time.Minute
)

// LoadReports keeps the newest load report of each engine and the send times of
// this daemon's calls that the report cannot contain. A report is dated by the
// send time of its probe minus the age that the engine states, which is before
// the engine measured its load. A call can therefore be counted twice for a short
// time, but is never missed.
func LoadReports(t *table.Tables, now time.Time, in *Inputs) []Effect {
	for _, send := range in.Sends {
		if u := t.Upstreams.Get(send.Upstream); u != nil && send.At.After(u.Load.AsOf) {
			addSent(&u.Load, send.At)
		}
	}
	for _, result := range in.Calls {
		if u := t.Upstreams.Get(result.Upstream); u != nil {
			removeSent(&u.Load, result.SentAt)
		}
	}
	for _, result := range in.Probes {
		u := t.Upstreams.Get(result.Upstream)
		if u == nil || result.Failed || result.Report == nil {
			continue
		}
		asOf := result.SentAt.Add(-time.Duration(result.Report.AgeMs) * time.Millisecond)
		if !asOf.After(u.Load.AsOf) {
			continue
		}
		u.Load.Report, u.Load.AsOf = *result.Report, asOf
		u.Load.Sent = slices.DeleteFunc(u.Load.Sent, func(at time.Time) bool { return !at.After(asOf) })
	}
	for _, u := range t.Upstreams.All() {
		for len(u.Load.Sent) > 0 && now.Sub(u.Load.Sent[0]) > maxCallDuration {
			u.Load.Sent = u.Load.Sent[1:]
		}
	}
	return nil
}

func addSent(l *table.Load, at time.Time) {
	i, _ := slices.BinarySearchFunc(l.Sent, at, time.Time.Compare)
	l.Sent = slices.Insert(l.Sent, i, at)
	if len(l.Sent) > maxTrackedSends {
		l.Sent = slices.Delete(l.Sent, 0, len(l.Sent)-maxTrackedSends)
	}
}

func removeSent(l *table.Load, at time.Time) {
	if i, ok := slices.BinarySearchFunc(l.Sent, at, time.Time.Compare); ok {
		l.Sent = slices.Delete(l.Sent, i, i+1)
	}
}

package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/savoryshift/savoryshift/admission"
	"github.com/savoryshift/savoryshift/placement"
	"github.com/savoryshift/savoryshift/rollout"
)

const (
	// reportLifetime is the maximum age of a report that is counted in sums.
	reportLifetime = 1500 * time.Millisecond
	// maxDigestUses bounds the uses of prefixes, and those of sessions, in one
	// digest. The newest ones are kept.
	maxDigestUses = 150
	// maxDigestLeaving bounds the leaving upstreams in one digest. Those that the sender
	// learned of last are kept.
	maxDigestLeaving = 150
)

// reportStore holds the reports of other VMs, so that a delegate can forward their
// sums. It is not safe for concurrent use.
type reportStore struct {
	// vms holds the reports of the other VMs of this zone by VM name, and zones
	// the sums over other zones by zone name.
	vms, zones map[string]*receivedReport
	// evidence holds the evidence on rollouts by incarnation name or, with the
	// prefix "zone/", by zone. It is kept when the VM that reported it is gone.
	evidence map[string][]rollout.Evidence
}

type receivedReport struct {
	report Report
	at     time.Time
}

func newReportStore() *reportStore {
	return &reportStore{vms: map[string]*receivedReport{}, zones: map[string]*receivedReport{}, evidence: map[string][]rollout.Evidence{}}
}

// record stores the report of a peer's digest. Only reports of VMs of this zone
// and sums over zones are stored, because only these are forwarded.
func (rs *reportStore) record(d Digest, incarnation string, zone string, now time.Time) {
	switch {
	case d.Scope == OwnScope && d.From.AvailabilityZone == zone:
		rs.vms[d.From.VM] = &receivedReport{d.Report, now}
		if len(d.Report.Rollouts) > 0 {
			rs.evidence[incarnation] = d.Report.Rollouts
		}
	case d.Scope == ZoneScope:
		rs.zones[d.From.AvailabilityZone] = &receivedReport{d.Report, now}
		if len(d.Report.Rollouts) > 0 {
			rs.evidence["zone/"+d.From.AvailabilityZone] = d.Report.Rollouts
		}
	}
}

// zoneSum returns the sum over the VMs of this zone, where own is the report of
// this VM.
func (rs *reportStore) zoneSum(own Report, evidence bool, now time.Time) Report {
	return rs.sum(own, "", false, evidence, now)
}

// othersSum returns the sum over all VMs except one VM of this zone, where own is
// the report of this VM.
func (rs *reportStore) othersSum(own Report, except string, evidence bool, now time.Time) Report {
	return rs.sum(own, except, true, evidence, now)
}

func (rs *reportStore) sum(own Report, except string, zones, evidence bool, now time.Time) Report {
	loads := map[string]*LoadReport{}
	// Each VM tells on what it has learned from its peers, so its own list holds theirs.
	out := Report{Uses: own.Uses, Sessions: own.Sessions, Leaving: own.Leaving, Quarantine: own.Quarantine}
	addLoads(loads, own.Loads)
	uses := []admission.Report{own.Organisations}
	add := func(p *receivedReport) {
		age := now.Sub(p.at)
		if age > reportLifetime {
			return
		}
		addLoads(loads, p.report.Loads)
		uses = append(uses, p.report.Organisations)
		for _, u := range p.report.Uses {
			u.Age += age
			out.Uses = append(out.Uses, u)
		}
		for _, s := range p.report.Sessions {
			s.Age += age
			out.Sessions = append(out.Sessions, s)
		}
	}
	for vm, p := range rs.vms {
		if vm != except {
			add(p)
		}
	}
	if zones {
		for _, p := range rs.zones {
			add(p)
		}
	}
	for _, l := range loads {
		out.Loads = append(out.Loads, *l)
	}
	out.Organisations = admission.SumReports(uses...)
	out.trim()
	if evidence {
		out.Rollouts = rs.evidenceSum(own.Rollouts, except, zones)
	}
	return out
}

// trim limits the uses of prefixes and of sessions to the newest maxDigestUses each.
func (r *Report) trim() {
	if len(r.Uses) > maxDigestUses {
		slices.SortFunc(r.Uses, func(a, b placement.CacheUse) int { return int(a.Age - b.Age) })
		r.Uses = r.Uses[:maxDigestUses]
	}
	if len(r.Sessions) > maxDigestUses {
		slices.SortFunc(r.Sessions, func(a, b rollout.SessionUse) int { return int(a.Age - b.Age) })
		r.Sessions = r.Sessions[:maxDigestUses]
	}
}

func addLoads(sum map[string]*LoadReport, list []LoadReport) {
	for _, l := range list {
		s := sum[l.Upstream]
		if s == nil {
			s = &LoadReport{Upstream: l.Upstream}
			sum[l.Upstream] = s
		}
		s.Calls += l.Calls
		s.ReadingMs += l.ReadingMs
		s.RunningPct += l.RunningPct
		s.Streams += l.Streams
		s.PausedPct += l.PausedPct
		s.Tokens += l.Tokens
	}
}

// evidenceSum returns the sum of the evidence of all VMs, including those that are
// gone. Without zones, it leaves out the evidence of other zones.
func (rs *reportStore) evidenceSum(own []rollout.Evidence, except string, zones bool) []rollout.Evidence {
	lists := [][]rollout.Evidence{own}
	for key, list := range rs.evidence {
		zone := strings.HasPrefix(key, "zone/")
		if zone && !zones || except != "" && strings.HasPrefix(key, except+"@") {
			continue
		}
		lists = append(lists, list)
	}
	return rollout.SumEvidence(lists)
}

// expire removes reports that are older than reportLifetime. Evidence is kept.
func (rs *reportStore) expire(now time.Time) {
	old := func(_ string, p *receivedReport) bool { return now.Sub(p.at) > reportLifetime }
	maps.DeleteFunc(rs.vms, old)
	maps.DeleteFunc(rs.zones, old)
}

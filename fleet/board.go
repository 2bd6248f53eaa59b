package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/savoryshift/savoryshift/placement"
	"github.com/savoryshift/savoryshift/rollout"
)

const (
	// reportLifetime is the age at which the load of a VM no longer counts.
	reportLifetime = 1500 * time.Millisecond
	// maxRelayed bounds the uses of prefixes and of sessions in one digest; the
	// newest ones are kept.
	maxRelayed = 150
)

// board holds the reports of other VMs, so that a delegate can pass them on as
// sums. It is not safe for concurrent use.
type board struct {
	// vms are the reports of VMs of this zone by name, zones the sums of other
	// zones.
	vms, zones map[string]*posted
	// evidence is kept after the VM that told it is gone, by VM and incarnation.
	evidence map[string][]rollout.Evidence
}

type posted struct {
	report Report
	at     time.Time
}

func newBoard() *board {
	return &board{vms: map[string]*posted{}, zones: map[string]*posted{}, evidence: map[string][]rollout.Evidence{}}
}

// put takes over a digest of a peer. Only reports of the same zone's VMs and
// sums of other zones are passed on.
func (b *board) put(d Digest, incarnation string, zone string, now time.Time) {
	switch {
	case d.Scope == OwnScope && d.From.AvailabilityZone == zone:
		b.vms[d.From.VM] = &posted{d.Report, now}
		if len(d.Report.Rollouts) > 0 {
			b.evidence[incarnation] = d.Report.Rollouts
		}
	case d.Scope == ZoneScope:
		b.zones[d.From.AvailabilityZone] = &posted{d.Report, now}
		if len(d.Report.Rollouts) > 0 {
			b.evidence["zone/"+d.From.AvailabilityZone] = d.Report.Rollouts
		}
	}
}

// zoneSum is the sum over the VMs of this zone, own being the report of this one.
func (b *board) zoneSum(own Report, evidence bool, now time.Time) Report {
	return b.sum(own, "", false, evidence, now)
}

// othersSum is the sum over all VMs but one of this zone.
func (b *board) othersSum(own Report, except string, evidence bool, now time.Time) Report {
	return b.sum(own, except, true, evidence, now)
}

func (b *board) sum(own Report, except string, zones, evidence bool, now time.Time) Report {
	loads := map[string]*LoadReport{}
	out := Report{Uses: own.Uses, Sessions: own.Sessions}
	addLoads(loads, own.Loads)
	add := func(p *posted) {
		age := now.Sub(p.at)
		if age > reportLifetime {
			return
		}
		addLoads(loads, p.report.Loads)
		for _, u := range p.report.Uses {
			u.Age += age
			out.Uses = append(out.Uses, u)
		}
		for _, s := range p.report.Sessions {
			s.Age += age
			out.Sessions = append(out.Sessions, s)
		}
	}
	for vm, p := range b.vms {
		if vm != except {
			add(p)
		}
	}
	if zones {
		for _, p := range b.zones {
			add(p)
		}
	}
	for _, l := range loads {
		out.Loads = append(out.Loads, *l)
	}
	out.trim()
	if evidence {
		out.Rollouts = b.evidenceSum(own.Rollouts, except, zones)
	}
	return out
}

// trim keeps the newest uses.
func (r *Report) trim() {
	if len(r.Uses) > maxRelayed {
		slices.SortFunc(r.Uses, func(a, b placement.CacheUse) int { return int(a.Age - b.Age) })
		r.Uses = r.Uses[:maxRelayed]
	}
	if len(r.Sessions) > maxRelayed {
		slices.SortFunc(r.Sessions, func(a, b rollout.SessionUse) int { return int(a.Age - b.Age) })
		r.Sessions = r.Sessions[:maxRelayed]
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
	}
}

// evidenceSum adds up the evidence of VMs, also of those that are gone.
func (b *board) evidenceSum(own []rollout.Evidence, except string, zones bool) []rollout.Evidence {
	lists := [][]rollout.Evidence{own}
	for key, list := range b.evidence {
		zone := strings.HasPrefix(key, "zone/")
		if zone && !zones || except != "" && strings.HasPrefix(key, except+"@") {
			continue
		}
		lists = append(lists, list)
	}
	return rollout.SumEvidence(lists)
}

// drop forgets VMs and sums that were not heard of for long.
func (b *board) drop(now time.Time) {
	old := func(_ string, p *posted) bool { return now.Sub(p.at) > reportLifetime }
	maps.DeleteFunc(b.vms, old)
	maps.DeleteFunc(b.zones, old)
}

package fleet

import (
	"cmp"
	"maps"
	"math"
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
	// sumsInterval is how long the report of this VM and the sums of loads are reused for
	// further peers. A delegate sends several digests within it. It adds to the age of the
	// loads at each VM that they pass.
	sumsInterval = 25 * time.Millisecond
	// maxDigestUses bounds the uses of prefixes, and those of sessions, in one
	// digest that covers several VMs. The newest ones are kept.
	maxDigestUses = 150
	// maxDigestLeaving bounds the leaving upstreams in one digest. Those that the sender
	// learned of last are kept.
	maxDigestLeaving = 150
	// zonePrefix precedes the name of a zone where names of VMs are expected otherwise.
	zonePrefix = "zone/"
)

// reportStore holds the reports of other VMs, so that a delegate can forward their
// sums. It is not safe for concurrent use.
type reportStore struct {
	// vms holds the reports of the other VMs of this zone by VM name, and zones
	// the sums over other zones by zone name.
	vms, zones map[string]*receivedReport
	// loads are the sums of loads at loadsAt, nil if they are to be made anew.
	loads   *loadSums
	loadsAt time.Time
	// uses and sessions hold the uses of this VM and of all others that were reported.
	uses     *newsLog[useKey, placement.CacheUse]
	sessions *newsLog[uint64, rollout.SessionUse]
	// position is that of the last use.
	position int64
	// evidence holds the evidence on rollouts by incarnation name or, with
	// zonePrefix, by zone. It is kept when the VM that reported it is gone.
	evidence map[string][]rollout.Evidence
}

type receivedReport struct {
	report Report
	at     time.Time
}

func newReportStore() *reportStore {
	return &reportStore{
		vms: map[string]*receivedReport{}, zones: map[string]*receivedReport{}, evidence: map[string][]rollout.Evidence{},
		uses: newUseLog(), sessions: newSessionLog(),
	}
}

// record stores the report of a peer's digest. Only reports of VMs of this zone
// and sums over zones are stored, because only these are forwarded.
func (rs *reportStore) record(d Digest, incarnation string, zone string, now time.Time) {
	switch {
	case d.Scope == OwnScope && d.From.AvailabilityZone == zone:
		d.Report.Organisations = lastOrganisations(d.Report, rs.vms[d.From.VM])
		rs.vms[d.From.VM] = &receivedReport{d.Report, now}
		rs.recordUses(d.From.VM, &d.Report, now)
		if len(d.Report.Rollouts) > 0 {
			rs.evidence[incarnation] = d.Report.Rollouts
		}
	case d.Scope == ZoneScope:
		source := zonePrefix + d.From.AvailabilityZone
		d.Report.Organisations = lastOrganisations(d.Report, rs.zones[d.From.AvailabilityZone])
		rs.zones[d.From.AvailabilityZone] = &receivedReport{d.Report, now}
		rs.recordUses(source, &d.Report, now)
		if len(d.Report.Rollouts) > 0 {
			rs.evidence[source] = d.Report.Rollouts
		}
	}
}

// lastOrganisations returns the engine time of organisations in a report, or in the one before
// it of the same source: only full digests tell it.
func lastOrganisations(r Report, previous *receivedReport) *admission.Report {
	if r.Organisations == nil && previous != nil {
		return previous.report.Organisations
	}
	return r.Organisations
}

// recordUses stores the uses in a report of a source, which is empty for this VM.
func (rs *reportStore) recordUses(source string, r *Report, now time.Time) {
	for _, u := range r.Uses {
		rs.position = rs.uses.add(news[placement.CacheUse]{value: u, at: now.Add(-u.Age), learnedAt: now, source: source}, rs.position)
	}
	for _, s := range r.Sessions {
		rs.position = rs.sessions.add(news[rollout.SessionUse]{value: s, at: now.Add(-s.Age), learnedAt: now, source: source}, rs.position)
	}
}

// addNews adds to a report the newest uses for a peer that were learned after a position and
// since a time.
func (rs *reportStore) addNews(r *Report, scope Scope, to string, after int64, since, now time.Time) {
	most := maxDigestUses
	if after == rs.position {
		return
	}
	if scope == OwnScope {
		most = math.MaxInt
	}
	matches := func(source string) bool {
		switch scope {
		case OwnScope:
			return source == ""
		case ZoneScope:
			return !strings.HasPrefix(source, zonePrefix)
		}
		return source != to
	}
	rs.uses.after(after, since, func(n *news[placement.CacheUse]) bool {
		if matches(n.source) {
			u := n.value
			u.Age = now.Sub(n.at)
			r.Uses = append(r.Uses, u)
		}
		return len(r.Uses) < most
	})
	rs.sessions.after(after, since, func(n *news[rollout.SessionUse]) bool {
		if matches(n.source) {
			s := n.value
			s.Age = now.Sub(n.at)
			r.Sessions = append(r.Sessions, s)
		}
		return len(r.Sessions) < most
	})
}

// loadSums holds the sums of loads at one time. It is immutable.
type loadSums struct {
	// zone is the sum over the VMs of this zone, all that over all VMs, by upstream.
	zone, all []LoadReport
	// vms holds the loads of the other VMs of this zone that are in the sums.
	vms map[string]*receivedReport
}

// zoneSum returns the sum over the VMs of this zone, where own is the report of
// this VM. The uses are left out.
func (rs *reportStore) zoneSum(own Report, evidence bool, now time.Time) Report {
	out := rs.sum(own, "", false, evidence)
	out.Loads = rs.loadSums(own.Loads, now).zone
	return out
}

// othersSum returns the sum over all VMs except one VM of this zone, where own is
// the report of this VM. The uses are left out.
func (rs *reportStore) othersSum(own Report, except string, evidence bool, now time.Time) Report {
	out := rs.sum(own, except, true, evidence)
	out.Loads = rs.loadSums(own.Loads, now).others(except)
	return out
}

// sum returns the parts of a sum that are not kept for further peers.
func (rs *reportStore) sum(own Report, except string, zones, evidence bool) Report {
	// Each VM tells on what it has learned from its peers, so its own list holds theirs.
	out := Report{Leaving: own.Leaving, Quarantine: own.Quarantine}
	if evidence {
		out.Rollouts = rs.evidenceSum(own.Rollouts, except, zones)
		out.Organisations = rs.organisationsSum(own.Organisations, except, zones)
	}
	return out
}

// organisationsSum returns the sum of the engine time that organisations used at the VMs of a
// sum.
func (rs *reportStore) organisationsSum(own *admission.Report, except string, zones bool) *admission.Report {
	var uses []admission.Report
	add := func(r *admission.Report) {
		if r != nil {
			uses = append(uses, *r)
		}
	}
	add(own)
	for vm, p := range rs.vms {
		if vm != except {
			add(p.report.Organisations)
		}
	}
	if zones {
		for _, p := range rs.zones {
			add(p.report.Organisations)
		}
	}
	sum := admission.SumReports(uses...)
	return &sum
}

// loadSums returns the sums of the loads, which are at most sumsInterval old. own is the load of
// this VM.
func (rs *reportStore) loadSums(own []LoadReport, now time.Time) *loadSums {
	if rs.loads == nil || now.Sub(rs.loadsAt) >= sumsInterval {
		rs.loads, rs.loadsAt = rs.makeLoadSums(own, now), now
	}
	return rs.loads
}

func (rs *reportStore) makeLoadSums(own []LoadReport, now time.Time) *loadSums {
	s := &loadSums{vms: make(map[string]*receivedReport, len(rs.vms))}
	loads := map[string]*LoadReport{}
	addLoads(loads, own)
	for vm, p := range rs.vms {
		if now.Sub(p.at) <= reportLifetime {
			addLoads(loads, p.report.Loads)
			s.vms[vm] = p
		}
	}
	s.zone = sortedLoads(loads)
	for _, p := range rs.zones {
		if now.Sub(p.at) <= reportLifetime {
			addLoads(loads, p.report.Loads)
		}
	}
	s.all = sortedLoads(loads)
	return s
}

// others returns the sum over all VMs but one of this zone.
func (s *loadSums) others(except string) []LoadReport {
	list := slices.Clone(s.all)
	if p := s.vms[except]; p != nil {
		for _, l := range p.report.Loads {
			at, _ := slices.BinarySearchFunc(list, l, compareUpstreams)
			list[at].add(l, -1)
		}
	}
	return slices.DeleteFunc(list, func(l LoadReport) bool { return l == LoadReport{Upstream: l.Upstream} })
}

func compareUpstreams(a, b LoadReport) int { return cmp.Compare(a.Upstream, b.Upstream) }

// sortedLoads returns copies of loads by ascending upstream.
func sortedLoads(loads map[string]*LoadReport) []LoadReport {
	list := make([]LoadReport, 0, len(loads))
	for _, l := range loads {
		list = append(list, *l)
	}
	slices.SortFunc(list, compareUpstreams)
	return list
}

func addLoads(sum map[string]*LoadReport, list []LoadReport) {
	for _, l := range list {
		s := sum[l.Upstream]
		if s == nil {
			s = &LoadReport{Upstream: l.Upstream}
			sum[l.Upstream] = s
		}
		s.add(l, 1)
	}
}

// add adds a load a number of times; -1 takes it off again.
func (l *LoadReport) add(o LoadReport, times int) {
	l.Calls += times * o.Calls
	l.ReadingMs += times * o.ReadingMs
	l.RunningPct += times * o.RunningPct
	l.Streams += times * o.Streams
	l.PausedPct += times * o.PausedPct
	l.Tokens += times * o.Tokens
}

// evidenceSum returns the sum of the evidence of all VMs, including those that are
// gone. Without zones, it leaves out the evidence of other zones.
func (rs *reportStore) evidenceSum(own []rollout.Evidence, except string, zones bool) []rollout.Evidence {
	lists := [][]rollout.Evidence{own}
	for key, list := range rs.evidence {
		zone := strings.HasPrefix(key, zonePrefix)
		if zone && !zones || except != "" && strings.HasPrefix(key, except+"@") {
			continue
		}
		lists = append(lists, list)
	}
	return rollout.SumEvidence(lists)
}

// expire removes reports that are older than reportLifetime, and uses that were learned
// before newsLifetime. Evidence is kept.
func (rs *reportStore) expire(now time.Time) {
	old := func(_ string, p *receivedReport) bool { return now.Sub(p.at) > reportLifetime }
	maps.DeleteFunc(rs.vms, old)
	maps.DeleteFunc(rs.zones, old)
	rs.uses.expire(now.Add(-newsLifetime))
	rs.sessions.expire(now.Add(-newsLifetime))
}

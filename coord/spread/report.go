package spread

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savoryshift/savoryshift/coord/member"
)

// refreshAfter is the progress of a report's time that is worth a walk over its
// rows.
const refreshAfter = 500 * time.Millisecond

// ack is the highest revision that a VM has applied. A later incarnation
// starts anew.
type ack struct {
	incarnation int64
	revision    int64
}

// ackTable merges acknowledgements by the maximum of (incarnation, revision).
type ackTable map[string]ack

func (t ackTable) merge(vm member.VM, revision int64) {
	old, known := t[vm.ID]
	if !known && len(t) >= member.MaxMembers {
		return
	}
	if vm.Incarnation > old.incarnation || vm.Incarnation == old.incarnation && revision > old.revision {
		t[vm.ID] = ack{vm.Incarnation, revision}
	}
}

// report is a ZoneReport with the time at which it was true. A report is
// replaced, not modified, but for its times.
type report struct {
	ZoneReport
	asOf      time.Time
	refreshed time.Time // time up to which the rows were passed to the view
}

// reportTable holds the newest report of each other zone.
type reportTable map[string]*report

// digestRows identifies the members of a zone.
func digestRows(rows []Row) uint64 {
	h := xxhash.New()
	for _, r := range rows {
		_, _ = h.WriteString(r.Name)
		_, _ = h.Write(binary.BigEndian.AppendUint64([]byte{0}, uint64(r.Incarnation)))
	}
	return h.Sum64()
}

// digest identifies the members and their acknowledgements.
func (z ZoneReport) digest() uint64 {
	b := binary.BigEndian.AppendUint64([]byte(z.Zone), z.Members)
	b = binary.BigEndian.AppendUint64(b, uint64(z.Revision))
	for _, v := range z.Late {
		b = binary.BigEndian.AppendUint64(b, uint64(v))
	}
	return xxhash.Sum64(b)
}

// combined identifies the content of all reports but those of two zones.
func (t reportTable) combined(without ...string) uint64 {
	var digest uint64
	for zone, r := range t {
		if !slices.Contains(without, zone) {
			digest ^= r.digest()
		}
	}
	return digest
}

func (t reportTable) zones(without ...string) []string {
	zones := slices.Sorted(maps.Keys(t))
	return slices.DeleteFunc(zones, func(z string) bool { return slices.Contains(without, z) })
}

func (t reportTable) dropBefore(limit time.Time) {
	maps.DeleteFunc(t, func(_ string, r *report) bool { return r.asOf.Before(limit) })
}

// ownReport lists the live VMs of the own zone.
func (n *Node) ownReport(now time.Time) ZoneReport {
	if now.Sub(n.ownAt) < ownReportEvery && n.own.Zone != "" {
		return n.own
	}
	zone := n.self.AvailabilityZone()
	z := ZoneReport{Zone: zone}
	var acked []int64
	for _, vm := range n.members.LiveIn(zone) {
		z.Rows = append(z.Rows, Row{vm.ID[len(zone)+1:], vm.Incarnation})
		acked = append(acked, n.ackOf(vm))
	}
	z.Members = digestRows(z.Rows)
	z.Revision = slices.Max(acked) // this VM is always in the list
	for i, revision := range acked {
		if revision != z.Revision {
			z.Late = append(z.Late, int64(i), revision)
		}
	}
	n.own, n.ownAt = z, now
	return z
}

func (n *Node) ackOf(vm member.VM) int64 {
	if a := n.acks[vm.ID]; a.incarnation == vm.Incarnation {
		return a.revision
	}
	return 0
}

// held returns the report held of a zone with its age.
func (n *Node) held(zone string, now time.Time) (ZoneReport, bool) {
	if zone == n.self.AvailabilityZone() {
		return n.ownReport(now), true
	}
	r, ok := n.reports[zone]
	if !ok {
		return ZoneReport{}, false
	}
	z := r.ZoneReport
	z.AgeMs = ceilMs(now.Sub(r.asOf))
	return z, true
}

func ceilMs(d time.Duration) int64 {
	return int64((max(0, d) + time.Millisecond - 1) / time.Millisecond)
}

// takeReport takes a report that was true at asOf. It returns false when the
// rows are missing.
func (n *Node) takeReport(z ZoneReport, asOf time.Time) bool {
	old, known := n.reports[z.Zone]
	switch {
	case known && asOf.Before(old.asOf), !known && len(n.reports) >= maxZones:
		return true // not needed
	case len(z.Rows) == 0 && known && old.Members == z.Members:
		z.Rows = old.Rows
	case len(z.Rows) == 0:
		return false
	}
	next := &report{ZoneReport: z, asOf: asOf}
	if known && old.digest() == z.digest() {
		next.refreshed = old.refreshed
	}
	n.reports[z.Zone] = next
	n.refresh(z.Zone, asOf)
	return true
}

// refresh passes the rows of a report that is still true at asOf to the view.
func (n *Node) refresh(zone string, asOf time.Time) {
	r := n.reports[zone]
	if asOf.After(r.asOf) {
		r.asOf = asOf
	}
	if r.asOf.Sub(r.refreshed) < refreshAfter {
		return
	}
	r.refreshed = r.asOf
	late := make(map[int64]int64, len(r.Late)/2)
	for i := 0; i+1 < len(r.Late); i += 2 {
		late[r.Late[i]] = r.Late[i+1]
	}
	for i, row := range r.Rows {
		vm := member.VM{ID: member.JoinID(zone, row.Name), Incarnation: row.Incarnation}
		revision, isLate := late[int64(i)]
		if !isLate {
			revision = r.Revision
		}
		if n.members.RecordAlive(vm, r.asOf) == nil {
			n.acks.merge(vm, revision)
		}
	}
}

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

// report is a ZoneReport with the time at which it was true.
type report struct {
	digest    uint64
	asOf      time.Time
	refreshed time.Time // time up to which the rows were passed to the view
	rows      []Row
}

// reportTable holds the newest report of each other zone.
type reportTable map[string]*report

// digestRows identifies the content of a report.
func digestRows(rows []Row) uint64 {
	var digest uint64
	buf := make([]byte, 0, 128)
	for _, r := range rows {
		buf = append(buf[:0], r.Name...)
		buf = binary.BigEndian.AppendUint64(buf, uint64(r.Incarnation))
		buf = binary.BigEndian.AppendUint64(buf, uint64(r.Revision))
		digest ^= xxhash.Sum64(buf)
	}
	return digest
}

// combined identifies the content of all reports but those of two zones.
func (t reportTable) combined(without ...string) uint64 {
	var digest uint64
	for zone, r := range t {
		if !slices.Contains(without, zone) {
			buf := binary.BigEndian.AppendUint64([]byte(zone), r.digest)
			digest ^= xxhash.Sum64(buf)
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
	var rows []Row
	for _, vm := range n.members.LiveIn(zone) {
		rows = append(rows, Row{vm.ID[len(zone)+1:], vm.Incarnation, n.ackOf(vm)})
	}
	n.own, n.ownAt = ZoneReport{Zone: zone, Digest: digestRows(rows), Rows: rows}, now
	return n.own
}

func (n *Node) ackOf(vm member.VM) int64 {
	if a := n.acks[vm.ID]; a.incarnation == vm.Incarnation {
		return a.revision
	}
	return 0
}

// storedReport returns the report held of a zone, with rows if full.
func (n *Node) storedReport(zone string, now time.Time, full bool) (ZoneReport, bool) {
	r, ok := n.reports[zone]
	if !ok {
		return ZoneReport{}, false
	}
	z := ZoneReport{Zone: zone, Digest: r.digest, AgeMs: ceilMs(now.Sub(r.asOf))}
	if full {
		z.Rows = r.rows
	}
	return z, true
}

func ceilMs(d time.Duration) int64 {
	return int64((max(0, d) + time.Millisecond - 1) / time.Millisecond)
}

// takeReport stores a report with rows when it is newer than the known one.
func (n *Node) takeReport(z ZoneReport, asOf time.Time) {
	old, known := n.reports[z.Zone]
	if z.Zone == n.self.AvailabilityZone() || known && !asOf.After(old.asOf) || !known && len(n.reports) >= maxZones {
		return
	}
	if digestRows(z.Rows) != z.Digest {
		n.counters.BadMessages++
		return
	}
	n.reports[z.Zone] = &report{digest: z.Digest, asOf: asOf, rows: z.Rows}
	n.refresh(z.Zone, asOf)
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
	for _, row := range r.rows {
		vm := member.VM{ID: member.JoinID(zone, row.Name), Incarnation: row.Incarnation}
		if n.members.Hear(vm, r.asOf) == nil {
			n.acks.merge(vm, row.Revision)
		}
	}
}

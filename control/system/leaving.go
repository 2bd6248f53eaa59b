package system

import (
	"time"

	"github.com/savoryshift/savoryshift/control/table"
	"github.com/savoryshift/savoryshift/infra"
)

// Leaving stops new work to an upstream as soon as one of three sources reports
// that it is leaving: the platform's list of VMs, the upstream itself, or its
// health after failed probes and calls. Each source withdraws only its own
// report, because sources lag: a list that still shows a VM as live does not
// override the upstream's report that it is leaving.
func Leaving(t *table.Tables, now time.Time, in *Inputs) []Effect {
	if len(in.VMs) > 0 {
		// An empty list is treated as a fault of the list, because it would stop
		// all work.
		updateVMs(t, in.VMs)
	}
	applySelfReports(t, now, in)
	for _, u := range t.Upstreams.All() {
		vm := t.VMs.Get(u.Settings.VM)
		// A VM that has never been listed may be newer than the list.
		platformLeaving := vm != nil && (!vm.Listed || vm.State == infra.VMLeaving)
		u.Leaving.Set(table.PlatformList, platformLeaving, now)
		u.Leaving.Set(table.FailedProbes, !u.Health.Up, now)
	}
	return nil
}

func updateVMs(t *table.Tables, vms []infra.VM) {
	for _, vm := range t.VMs.All() {
		vm.Listed = false
	}
	for _, vm := range vms {
		*t.VMs.Ensure(vm.ID) = table.VM{
			AvailabilityZone: vm.AvailabilityZone, Kind: vm.Kind, State: vm.State, Listed: true,
		}
	}
	deleteUnusedVMs(t)
}

// deleteUnusedVMs deletes the VMs that are neither listed nor used by an upstream.
func deleteUnusedVMs(t *table.Tables) {
	used := map[string]bool{}
	for _, u := range t.Upstreams.All() {
		used[u.Settings.VM] = true
	}
	for id, vm := range t.VMs.All() {
		if !vm.Listed && !used[id] {
			t.VMs.Delete(id)
		}
	}
}

func applySelfReports(t *table.Tables, now time.Time, in *Inputs) {
	for _, result := range in.Calls {
		if u := t.Upstreams.Get(result.Upstream); u != nil && result.Leaving {
			setSelfReport(u, true, result.SentAt, now)
		}
	}
	for _, result := range in.Probes {
		if u := t.Upstreams.Get(result.Upstream); u != nil && !result.Failed && result.Report != nil {
			setSelfReport(u, result.Report.Leaving, result.SentAt, now)
		}
	}
}

// setSelfReport stores whether an upstream said that it is leaving in its reply to
// a call or probe sent at sentAt. A reply to a call sent no later than
// SelfReportSentAt can report leaving, but cannot withdraw such a report.
func setSelfReport(u *table.Upstream, leaving bool, sentAt, now time.Time) {
	if !leaving && !sentAt.After(u.Leaving.SelfReportSentAt) {
		return
	}
	if sentAt.After(u.Leaving.SelfReportSentAt) {
		u.Leaving.SelfReportSentAt = sentAt
	}
	u.Leaving.Set(table.SelfReport, leaving, now)
}

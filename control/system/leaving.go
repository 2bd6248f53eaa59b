package system

import (
	"time"

	"github.com/savoryshift/savoryshift/control/table"
	"github.com/savoryshift/savoryshift/infra"
)

// Leaving stops new work to an upstream as soon as one of three sources reports
// that it is leaving: the platform's list, the upstream's own answer and failed
// probes. Each source takes back only its own report, because the others lag:
// a list that still says "live" does not outweigh the upstream's own answer.
func Leaving(t *table.Tables, now time.Time, in *Inputs) []Effect {
	if len(in.VMs) > 0 {
		// An empty list would stop all work; it is taken as a fault of the list.
		listVMs(t, in.VMs)
	}
	ownAnswers(t, now, in)
	for _, u := range t.Upstreams.All() {
		vm := t.VMs.Get(u.Settings.VM)
		// A VM that was never listed may be newer than the list.
		gone := vm != nil && (!vm.Listed || vm.State == infra.VMLeaving)
		u.Leaving.Set(table.PlatformList, gone, now)
		u.Leaving.Set(table.FailedProbes, !u.Health.Up, now)
	}
	return nil
}

func listVMs(t *table.Tables, vms []infra.VM) {
	for _, vm := range t.VMs.All() {
		vm.Listed = false
	}
	for _, vm := range vms {
		*t.VMs.Ensure(vm.ID) = table.VM{
			AvailabilityZone: vm.AvailabilityZone, Kind: vm.Kind, State: vm.State, Listed: true,
		}
	}
	forgetVMs(t)
}

// forgetVMs deletes the VMs that are neither listed nor used by an upstream.
func forgetVMs(t *table.Tables) {
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

func ownAnswers(t *table.Tables, now time.Time, in *Inputs) {
	for _, result := range in.Calls {
		if u := t.Upstreams.Get(result.Upstream); u != nil && result.Leaving {
			ownAnswer(u, true, result.SentAt, now)
		}
	}
	for _, result := range in.Probes {
		if u := t.Upstreams.Get(result.Upstream); u != nil && !result.Failed && result.Report != nil {
			ownAnswer(u, result.Report.Leaving, result.SentAt, now)
		}
	}
}

// ownAnswer stores the upstream's own answer. An answer to an earlier call than
// the newest one is late; it can still report leaving, but not take it back.
func ownAnswer(u *table.Upstream, leaving bool, sentAt, now time.Time) {
	if !leaving && !sentAt.After(u.Leaving.OwnSentAt) {
		return
	}
	if sentAt.After(u.Leaving.OwnSentAt) {
		u.Leaving.OwnSentAt = sentAt
	}
	u.Leaving.Set(table.OwnAnswer, leaving, now)
}

package entry

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/mirror"
	"github.com/savoryshift/savoryshift/platform"
)

const (
	// outdatedShare and lostShare are fractions of the time within which an evacuation must
	// be in force. The copy of the orders is outdated at the first one if the store has not
	// been lost for the second one. In an outage a VM notices the loss, and the second time
	// passes, before the copy reaches the first age.
	outdatedShare = 0.9
	lostShare     = 0.2
)

// applyEvacuations applies the evacuations of availability zones among the orders.
func (e *Entry) applyEvacuations(c mirror.Change) {
	zones, problems := platform.DecodeEvacuations(c.Rows)
	for _, row := range e.oddEvacuations.update(problems) {
		e.log.Error("evacuation malformed", zap.String("row", row.Key), zap.Int64("revision", row.Revision), zap.Error(row.Err))
	}
	added, removed := e.balancer.SetEvacuated(zones, c.At)
	if len(added)+len(removed) == 0 {
		return
	}
	slices.Sort(added)
	slices.Sort(removed)
	e.log.Info("evacuations changed", zap.Strings("evacuated", added), zap.Strings("taken_back", removed), zap.Int("zones", len(zones)),
		zap.Int64("revision", c.Revision), zap.Duration("unconfirmed", c.At.Sub(c.ConfirmedAt)))
	e.setReleases()
}

// setReleases tells the rollouts how many upstreams of each service run each release.
// Upstreams in evacuated zones take no calls and do not count, but their releases are
// known.
func (e *Entry) setReleases() {
	e.releasesMu.Lock()
	defer e.releasesMu.Unlock()
	list := e.registered.Load()
	if list == nil {
		return
	}
	releases := map[string]map[string]int{}
	for _, u := range *list {
		if releases[u.Service] == nil {
			releases[u.Service] = map[string]int{}
		}
		n := 1
		if e.balancer.IsEvacuated(u.AvailabilityZone) {
			n = 0
		}
		releases[u.Service][u.Release] += n
	}
	for service, r := range releases {
		e.rollouts.SetReleases(service, r)
	}
}

// ordersOutdated reports whether this VM may lack an evacuation that must be in force,
// because it was suspended.
func (e *Entry) ordersOutdated(now time.Time) bool {
	within := e.opts.Settings.Bounds.Evacuation
	if within <= 0 {
		return false
	}
	return e.orders.Outdated(time.Duration(outdatedShare*float64(within)), time.Duration(lostShare*float64(within)), now)
}

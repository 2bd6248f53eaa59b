package entry

import (
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/fleet"
	"github.com/savoryshift/savoryshift/placement"
	"github.com/savoryshift/savoryshift/platform"
	"github.com/savoryshift/savoryshift/routing"
)

// coldLimits returns the limits of the services that have one, if the platform states the
// bounds.
func coldLimits(s *routing.Snapshot, b platform.Bounds) map[string]placement.ColdLimit {
	limits := map[string]placement.ColdLimit{}
	if b.ColdRatio <= 0 {
		return limits
	}
	for _, service := range s.Services {
		if service.ColdStart > 0 && service.ColdPerSecond > 0 {
			limits[service.Name] = placement.ColdLimit{Start: service.ColdStart, Bound: service.ColdPerSecond*b.ColdRatio + b.ColdSlack}
		}
	}
	return limits
}

// updateRoster tells the balancer which VMs may send requests. The contact is read first,
// so that the roster is at least as complete as the contact says.
func (e *Entry) updateRoster(now time.Time) {
	state := map[fleet.Contact]placement.Roster{
		fleet.NoContact: placement.RosterAlone, fleet.NewContact: placement.RosterIncomplete, fleet.InContact: placement.RosterKnown,
	}[e.fleet.Contact(now)]
	e.balancer.SetRoster(e.opts.Settings.VM, e.fleet.Roster(now), state)
}

// logCold logs the upstreams that have become cold or warm. Only the periodic tasks call it.
func (e *Entry) logCold(now time.Time) {
	cold := map[placement.Instance]bool{}
	for _, u := range e.balancer.Cold(now) {
		cold[u.Instance] = true
		if !e.cold[u.Instance] {
			e.log.Info("upstream cold", zap.String("upstream", u.ID), zap.Int64("incarnation", u.Incarnation), zap.String("sign", string(u.Reason)),
				zap.Duration("cold_left", u.Left), zap.Int("share", u.Share), zap.Int("roster", len(e.fleet.Roster(now))))
		}
	}
	for i := range e.cold {
		if !cold[i] {
			e.log.Info("upstream warm", zap.String("upstream", i.ID), zap.Int64("incarnation", i.Incarnation))
		}
	}
	e.cold = cold
}

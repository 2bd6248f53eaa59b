package entry

import (
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/mirror"
	"github.com/savoryshift/savoryshift/placement"
)

// drainedRetention is the time for which an upstream that drains stays known after its
// registration was last seen. It is long compared with the age of a copy from which the
// store is restored.
const drainedRetention = time.Minute

// drainedUpstreams remembers the upstreams that were seen draining, because a restored store
// may have their registrations from before. It is not safe for concurrent use.
type drainedUpstreams map[placement.Instance]drainedUpstream

type drainedUpstream struct {
	// era is that of the row by which the upstream was first seen draining.
	era    int64
	seenAt time.Time
}

// apply marks the upstreams of the list that were seen draining in an earlier era than that
// of their rows, and returns those that their registrations do not call draining. Within an
// era a registration is believed.
func (d drainedUpstreams) apply(list []placement.Upstream, rows map[string]mirror.Row, now time.Time) (kept []placement.Instance) {
	for i := range list {
		u := &list[i]
		instance, era := u.Instance(), rows[u.ID].Era
		known, seen := d[instance]
		switch {
		case u.Draining && !seen:
			known.era = era
		case !u.Draining && seen && known.era < era:
			u.Draining = true
			kept = append(kept, instance)
		case !u.Draining:
			delete(d, instance)
			continue
		}
		known.seenAt = now
		d[instance] = known
	}
	for instance, known := range d {
		if now.Sub(known.seenAt) > drainedRetention {
			delete(d, instance)
		}
	}
	return kept
}

// keepDraining marks the upstreams that were seen draining before the store was restored.
func (e *Entry) keepDraining(list []placement.Upstream, c mirror.Change) {
	for _, instance := range e.drained.apply(list, c.Rows, c.At) {
		e.log.Info("upstream still drains", zap.String("upstream", instance.ID), zap.Int64("incarnation", instance.Incarnation),
			zap.Int64("era", c.Era), zap.Int64("revision", c.Revision))
	}
}

// isOlderConfiguration reports whether a configuration of a restored copy is older than the
// one in force. Versions rise, so that this holds also after the hold time.
func (e *Entry) isOlderConfiguration(c mirror.Change, row mirror.Row, version int64) bool {
	return row.Era > 0 && c.Restored(row.Position()) && version < e.gateway.Version()
}

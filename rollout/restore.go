package rollout

import (
	"cmp"
	"slices"

	"go.uber.org/zap"
)

// maxPastOrders bounds the earlier orders of a service that are remembered. A store is
// restored from a copy that is seconds old.
const maxPastOrders = 8

// orderID identifies an order. Revisions are unique only within an era of the store.
type orderID struct{ era, revision int64 }

func (i orderID) compare(other orderID) int {
	return cmp.Or(cmp.Compare(i.era, other.era), cmp.Compare(i.revision, other.revision))
}

func (p *Progress) order() orderID { return orderID{p.Era, p.Order} }

func (p *Progress) final() bool { return p.State == Done || p.State == RolledBack }

// BeginEra records the era of the table of progress, and the revision up to which its rows
// may be older than the era. In a new era the known progress counts as lost until a row of
// it is set, and is written again.
func (m *Manager) BeginEra(era, base int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if era < m.era {
		return
	}
	m.base = base
	if era == m.era {
		return
	}
	m.era = era
	for _, s := range m.services {
		s.revision, s.unreadable = 0, false
		s.rewrite = s.progress.State != ""
	}
}

// supersede replaces the order by one that the operator wrote before or after the store was
// restored, if it is the same or an earlier one. It reports whether it is.
func (m *Manager) supersede(s *service, o Order) bool {
	known := s.order
	if o.Era == 0 {
		return false
	}
	if known.sameContent(o) && (o.Era > known.Era || known.restored() && !o.restored()) {
		if s.progress.order() == known.id() {
			s.progress.Order, s.progress.Era = o.Revision, o.Era
			s.rewrite = s.rewrite || o.Revision != known.Revision
		}
		s.former = append(s.former, known.id())
		s.order = o
		m.o.Log.Info("rollout order written again", zap.String("service", o.Service), zap.String("release", o.Release),
			zap.Int64("era", o.Era), zap.Int64("revision", o.Revision), zap.Int64("previous_revision", known.Revision))
		return true
	}
	earlier := o.restored() && slices.ContainsFunc(s.past, func(p Order) bool { return p.sameContent(o) })
	if earlier {
		m.o.Log.Info("earlier rollout order ignored", zap.String("service", o.Service), zap.String("release", o.Release),
			zap.Int64("era", o.Era), zap.Int64("revision", o.Revision))
	}
	return earlier
}

// is reports whether an ID is that of the current order, which has others in each era. Peers
// of earlier builds send no era.
func (s *service) is(i orderID) bool {
	return i == s.order.id() || i.era == 0 && i.revision == s.order.Revision || slices.Contains(s.former, i)
}

// belongs reports whether progress is that of the current order. Where the store was restored
// between the two, that is progress of an order with the same content: the operator may have
// written the order again before or after the progress was stored.
func (s *service) belongs(p *Progress) bool {
	if p.State == "" || !s.hasOrder {
		return false
	}
	if p.order() == s.order.id() {
		return true
	}
	sameContent := p.Release == s.order.Release && (p.Duration == 0 || p.Duration == s.order.Duration)
	apart := p.Era != s.order.Era || s.order.Era > 0 && (p.Order <= s.order.Base || s.order.restored())
	return sameContent && apart
}

// keeps reports whether the known progress stays in force although the store has another
// one. A rollout that has ended does not run again, and a restored row is older than what
// is known, unless this VM has missed it.
func (m *Manager) keeps(s *service, p Progress, restored bool) bool {
	known := s.progress
	if m.era == 0 || known.State == "" {
		return false
	}
	ofOrder, knownOfOrder := s.belongs(&p), s.belongs(&known)
	switch {
	case ofOrder != knownOfOrder:
		return knownOfOrder && (restored || p.order().compare(s.order.id()) < 0)
	case ofOrder || known.order() == p.order():
		return known.final() && (p.State == Running || restored)
	}
	return restored && p.order().compare(known.order()) < 0
}

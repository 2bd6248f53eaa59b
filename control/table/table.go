package table

import (
	"iter"
	"maps"
	"slices"
)

// Table holds the entities of one kind by id.
type Table[E any] struct {
	rows map[string]*E
	ids  []string // sorted; nil when rows were added or deleted since
}

// Get returns the entity, or nil.
func (t *Table[E]) Get(id string) *E { return t.rows[id] }

// Ensure returns the entity and creates it when it is missing.
func (t *Table[E]) Ensure(id string) *E {
	if e, ok := t.rows[id]; ok {
		return e
	}
	if t.rows == nil {
		t.rows = map[string]*E{}
	}
	e := new(E)
	t.rows[id], t.ids = e, nil
	return e
}

// Delete removes the entity.
func (t *Table[E]) Delete(id string) {
	delete(t.rows, id)
	t.ids = nil
}

// Len returns the number of entities.
func (t *Table[E]) Len() int { return len(t.rows) }

// All yields the entities in the order of their ids, so that a system gives the
// same effects for the same tables. Entities may be deleted while it runs.
func (t *Table[E]) All() iter.Seq2[string, *E] {
	if t.ids == nil {
		t.ids = slices.Sorted(maps.Keys(t.rows))
	}
	ids := t.ids
	return func(yield func(string, *E) bool) {
		for _, id := range ids {
			if e, ok := t.rows[id]; ok && !yield(id, e) {
				return
			}
		}
	}
}

// Tables is the control state of a daemon.
type Tables struct {
	VMs       Table[VM]
	Upstreams Table[Upstream]
	Versions  Table[Version]
	Rollouts  Table[Rollout]
	Orders    Orders
	// Halts holds the halt marks; marks are never removed.
	Halts map[Halt]bool
}

// Halt is the key of a halt mark.
type Halt struct {
	Version, Rollout string
}

package table

import (
	"cmp"
	"iter"
	"slices"
)

// Table holds the entities of one kind by id.
type Table[E any] struct {
	rows map[string]*E
	// sorted holds the rows in the order of their ids; nil after rows were added
	// or deleted. Systems iterate over all rows each tick, and iterating over a
	// slice costs a fraction of one map lookup per row.
	sorted []row[E]
	// deletions counts calls of Delete, so that an iteration in progress detects
	// that its copy of sorted may contain deleted rows.
	deletions int
}

type row[E any] struct {
	id     string
	entity *E
}

// Get returns the entity with an id, or nil.
func (t *Table[E]) Get(id string) *E { return t.rows[id] }

// Ensure returns the entity with an id and creates it when it is missing.
func (t *Table[E]) Ensure(id string) *E {
	if e, ok := t.rows[id]; ok {
		return e
	}
	if t.rows == nil {
		t.rows = map[string]*E{}
	}
	e := new(E)
	t.rows[id], t.sorted = e, nil
	return e
}

// Delete removes the entity with an id.
func (t *Table[E]) Delete(id string) {
	delete(t.rows, id)
	t.sorted = nil
	t.deletions++
}

// Len returns the number of entities.
func (t *Table[E]) Len() int { return len(t.rows) }

// All yields the entities in the order of their ids, so that a system returns
// the same effects for the same tables. Entities may be deleted during the
// iteration.
func (t *Table[E]) All() iter.Seq2[string, *E] {
	if t.sorted == nil {
		t.sort()
	}
	rows, deletions := t.sorted, t.deletions
	return func(yield func(string, *E) bool) {
		for _, r := range rows {
			if t.deletions != deletions && t.rows[r.id] != r.entity {
				continue
			}
			if !yield(r.id, r.entity) {
				return
			}
		}
	}
}

func (t *Table[E]) sort() {
	t.sorted = make([]row[E], 0, len(t.rows))
	for id, e := range t.rows {
		t.sorted = append(t.sorted, row[E]{id, e})
	}
	slices.SortFunc(t.sorted, func(a, b row[E]) int { return cmp.Compare(a.id, b.id) })
}

// Tables is the control state of a daemon.
type Tables struct {
	VMs       Table[VM]
	Upstreams Table[Upstream]
	Versions  Table[Version]
	Rollouts  Table[Rollout]
	Orders    Orders
	// Halts contains the halt marks. They are never removed.
	Halts map[Halt]bool
}

// Halt identifies a halt mark: the mark stops rollout Rollout to version
// Version.
type Halt struct {
	Version, Rollout string
}

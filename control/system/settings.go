package system

import (
	"time"

	"github.com/savoryshift/savoryshift/control/table"
	"github.com/savoryshift/savoryshift/tree"
)

// Settings copies a changed settings tree and new halt marks into the tables. The
// state of an upstream is kept unless its URL has changed.
func Settings(t *table.Tables, now time.Time, in *Inputs) []Effect {
	if in.Tree != nil {
		copyUpstreams(t, now, in.Tree)
		copyVersions(t, in.Tree)
		copyRollouts(t, now, in.Tree)
	}
	for _, halt := range in.Halts {
		if t.Halts == nil {
			t.Halts = map[table.Halt]bool{}
		}
		t.Halts[halt] = true
	}
	return nil
}

func copyUpstreams(t *table.Tables, now time.Time, tr *tree.Tree) {
	for id := range t.Upstreams.All() {
		if _, ok := tr.Upstreams[id]; !ok {
			t.Upstreams.Delete(id)
		}
	}
	for id, settings := range tr.Upstreams {
		if settings.VM == "" {
			settings.VM = id
		}
		u := t.Upstreams.Ensure(id)
		if u.Settings.URL != settings.URL {
			*u = table.Upstream{Health: table.Health{Up: true, ChangedAt: now}}
		}
		u.Settings = settings
	}
}

func copyVersions(t *table.Tables, tr *tree.Tree) {
	for id := range t.Versions.All() {
		if _, ok := tr.Versions[id]; !ok {
			t.Versions.Delete(id)
		}
	}
	for id, v := range tr.Versions {
		*t.Versions.Ensure(id) = table.Version{Model: v.Model, State: v.State}
	}
}

func copyRollouts(t *table.Tables, now time.Time, tr *tree.Tree) {
	for id := range t.Rollouts.All() {
		if _, ok := tr.Rollouts[id]; !ok {
			t.Rollouts.Delete(id)
		}
	}
	for id, settings := range tr.Rollouts {
		r := t.Rollouts.Ensure(id)
		if r.SteppedAt.IsZero() || r.Settings.Percent != settings.Percent || r.Settings.State != settings.State {
			r.SteppedAt = now
		}
		r.Settings = settings
	}
}

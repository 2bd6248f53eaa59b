package storetest

import (
	"context"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/savoryshift/savoryshift/coord/store"
)

// Schedules is the number of schedules per invariant. The seeds are 0 and up.
const Schedules = 1000

// CheckSchedules runs every schedule and fails at the first one that breaks an invariant.
func CheckSchedules[S any](t *testing.T, schedules *rapid.Generator[S], run func(S) error) {
	t.Helper()
	for seed := range Schedules {
		s := schedules.Example(seed)
		if err := run(s); err != nil {
			t.Fatalf("seed %d: %v\nschedule: %+v", seed, err, s)
		}
	}
}

// RequireViolation is for twins, which replace a mechanism by nothing. It fails unless a
// schedule breaks the invariant with an error that contains the text.
func RequireViolation[S any](t *testing.T, schedules *rapid.Generator[S], text string, run func(S) error) {
	t.Helper()
	for seed := range Schedules {
		if err := run(schedules.Example(seed)); err != nil && strings.Contains(err.Error(), text) {
			t.Logf("broken as expected at seed %d: %v", seed, err)
			return
		}
	}
	t.Fatalf("no schedule broke the invariant %q", text)
}

// Blind is a table that ignores the conditions of all operations.
type Blind struct{ store.Table }

// Commit implements store.Table.
func (b Blind) Commit(ctx context.Context, ops []store.Op) error {
	ops = slices.Clone(ops)
	for i := range ops {
		ops[i].Expect = store.AnyVersion
	}
	return b.Table.Commit(ctx, ops)
}

// Unwrapped wraps a table in nothing, for schedules without a twin.
func Unwrapped(t store.Table) store.Table { return t }

// WithoutConditions wraps a table in Blind.
func WithoutConditions(t store.Table) store.Table { return Blind{t} }

package storetest

import (
	"context"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/savoryshift/savoryshift/coord/store"
)

// Schedules is the number of generated schedules per test. Their seeds are 0 to
// Schedules-1.
const Schedules = 1000

// CheckSchedules runs all schedules and fails the test at the first one for which run
// reports a violated invariant.
func CheckSchedules[S any](t *testing.T, schedules *rapid.Generator[S], run func(S) error) {
	t.Helper()
	for seed := range Schedules {
		s := schedules.Example(seed)
		if err := run(s); err != nil {
			t.Fatalf("seed %d: %v\nschedule: %+v", seed, err, s)
		}
	}
}

// RequireViolation is the counterpart of Hold for negative-control tests, which switch off
// the mechanism under test. It fails the test unless run reports, for some
// schedule, an error that contains the text.
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

// UnconditionalTable is a table that ignores the version conditions of all
// operations.
type UnconditionalTable struct{ store.Table }

// Commit implements store.Table.
func (b UnconditionalTable) Commit(ctx context.Context, ops []store.Op) error {
	ops = slices.Clone(ops)
	for i := range ops {
		ops[i].Expect = store.AnyVersion
	}
	return b.Table.Commit(ctx, ops)
}

// Unwrapped returns the table unchanged. Tests use it where a negative control wraps
// the table.
func Unwrapped(t store.Table) store.Table { return t }

// WithoutConditions returns the table wrapped in UnconditionalTable, for negative controls.
func WithoutConditions(t store.Table) store.Table { return UnconditionalTable{t} }

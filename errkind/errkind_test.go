package errkind_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/errkind"
)

// Guards against a response that says that a request may have run although its
// kind guarantees the opposite.
func TestRefusalKindsSayNotRun(t *testing.T) {
	for _, k := range []errkind.Kind{errkind.NoCapacity, errkind.LimitExceeded, errkind.ClaimUnavailable, errkind.Isolated, errkind.ShuttingDown} {
		assert.Equal(t, errkind.AnswerFor(k).Ran, errkind.RanNo, string(k))
	}
	assert.Equal(t, errkind.AnswerFor(errkind.OutcomeUnknown).Ran, errkind.RanUnknown)
}

// Guards against an incomplete table entry, with which the caller would receive
// status 0.
func TestEveryKindHasAnAnswer(t *testing.T) {
	for _, k := range errkind.Kinds() {
		a := errkind.AnswerFor(k)
		assert.Assert(t, a.Status >= 400 && a.Type != "" && a.Ran != "", string(k))
	}
}

// Guards against an error that loses its kind when its Ran value is replaced.
func TestKindSurvivesWrapping(t *testing.T) {
	err := errkind.Wrap(errkind.UpstreamFailed, errors.New("connection reset"))
	err = errkind.WithRan(err, errkind.RanNo)
	assert.Equal(t, errkind.Of(err), errkind.UpstreamFailed)
	assert.Equal(t, errkind.RanOf(err), errkind.RanNo)
	assert.Equal(t, errkind.Of(errors.New("plain")), errkind.Internal)
}

// Guards against a difference between the table in docs/api.md and the code.
func TestPageListsEveryKind(t *testing.T) {
	page, err := os.ReadFile("../docs/api.md")
	assert.NilError(t, err)
	for _, k := range errkind.Kinds() {
		a := errkind.AnswerFor(k)
		retry := map[bool]string{true: "yes", false: "no"}[a.Retry]
		row := fmt.Sprintf("| `%s` | %d | %s | %s |", k, a.Status, a.Ran, retry)
		assert.Assert(t, strings.Contains(string(page), row), row)
	}
}

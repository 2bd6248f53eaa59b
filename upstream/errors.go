package upstream

import (
	"context"
	"errors"
	"fmt"

	"github.com/savoryshift/savoryshift/errkind"
)

// RefusedError is an explicit refusal by an upstream. The attempt does not run.
type RefusedError struct {
	Status int
	// Leaving says that the upstream takes no new work at all.
	Leaving bool
	Message string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("upstream refused with status %d: %s", e.Status, e.Message)
}

// AnsweredError is a failure that the upstream itself reported. It makes no
// promise about the attempt.
type AnsweredError struct {
	Status  int
	Message string
}

func (e *AnsweredError) Error() string {
	return fmt.Sprintf("upstream answered with status %d: %s", e.Status, e.Message)
}

// IsLeaving says whether err is a refusal by an upstream that is leaving.
func IsLeaving(err error) bool {
	refused, ok := errors.AsType[*RefusedError](err)
	return ok && refused.Leaving
}

// IsUnreachable says whether err tells against the health of the upstream: it
// could not be reached, broke the connection or stalled. Errors that it
// answered with, deadlines that passed and calls that the caller ended do not.
func IsUnreachable(err error) bool {
	_, answered := errors.AsType[*AnsweredError](err)
	switch {
	case answered:
		return false
	case errors.Is(err, errIdle):
		return true
	}
	return errkind.Of(err) == errkind.UpstreamFailed && !errors.Is(err, context.Canceled)
}

// invalid returns the error for an answer that fails a check.
func invalid(format string, args ...any) error {
	return errkind.New(errkind.UpstreamInvalidAnswer, format, args...)
}

package upstream

import (
	"context"
	"errors"
	"fmt"

	"github.com/savoryshift/savoryshift/errkind"
)

// RefusedError is an explicit refusal by an upstream, which guarantees that the
// attempt does not run.
type RefusedError struct {
	Status int
	// Leaving is set when the upstream is shutting down and accepts no new
	// requests.
	Leaving bool
	Message string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("upstream refused with status %d: %s", e.Status, e.Message)
}

// ReportedError is a failure that the upstream itself reported, with an error
// status or in a stream. The attempt may have run.
type ReportedError struct {
	Status  int
	Message string
}

func (e *ReportedError) Error() string {
	return fmt.Sprintf("upstream answered with status %d: %s", e.Status, e.Message)
}

// IsLeaving reports whether err is a refusal by an upstream that is shutting
// down.
func IsLeaving(err error) bool {
	refused, ok := errors.AsType[*RefusedError](err)
	return ok && refused.Leaving
}

// IsUnreachable reports whether err counts against the health of the upstream:
// the upstream could not be reached, broke the connection or stalled. Errors
// that the upstream reported, deadlines that passed and calls that the caller
// cancelled do not count.
func IsUnreachable(err error) bool {
	_, answered := errors.AsType[*ReportedError](err)
	switch {
	case answered:
		return false
	case errors.Is(err, ErrStreamIdle):
		return true
	}
	return errkind.Of(err) == errkind.UpstreamFailed && !errors.Is(err, context.Canceled)
}

// invalidResponse returns the error for a response that fails a check.
func invalidResponse(format string, args ...any) error {
	return errkind.New(errkind.UpstreamInvalidAnswer, format, args...)
}

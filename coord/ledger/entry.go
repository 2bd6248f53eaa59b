package ledger

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

const (
	// maxFieldBytes bounds each text field of an entry.
	maxFieldBytes = 255
	// maxEntryBytes bounds an encoded entry: four texts with their lengths,
	// four numbers, and the checksum and header of its own batch.
	maxEntryBytes = 4*(maxFieldBytes+4) + 4*10 + batchOverheadBytes

	dayFormat = time.DateOnly
	day       = 24 * time.Hour
)

// ErrInvalidEntry reports an entry that cannot be stored.
var ErrInvalidEntry = errors.New("invalid ledger entry")

// Entry is the billing record of one request.
type Entry struct {
	Organisation string
	// RequestKey is the idempotency key when one is given, otherwise the
	// request id.
	RequestKey       string
	Model            string
	Version          string
	PromptTokens     int64
	CompletionTokens int64
	// CostMicros is the cost in millionths of the currency unit.
	CostMicros int64
	// Time is stored in milliseconds. Its UTC day is the day of the bill.
	Time time.Time
}

func (e Entry) day() string { return e.Time.UTC().Format(dayFormat) }

func (e Entry) check() error {
	if e.Organisation == "" || e.RequestKey == "" {
		return fmt.Errorf("%w: organisation and request key are required", ErrInvalidEntry)
	}
	for _, field := range []string{e.Organisation, e.RequestKey, e.Model, e.Version} {
		if len(field) > maxFieldBytes {
			return fmt.Errorf("%w: a text of %d bytes exceeds %d", ErrInvalidEntry, len(field), maxFieldBytes)
		}
	}
	if min(e.PromptTokens, e.CompletionTokens, e.CostMicros) < 0 {
		return fmt.Errorf("%w: tokens and cost must not be negative", ErrInvalidEntry)
	}
	if e.Time.IsZero() {
		return fmt.Errorf("%w: time is required", ErrInvalidEntry)
	}
	return nil
}

// compare orders the entries of one key. The first one in this order is billed.
func compare(a, b Entry) int {
	return cmp.Or(
		a.Time.Compare(b.Time),
		cmp.Compare(a.Model, b.Model),
		cmp.Compare(a.Version, b.Version),
		cmp.Compare(a.PromptTokens, b.PromptTokens),
		cmp.Compare(a.CompletionTokens, b.CompletionTokens),
		cmp.Compare(a.CostMicros, b.CostMicros),
	)
}

package claim

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/savoryshift/savoryshift/coord/store"
)

// rowState is the state of a claim row.
type rowState string

const (
	rowClaimed  rowState = "claimed"
	rowDone     rowState = "done"
	rowReleased rowState = "released"
)

// record is the value of a claim row.
type record struct {
	State       rowState    `json:"state"`
	Attempt     string      `json:"attempt"`
	Daemon      string      `json:"daemon"`
	Fingerprint Fingerprint `json:"fingerprint"`
	// AtMs is the wall-clock time of the last write in milliseconds since the
	// Unix epoch. Only the sweeper reads it.
	AtMs    int64    `json:"at_ms"`
	Outcome *Outcome `json:"outcome,omitempty"`
}

func (r record) encode() ([]byte, error) { return json.Marshal(r) }

func (r record) age(now time.Time) time.Duration {
	return now.Sub(time.UnixMilli(r.AtMs))
}

func decode(row store.Row) (record, error) {
	var r record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return record{}, fmt.Errorf("claim row %q is damaged: %w", row.Key, err)
	}
	return r, nil
}

// step computes the next write for a row. A nil value means that no write is
// needed and that the result has been noted by the step.
type step func(row store.Row) (value []byte, err error)

// acquireStep claims a row that is absent or released. It notes the record of
// the row when the row is taken.
func acquireStep(mine record, found *record) step {
	return func(row store.Row) ([]byte, error) {
		*found = mine
		if row.Version == 0 {
			return mine.encode()
		}
		current, err := decode(row)
		if err != nil {
			return nil, err
		}
		if current.State == rowReleased {
			return mine.encode()
		}
		*found = current
		return nil, nil
	}
}

// completeStep stores the outcome in the row of the same attempt.
func completeStep(done record) step {
	return func(row store.Row) ([]byte, error) {
		if row.Version == 0 {
			return nil, errRowLost
		}
		current, err := decode(row)
		switch {
		case err != nil:
			return nil, err
		case current.Attempt != done.Attempt:
			return nil, errRowLost
		case current.State == rowDone:
			return nil, nil
		}
		return done.encode()
	}
}

// releaseStep fences an attempt that will never dispatch. Afterwards no commit
// that the attempt sent earlier can take effect, because the row exists and has
// a version that the attempt never expected.
func releaseStep(tombstone record) step {
	return func(row store.Row) ([]byte, error) {
		if row.Version == 0 {
			return tombstone.encode()
		}
		current, err := decode(row)
		if err != nil {
			return nil, err
		}
		mine := current.Attempt == tombstone.Attempt
		if current.State == rowReleased && !mine {
			// A delayed commit of the attempt may expect this version.
			return tombstone.encode()
		}
		if current.State == rowClaimed && mine {
			return tombstone.encode()
		}
		return nil, nil
	}
}

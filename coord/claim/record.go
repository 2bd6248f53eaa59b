package claim

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/savoryshift/savoryshift/coord/store"
)

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

// transition computes the new value of a row from its current one. A nil value
// means that the row needs no write.
type transition func(row store.Row) (value []byte, err error)

// acquireTransition claims a row that is absent or released. It sets found to
// the record of the row after the transition, which is the one of another
// attempt when the row is claimed or done already.
func acquireTransition(own record, found *record) transition {
	return func(row store.Row) ([]byte, error) {
		*found = own
		if row.Version == 0 {
			return own.encode()
		}
		current, err := decode(row)
		if err != nil {
			return nil, err
		}
		if current.State == rowReleased {
			return own.encode()
		}
		*found = current
		return nil, nil
	}
}

// completeTransition stores the outcome in the row of the same attempt.
func completeTransition(done record) transition {
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

// releaseTransition fences an attempt that will never dispatch. Afterwards no
// commit that the attempt sent earlier can take effect, because the row exists
// and has a version that the attempt never expected.
func releaseTransition(tombstone record) transition {
	return func(row store.Row) ([]byte, error) {
		if row.Version == 0 {
			return tombstone.encode()
		}
		current, err := decode(row)
		if err != nil {
			return nil, err
		}
		ownRow := current.Attempt == tombstone.Attempt
		if current.State == rowReleased && !ownRow {
			// A delayed commit of the attempt may expect the version of this
			// tombstone of another attempt, so the row gets a new version.
			return tombstone.encode()
		}
		if current.State == rowClaimed && ownRow {
			return tombstone.encode()
		}
		return nil, nil
	}
}

package changelog

import (
	"fmt"
	"time"
)

// Change is one configuration change, an entry of the log.
type Change struct {
	// Revision is the position of the change in the log. Revisions start at 1
	// and have no gaps.
	Revision int64 `json:"revision"`
	// ID is chosen by the client and is the idempotency key of Log.Append.
	ID     string `json:"id"`
	Author string `json:"author"`
	Reason string `json:"reason"`
	// Base is the newest revision that the author had seen. Log.Append accepts
	// the change only if Base is the head.
	Base int64     `json:"base"`
	Time time.Time `json:"time"`
	// Patch is opaque to this package; savoryshift stores a JSON merge patch.
	Patch []byte `json:"patch"`
	// Prev is the hash of the preceding entry and Hash the hash of this entry,
	// both as hex SHA-256.
	Prev string `json:"prev"`
	Hash string `json:"hash"`
}

// Head identifies an entry by its revision and hash, usually the newest entry
// of the log.
type Head struct {
	Revision int64  `json:"revision"`
	Hash     string `json:"hash"`
}

// ConflictError reports that the log has moved past the base of a change.
type ConflictError struct {
	Base   int64
	Head   Head
	Others []Change // the changes after Base
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("change is based on revision %d, the log is at revision %d", e.Base, e.Head.Revision)
}

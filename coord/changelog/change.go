package changelog

import (
	"fmt"
	"time"
)

// Change is one entry of the log.
type Change struct {
	// Revision numbers the entries from 1 without gaps.
	Revision int64 `json:"revision"`
	// ID is chosen by the client and makes a repeated append harmless.
	ID     string `json:"id"`
	Author string `json:"author"`
	Reason string `json:"reason"`
	// Base is the revision that the author had seen.
	Base int64     `json:"base"`
	Time time.Time `json:"time"`
	// Patch is opaque to this package; savoryshift stores a JSON merge patch.
	Patch []byte `json:"patch"`
	// Prev is the hash of the entry before, Hash that of this entry, both hex
	// SHA-256.
	Prev string `json:"prev"`
	Hash string `json:"hash"`
}

// Head is the newest entry of the log.
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

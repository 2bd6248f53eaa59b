package changelog

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
)

// hashDomain separates the hashes of changes from other uses of SHA-256 and
// names the version of the canonical encoding.
const hashDomain = "savoryshift/changelog/1"

var (
	// ErrGap reports a change whose revision does not follow the preceding one.
	ErrGap = errors.New("revision does not follow the previous one")
	// ErrLink reports a change whose Prev is not the hash of the preceding change.
	ErrLink = errors.New("previous hash does not match")
	// ErrHash reports a change whose Hash does not match its fields.
	ErrHash = errors.New("hash does not match the fields")
	// ErrFork reports a change that differs from a known change of the same
	// revision.
	ErrFork = errors.New("another change with this revision is known")
)

// ChainError reports the first change that breaks the hash chain. It wraps
// ErrGap, ErrLink, ErrHash or ErrFork.
type ChainError struct {
	Revision int64
	Err      error
}

func (e *ChainError) Error() string {
	return fmt.Sprintf("change log revision %d: %v", e.Revision, e.Err)
}

func (e *ChainError) Unwrap() error { return e.Err }

// HashOf returns the hex SHA-256 of all fields of c except Hash. Each field is
// encoded with a fixed size or a length prefix, so that no two changes share
// an encoding.
func HashOf(c Change) string {
	h := sha256.New()
	writeString(h, hashDomain)
	writeInt(h, c.Revision)
	writeString(h, c.ID)
	writeString(h, c.Author)
	writeString(h, c.Reason)
	writeInt(h, c.Base)
	writeInt(h, c.Time.Unix())
	writeInt(h, int64(c.Time.Nanosecond()))
	writeString(h, string(c.Patch))
	writeString(h, c.Prev)
	return hex.EncodeToString(h.Sum(nil))
}

func writeInt(h hash.Hash, v int64) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(v))
	h.Write(b[:])
}

func writeString(h hash.Hash, s string) {
	writeInt(h, int64(len(s)))
	h.Write([]byte(s))
}

// Verify checks that changes continue the chain after prev without a gap, and
// returns a *ChainError otherwise. The head of an empty log is the zero Head.
func Verify(prev Head, changes []Change) error {
	for _, c := range changes {
		if err := verifyNext(prev, c); err != nil {
			return &ChainError{Revision: c.Revision, Err: err}
		}
		prev = Head{Revision: c.Revision, Hash: c.Hash}
	}
	return nil
}

func verifyNext(prev Head, c Change) error {
	switch {
	case c.Revision != prev.Revision+1 || c.Base != prev.Revision:
		return ErrGap
	case c.Prev != prev.Hash:
		return ErrLink
	case c.Hash != HashOf(c):
		return ErrHash
	}
	return nil
}

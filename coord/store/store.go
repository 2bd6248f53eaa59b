package store

import (
	"context"
	"errors"
	"fmt"
)

// AnyVersion is the value of Op.Expect that makes an operation unconditional.
const AnyVersion int64 = -1

var (
	// ErrUnavailable reports a call that had no effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUnknown reports a write that may have taken effect, because its reply
	// was lost. The caller must read back to learn the outcome.
	ErrUnknown = errors.New("store outcome unknown")
	// ErrNotFound reports a missing object.
	ErrNotFound = errors.New("object not found")
	// ErrExists reports that an object of the same name with other content
	// exists.
	ErrExists = errors.New("object exists with other content")
)

// Row is one row of a Table. Version 0 means that the row does not exist.
type Row struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// Op is one conditional write of a transaction. Expect is the version that the
// row must have: 0 if it must not exist, AnyVersion for no condition.
type Op struct {
	Key    string `json:"key"`
	Expect int64  `json:"expect"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// ConflictError reports the first condition of a transaction that failed. The
// transaction had no effect.
type ConflictError struct {
	Key     string
	Current Row
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %q has version %d", e.Key, e.Current.Version)
}

// Table is the transactional table service. Implementations are safe for
// concurrent use. The version of a key increases with every write, also over a
// delete and a later insert.
type Table interface {
	// Get returns one row per key, in the order of keys.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Commit applies all operations or none. It returns a *ConflictError when a
	// condition fails, ErrUnavailable when nothing was written, and ErrUnknown
	// when the outcome is unknown.
	Commit(ctx context.Context, ops []Op) error
	// Scan returns up to limit rows whose keys have the prefix and sort after the
	// given key, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// Objects is the object store. Implementations are safe for concurrent use.
type Objects interface {
	// Put stores data under name. Storing the same content again succeeds;
	// other content under the same name returns ErrExists.
	Put(ctx context.Context, name string, data []byte) error
	// Get returns the content, or ErrNotFound.
	Get(ctx context.Context, name string) ([]byte, error)
	// List returns up to limit names that have the prefix and sort after the given
	// name, in order.
	List(ctx context.Context, prefix, after string, limit int) ([]string, error)
}

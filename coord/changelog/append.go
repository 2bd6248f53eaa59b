package changelog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"unicode/utf8"

	"github.com/savoryshift/savoryshift/coord/store"
)

// maxAppendAttempts bounds the attempts of one Append whose commit loses to
// another writer or has an unknown outcome.
const maxAppendAttempts = 4

// maxYear is the last year that the JSON encoding of time.Time can represent.
const maxYear = 9999

// InvalidChangeError reports a change that has an invalid field.
type InvalidChangeError struct {
	Field  string
	Reason string
}

func (e *InvalidChangeError) Error() string {
	return fmt.Sprintf("change field %s %s", e.Field, e.Reason)
}

// IDReusedError reports a change whose id belongs to a stored change with a
// different author, reason or patch.
type IDReusedError struct {
	ID     string
	Stored Change
}

func (e *IDReusedError) Error() string {
	return fmt.Sprintf("change id %q is taken by revision %d with other content", e.ID, e.Stored.Revision)
}

// Append adds c to the log and returns the stored change with its revision and
// hashes. Append is idempotent by change id: appending a known id again returns
// the stored change, even when c names another base. Append returns
//
//   - *ConflictError when c.Base is not the head,
//   - *InvalidChangeError or *IDReusedError when c cannot be stored,
//   - store.ErrUnavailable when nothing was written,
//   - store.ErrUnknown when c may or may not have been written. Calling Append
//     again with the same change is safe.
func (l *Log) Append(ctx context.Context, c Change) (Change, error) {
	if err := validate(c); err != nil {
		return Change{}, err
	}
	if c.Time.IsZero() {
		c.Time = l.now()
	}
	c.Time = c.Time.UTC().Round(0)
	unknown := false
	for range maxAppendAttempts {
		stored, err := l.tryAppend(ctx, c)
		switch {
		case err == nil:
			return stored, nil
		case errors.Is(err, store.ErrUnknown):
			unknown = true
		case errors.Is(err, errConcurrentCommit):
		case unknown && errors.Is(err, store.ErrUnavailable):
			// The read-back failed, so an earlier attempt may have taken effect.
			return Change{}, errors.Join(store.ErrUnknown, err)
		default:
			return Change{}, err
		}
	}
	if unknown {
		return Change{}, store.ErrUnknown
	}
	return Change{}, fmt.Errorf("append gave up: %w", errors.Join(store.ErrUnavailable, errConcurrentCommit))
}

// errConcurrentCommit reports a commit that failed because another writer
// committed first.
var errConcurrentCommit = errors.New("another writer changed the head")

func validate(c Change) error {
	textFields := []struct{ field, value string }{{"id", c.ID}, {"author", c.Author}, {"reason", c.Reason}}
	for _, t := range textFields {
		// The JSON encoding replaces invalid UTF-8, after which the stored hash
		// would not match the fields.
		if !utf8.ValidString(t.value) {
			return &InvalidChangeError{t.field, "is not valid UTF-8"}
		}
		if len(t.value) > MaxTextBytes {
			return &InvalidChangeError{t.field, fmt.Sprintf("is longer than %d bytes", MaxTextBytes)}
		}
	}
	switch {
	case c.ID == "":
		return &InvalidChangeError{"id", "is empty"}
	case c.Base < 0:
		return &InvalidChangeError{"base", "is negative"}
	case len(c.Patch) > MaxPatchBytes:
		return &InvalidChangeError{"patch", fmt.Sprintf("is longer than %d bytes", MaxPatchBytes)}
	case c.Time.Year() < 0 || c.Time.UTC().Year() > maxYear:
		return &InvalidChangeError{"time", "is out of range"}
	}
	return nil
}

// tryAppend reads the head and the id row and commits c once. The head is read
// first: if an earlier attempt of c has moved it, the id row read afterwards
// shows the revision of c.
func (l *Log) tryAppend(ctx context.Context, c Change) (Change, error) {
	rows, err := l.table.Get(ctx, headKey, idKey(c.ID))
	if err != nil {
		return Change{}, err
	}
	if rows[1].Version != 0 {
		return l.storedChange(ctx, c, rows[1])
	}
	head, err := decodeHead(rows[0])
	if err != nil {
		return Change{}, err
	}
	if c.Base != head.Revision {
		return Change{}, l.conflictError(ctx, c.Base, head)
	}
	c.Revision, c.Prev = head.Revision+1, head.Hash
	c.Hash = HashOf(c)
	ops, err := appendOps(c, rows[0].Version)
	if err != nil {
		return Change{}, err
	}
	err = l.table.Commit(ctx, ops)
	if _, conflicted := errors.AsType[*store.ConflictError](err); conflicted {
		return Change{}, errConcurrentCommit
	}
	return c, err
}

func appendOps(c Change, headVersion int64) ([]store.Op, error) {
	change, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	head, err := json.Marshal(Head{Revision: c.Revision, Hash: c.Hash})
	if err != nil {
		return nil, err
	}
	return []store.Op{
		{Key: headKey, Expect: headVersion, Value: head},
		{Key: changeKey(c.Revision), Value: change},
		{Key: idKey(c.ID), Value: encodeRevision(c.Revision)},
	}, nil
}

// storedChange returns the change that the id row points to, or an
// *IDReusedError when its content differs from c.
func (l *Log) storedChange(ctx context.Context, c Change, idRow store.Row) (Change, error) {
	revision, err := strconv.ParseInt(string(idRow.Value), 10, 64)
	if err != nil {
		return Change{}, fmt.Errorf("row %q: %w", idRow.Key, err)
	}
	stored, err := l.changeAt(ctx, revision)
	if err != nil {
		return Change{}, err
	}
	sameContent := stored.ID == c.ID && stored.Author == c.Author && stored.Reason == c.Reason &&
		bytes.Equal(stored.Patch, c.Patch)
	if !sameContent {
		return Change{}, &IDReusedError{ID: c.ID, Stored: stored}
	}
	return stored, nil
}

func (l *Log) conflictError(ctx context.Context, base int64, head Head) error {
	others, err := l.Changes(ctx, base, maxConflictChanges)
	if err != nil {
		return err
	}
	return &ConflictError{Base: base, Head: head, Others: others}
}

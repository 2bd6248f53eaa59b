// Package claim makes a non-idempotent call run at most once.
//
// An attempt may dispatch its call only after it has written a row for the
// key (organisation, idempotency key) into the platform's table. The row is in
// one of three states: claimed, done with an outcome, or released.
//
// A released row stays in the table as a tombstone until the sweeper removes
// it, and a later attempt replaces it at its version. A commit whose reply was
// lost may still take effect at any later time. After a physical delete, such a
// delayed insert could succeed, and the key would be blocked by an attempt that
// no longer exists. The tombstone changes the version of the row, so that no
// earlier commit can succeed. This assumes that no commit takes effect later
// than SweeperOptions.TombstoneRetention after it was sent.
//
// When an attempt gives up while one of its commits has an unknown outcome, it
// can no longer dispatch, so the answer "not run" is true. A background task
// then writes the tombstone. When the daemon dies before that, the key answers
// "outcome unknown" until the sweeper removes the row after the retention time.
package claim

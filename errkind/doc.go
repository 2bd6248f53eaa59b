// Package errkind holds the closed list of error kinds and the table from a
// kind to the answer that a caller receives.
//
// Every error that reaches a caller has exactly one kind. Code attaches a kind
// with New or Wrap and reads it with Of; an error without a kind counts as
// Internal.
package errkind

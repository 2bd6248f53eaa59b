// Package errkind defines the error kinds and maps each kind to the error
// response that a caller receives. No other kinds exist.
//
// Every error that reaches a caller has exactly one kind. Code attaches a kind
// with New or Wrap and reads it with Of. An error without a kind has the kind
// Internal.
package errkind

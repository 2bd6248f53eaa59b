// Package changelog keeps the numbered, hash-chained log of accepted changes in
// the platform's table. The log is the total order of configuration and the
// audit trail.
package changelog

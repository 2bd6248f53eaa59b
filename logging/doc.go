// Package logging writes structured log lines without ever blocking the caller:
// lines that the reader of the output does not take in time are dropped and
// counted.
package logging

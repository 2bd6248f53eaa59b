// Package logging writes structured log lines without blocking the caller: if the
// output is not read fast enough, lines are dropped and counted.
package logging

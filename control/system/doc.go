// Package system contains the systems of the control goroutine, one per file. A
// system is a function of the tables, the time and the inputs that arrived
// since the last tick. It modifies the tables and returns effects, which are
// calls for other goroutines to make; their results arrive as inputs of a later
// tick. Systems use no clock, network or goroutine, so that tests can call them
// as plain functions.
package system

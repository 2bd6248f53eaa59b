// Package system holds the systems of the control goroutine, one file each. A
// system is a function of the tables, the time and the inputs since the last
// tick. It changes the tables and returns effects: calls for other goroutines
// to make, whose results come back as inputs. Systems use no clock, network or
// goroutine, so their decisions are tested as plain functions.
package system

// Package share divides an organisation's limit among the daemons.
//
// One table row per organisation holds the share of each daemon as a fraction
// of the limit, so that a changed limit scales all shares at once and needs no
// write. The sum of the fractions is checked in the row by compare-and-set.
//
// Only the holder changes its own share. It lowers its local share before it
// sends the write that gives a part back, and raises it only after a confirmed
// write. The local shares therefore never exceed the row, whatever happens to a
// write, and a holder that is cut off, frozen or dead keeps its part of the
// limit. The share of a dead holder returns by Reclaim only, when the platform's
// list no longer has its VM.
//
// Shares follow the demand. A daemon that holds a share is called a holder. It
// takes what it needs from the free part of the limit. When that does not
// suffice, it is short: it records the share that it wants in the row, and the
// other holders give back what they do not use and what they hold above the
// max-min fair level.
package share

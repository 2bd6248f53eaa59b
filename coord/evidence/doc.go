// Package evidence implements the freshness lease: a node may use what it knows
// for as long as it has recent evidence that no newer revision superseded it.
//
// Evidence says that the head of the change log was at some revision at some
// moment. Nodes obtain it by pull. The requester reads its own clock before it
// sends the request, the reply carries the age of the responder's evidence, and
// the requester counts that age from its own send time. The result is never
// younger than the truth, without synchronised clocks and without a bound on
// the time that messages take.
package evidence

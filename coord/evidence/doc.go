// Package evidence implements the freshness lease: a node may use its
// configuration while it has recent evidence that no newer revision has
// superseded it.
//
// Evidence states that the head of the change log was at some revision at some
// moment. Nodes pull it from each other. The requester reads its own clock before
// it sends the request, the reply carries the age of the responder's evidence,
// and the requester counts that age from its own send time. The computed age is
// never below the true age. This needs neither synchronised clocks nor a bound on
// message delays.
package evidence

// Package spread disseminates monotone state between the nodes: halt marks, the
// head of the change log with the age of the evidence for it, the changes that a
// node lacks, and the acknowledgements of applied revisions.
//
// Node is a state machine without transport. Its methods return the messages to
// send and their receivers, and handle received messages; the caller transports
// them. Everything that a node accepts is either merged by a monotone rule or
// verified by the hash chain, so messages may be lost, repeated, delayed and
// reordered.
//
// Every node sends a SyncRequest to all nodes of its zone once a second. The
// delegates of a zone also send one to a delegate of each other zone, and read
// the head of the change log from the platform. A node that learns of a new
// revision or a halt notifies its peers at once. Members and acknowledgements of
// other zones are sent as reports of whole zones, and only when their digest
// differs.
package spread

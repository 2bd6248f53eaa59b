// Package spread disseminates monotone state between the nodes: halt marks, the
// head of the change log with the age of that knowledge, the changes that a
// node misses, and the acknowledgements of applied revisions.
//
// Node is a state machine without transport. It says whom to contact and what
// to send, and takes what arrives; the caller moves the messages. Everything it
// accepts is either merged by a monotone rule or proved by the hash chain, so
// messages may be lost, repeated, delayed and reordered.
//
// Every node exchanges a Sync with all nodes of its zone once a second. The
// delegates of a zone do so with the delegates of the other zones as well, and
// read the platform's head. A node that learns of a new revision or a halt
// notifies the others at once. Members and acknowledgements of other zones
// travel as reports of whole zones, which are sent only when their digest
// differs.
package spread

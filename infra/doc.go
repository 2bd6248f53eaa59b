// Package infra talks to the services on which the daemons of the product's own
// interface stand: the transactional table, the object store, the list of VMs,
// the rating service and the weight store. Its clients implement the interfaces
// of coord/store over HTTP; infra/standin serves the same protocol from memory.
// The platform of the users has another protocol, which package platform speaks.
package infra

// Package infra contains clients of the platform services that daemons use in
// deployments with the project's own interface: the transactional table, the
// object store, the list of VMs, the rating service and the weight store. They
// implement the interfaces of coord/store over HTTP. Package infra/standin serves
// the same protocol from memory. Package platform implements the protocol of the
// users' platform, which is a different one.
package infra

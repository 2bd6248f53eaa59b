// Package entry assembles and runs the router process of one entry VM on the
// users' platform: the mirrors of the store's tables, the listeners for clients,
// for the readiness probes of the platform's load balancer and for peers, and the
// periodic tasks.
package entry

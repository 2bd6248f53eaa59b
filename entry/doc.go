// Package entry assembles the router of one entry VM on the users' platform out
// of its parts and runs them: the mirrors of the store's tables, the listeners
// for callers, the balancer and peers, and the periodic systems.
package entry

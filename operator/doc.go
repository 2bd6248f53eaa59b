// Package operator implements the operators' HTTP JSON API: the server that each
// daemon runs on its operator listener, and the typed client that savoryctl uses.
//
// Reads require the role viewer, changes the role editor; liveness and readiness
// require no token. Every change of the settings tree is a JSON merge patch that
// is validated against its base revision before it is appended to the change log.
// An edit states its base and is refused when another change was appended since;
// the answer contains that change. Actions (withdraw, rollout steps, drain)
// state no base: the server computes their patch from the head, and again after
// a conflict.
package operator

// Package operator is the operators' HTTP JSON API: the server that each
// daemon runs on its operator listener, and the typed client of savoryctl.
//
// Reads need the role viewer, changes the role editor; liveness and readiness
// need no token. Every change of the settings tree is a JSON merge patch that
// is validated against its base before it is appended to the change log. An
// edit with a base loses against a change that was appended since, and the
// answer shows that change. Actions (withdraw, roll-out steps, drain) carry no
// base: the server computes their patch from the head, and again after a
// conflict.
package operator

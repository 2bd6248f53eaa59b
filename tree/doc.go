// Package tree holds the settings tree that operators edit: versions,
// upstreams, services, organisations and rollouts. Organisations, services and
// sessions inherit each value from their parent unless they override it.
//
// A Tree is plain data, as stored in the change log. Compile validates it and
// returns an immutable Snapshot that goroutines can share while they serve
// requests.
package tree

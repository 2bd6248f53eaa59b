// Package store declares the interfaces of the two storage services of the
// platform on which the coordination packages rely: a transactional table and an
// object store.
package store

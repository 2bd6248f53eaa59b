// Package store declares the two storage services that the platform provides
// and on which the coordination packages rely: a transactional table and an
// object store.
package store

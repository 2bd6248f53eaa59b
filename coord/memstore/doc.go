// Package memstore is an in-memory implementation of the store interfaces with
// fault injection: outages, delays, and replies that are lost after the write
// took effect. The platform stand-in serves it over HTTP, and tests use it
// directly.
package memstore

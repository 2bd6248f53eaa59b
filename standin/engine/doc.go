// Package engine emulates a model engine for tests, demonstrations and load
// tests. It serves the engine protocol of package upstream with continuous
// batching, a prefix cache of limited size, priorities, resumed and cancelled
// streams, delayed load reports and cache events, orders with fencing tokens,
// and faults that can be changed at runtime.
//
// All delays use time.Timer and the clock of package time, so an engine runs on
// virtual time inside testing/synctest. The text of an answer depends only on
// the seed, the version and the request ID, so another engine with the same seed
// resumes a stream with the same parts.
package engine

// Package engine emulates a model engine for tests, demonstrations and load
// runs. It serves the engine protocol of package upstream with continuous
// batching, a prefix cache of limited memory, priorities, resume and cancel,
// lagging reports, orders with fencing numbers, and faults that can be set
// while it runs.
//
// All delays use time.Timer and the clock of package time, so an engine runs on
// virtual time inside testing/synctest. The text of an answer depends only on
// the seed, the version and the request, so another engine with the same seed
// resumes a stream with the same parts.
package engine

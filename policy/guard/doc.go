// Package guard decides during a rollout whether the candidate version is worse
// than its base version.
//
// The test is sequential: its result can be read after every observation. For
// each stratum (a class and a signal: error, bad rating, slow or delayed answer)
// the base determines the usual rate of bad events. The test adds up the
// logarithms of the likelihood ratio of the candidate's events between an
// increased rate and the usual one. This cumulative sum, the evidence, does not
// fall below zero, so a long time without bad events does not hide a version
// that turns bad later. The candidate is halted once the evidence of one signal,
// over all classes, or of the errors in one class reaches a threshold. The
// exposure weight of the organisations changes the thresholds within bounds.
//
// Counts can be merged: each daemon publishes its cumulative counts, and a
// receiver adds the increase since the last counts from that daemon. Repeated
// and reordered messages have no effect. All methods are safe for concurrent
// use. The package has no clock and no network.
package guard

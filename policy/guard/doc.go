// Package guard decides during a roll-out whether the candidate version is worse
// than its base version.
//
// The test is sequential: it can be read after every observation. For each
// stratum (a class and a signal: error, bad rating, slow answer) the base gives
// the usual rate of bad events, and the candidate's events are weighed by the
// likelihood ratio between a set of worse rates and the usual one. The evidence
// is a cumulative sum that does not fall below zero, so good behaviour in the
// past does not hide a version that turns bad later. The candidate is halted
// once the evidence of one signal passes a threshold; an organisation's weight
// for exposure lowers the threshold within bounds.
//
// Counts are mergeable: each daemon publishes its cumulative counts, and a
// receiver adds the growth since the last ones from that daemon. Repeated and
// reordered messages change nothing. All methods are safe for concurrent use.
// The package has no clock and no network.
package guard

// Package policy decides which version and which upstream serve a request, and
// learns from the results. It has no clock and no network: all times are
// arguments, measured from an arbitrary fixed moment.
//
// A daemon uses one Planner:
//
//  1. On each control tick it calls BuildView with the current versions,
//     upstreams, load reports and cache hints, and publishes the View. A View is
//     immutable; only the Live counters that it refers to change.
//  2. For a request it calls Choose. The Plan says which calls to start and
//     whether to hold the answer back until it is rated; or it is an early
//     refusal, which is given only before any upstream has run the request.
//  3. When a held answer is rated badly, or a call fails, it calls Next, which
//     returns a plan with one call, a plan without calls (deliver the held
//     answer) or a refusal. The daemon also delivers a held answer when the
//     deadline is near, even if calls are still in flight.
//  4. It reports results with Live.Begin, End, Failed and Succeeded for each
//     call, and with ObserveServed, ObserveTokenRate, ObserveLength,
//     ObserveRating and ObserveFinalQuality.
//  5. From time to time it exchanges summaries with the other daemons, using
//     Export and Merge. A summary holds only a daemon's own samples, so
//     receiving it twice has no effect.
//
// # Decisions
//
// Each class of requests has a value of quality, which rises while its answers
// are predicted below the quality target and falls while they are above it. A
// request takes the plan with the highest utility: the value of the predicted
// quality, less the cost of all calls and the price of engine time on busy
// engines, plus the value of an answer that meets the deadline. The mix of cheap
// and expensive plans of a class therefore settles where the mean quality meets
// the target at the lowest cost. A plan is feasible only if it meets the
// deadline with the wanted probability, or with nearly the highest probability
// of all plans. Next decides on follow-up calls, when the length of the answer
// is known.
//
// # Concurrency
//
// All methods are safe for concurrent use. Choose and Next read the immutable
// View, per-class atomics and short per-organisation locks, and never wait for
// learning; Observe, Export and Merge share one short lock. Choose does not
// allocate. The number of engines that it examines is bounded, however many
// there are.
package policy

// Package policy decides which version and which upstream serve a request, and
// learns from what happens. It has no clock and no network: time is an argument,
// measured from any fixed moment.
//
// A daemon uses one Planner:
//
//  1. On each control tick it calls BuildView with what it can see (versions,
//     upstreams, load reports, cache hints) and publishes the View. A View is
//     immutable; only the Live counters that it refers to change.
//  2. For a request it calls Choose. The Plan says which calls to start and
//     whether to hold the answer back until it is rated; or it is an early
//     refusal, which is given only before anything has run.
//  3. When a held answer is rated badly, or a call fails, it calls Next: a plan
//     with one call, a plan without calls (deliver the answer at hand) or a
//     refusal. An answer at hand is also to be delivered when the deadline
//     comes near, whatever is still under way.
//  4. It reports results: Live.Begin, End, Failed and Succeeded for each call,
//     and ObserveServed, ObservePace, ObserveLength, ObserveRating and
//     ObserveSettled.
//  5. Now and then it exchanges Export and Merge with the other daemons. A
//     summary holds a daemon's own samples only, so repeats do no harm.
//
// # Decisions
//
// Each class has a value of quality, which rises while its answers are predicted
// below the target and falls while they are above. A request takes the plan with
// the greatest worth: value of quality, less the cost of all calls and the price
// of busy engine time, plus the worth of an answer in time. So the cheap and the
// better plans of a class mix until the mean quality meets the target at the
// least cost. A plan is weighed only if its time at the wanted quantile fits the
// deadline, or if it is nearly as likely to be in time as any other. Follow-up
// calls are decided by Next when the length of the answer is known.
//
// # Concurrency
//
// All methods are safe for concurrent use. Choose and Next read the immutable
// View, per-class atomics and short per-organisation locks, and never wait for
// learning; Observe, Export and Merge share one short lock. Choose does not
// allocate. The engines that it looks at are bounded whatever their number.
package policy

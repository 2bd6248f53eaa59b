package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// StepKind is the kind of a step of a plan: a fault or planned work.
type StepKind string

// Kinds of steps. The last two groups are planned work and benign events, which callers
// must not notice; the others are disruptions.
const (
	StoreDown        StepKind = "store down"
	StoreDelay       StepKind = "store delayed"
	StoreLoseReplies StepKind = "store loses replies to writes"
	StoreCompact     StepKind = "store drops its history"
	StoreReset       StepKind = "store connections reset"
	StoreHold        StepKind = "store silent for one VM"
	StoreSilence     StepKind = "store connections of one VM silent, new ones work"

	UpstreamFail        StepKind = "upstream fails"
	UpstreamRefuse      StepKind = "upstream refuses"
	UpstreamCut         StepKind = "upstream cuts streams"
	UpstreamSlow        StepKind = "upstream slow"
	UpstreamCrash       StepKind = "upstream crashes"
	UpstreamDelay       StepKind = "upstream connections delayed"
	UpstreamReset       StepKind = "upstream connections reset"
	UpstreamHold        StepKind = "upstream silent"
	UpstreamHoldReplies StepKind = "upstream replies held"

	UpstreamRepeat      StepKind = "upstream repeats refusals"
	UpstreamResumeWrong StepKind = "upstream cuts streams that others resume wrongly"

	CallerDelay StepKind = "callers delayed"
	CallerReset StepKind = "caller connections reset"
	CallerHold  StepKind = "caller requests held"

	VMPause StepKind = "VM paused"
	VMKill  StepKind = "VM killed"
	KillAll StepKind = "all VMs killed"

	// ProcessStall is in no plan. It is recorded when the process of the soak test
	// itself does not run.
	ProcessStall StepKind = "test process stalled"

	VMStop        StepKind = "VM stopped as planned"
	VMReload      StepKind = "VM settings changed"
	Configure     StepKind = "configuration changed"
	UpstreamDrain StepKind = "upstream leaves"

	UpstreamPauseHead StepKind = "upstream pauses before its answers"
	UpstreamPauseBody StepKind = "upstream pauses within its answers"
	UpstreamAlone     StepKind = "upstream is the only one that is not full"
	OddRegistration   StepKind = "odd registration"

	UpstreamLong         StepKind = "upstream of a service whose requests take long"
	UpstreamPauseRefused StepKind = "upstream pauses while others refuse late"
	UpstreamAskPause     StepKind = "upstream refuses and asks for a pause"
	UpstreamLeave        StepKind = "upstream says that it leaves"
	UpstreamUnframed     StepKind = "upstream ends its answers by a close"
	// These upstreams are at fault, which excuses only the requests that they broke off.
	UpstreamPauseBroken StepKind = "upstream pauses while others break off"
	UpstreamCutHead     StepKind = "upstream cuts its answers in the head"
	UpstreamNoBody      StepKind = "upstream closes after a head without framing"
	UpstreamPart        StepKind = "upstream breaks streams off right after whole events"
)

// These steps are events that a sound platform may see at any time.
const (
	ZoneEvacuate StepKind = "zone evacuated and taken back"
	ColdStart    StepKind = "cold upstream starts"
	StoreRestore StepKind = "store restored from an older copy"
)

// UpstreamRefuseLate and UpstreamBreak are in no plan. They are parts of other steps.
const (
	UpstreamRefuseLate StepKind = "upstream refuses late"
	UpstreamBreak      StepKind = "upstream breaks off"
)

var disruptions = []StepKind{
	StoreDown, StoreDelay, StoreLoseReplies, StoreCompact, StoreReset, StoreHold,
	UpstreamFail, UpstreamRefuse, UpstreamCut, UpstreamSlow, UpstreamCrash, UpstreamDelay, UpstreamReset, UpstreamHold, UpstreamHoldReplies,
	CallerDelay, CallerReset, CallerHold, VMPause, VMKill,
}

var plannedWork = []StepKind{VMStop, VMReload, Configure, UpstreamDrain}

// benign are events that a sound system may see at any time. Sound upstreams fall silent
// for a while and refuse requests when they are full, and a registration that cannot be
// read names no upstream.
var benign = []StepKind{UpstreamPauseHead, UpstreamPauseBody, UpstreamAlone, OddRegistration}

// benignAnswers are events of the same kind, in plans with planned stops or with upstreams
// that answer in other ways.
var benignAnswers = []StepKind{UpstreamLong, UpstreamPauseRefused, UpstreamAskPause, UpstreamLeave, UpstreamUnframed}

// breakingOff are faults that excuse only the requests whose upstream broke them off.
var breakingOff = []StepKind{UpstreamPauseBroken, UpstreamCutHead, UpstreamNoBody, UpstreamPart}

// platformEvents are events of the platform, which callers must not notice.
var platformEvents = []StepKind{ZoneEvacuate, ColdStart, StoreRestore}

// vmDisruptions disrupt one VM; the other VMs must keep all guarantees.
var vmDisruptions = []StepKind{StoreHold, StoreSilence, VMPause, VMKill, CallerDelay, CallerReset, CallerHold}

// Planned reports whether the step is planned work, which callers must not notice.
func (k StepKind) Planned() bool { return slices.Contains(plannedWork, k) }

// Disrupts reports whether callers may notice the step.
func (k StepKind) Disrupts() bool {
	return !k.Planned() && !slices.Contains(slices.Concat(benign, benignAnswers, breakingOff, platformEvents), k)
}

// Step is one entry of a plan.
type Step struct {
	// At is the time from the start of the run to the start of the step, For the
	// duration of the step.
	At, For time.Duration
	Kind    StepKind
	// Target, modulo the number of VMs or upstreams, is the index of the one that the
	// step affects.
	Target int
}

// variant selects one of n variants of the kind of the step.
func (s Step) variant(n int) int { return int(s.For/time.Millisecond) % n }

// Shape is the size of the system under test and the duration of a run.
type Shape struct {
	VMs, Zones int
	Upstreams  int
	Length     time.Duration
	// FewRetries leaves the VMs almost no budget for retries.
	FewRetries bool
	// Engines replaces the upstreams of the model by engines that requests can end.
	Engines bool
	// DirectCalls makes callers connect straight to a VM that stops as planned.
	DirectCalls bool
	// Platform sets the bounds of evacuations and cold upstreams and makes callers use
	// withdrawn keys.
	Platform bool
}

const (
	// meanStepInterval is the mean time between two steps outside a series.
	meanStepInterval = 900 * time.Millisecond
	// seriesShare is the share of steps that start a series of the same step on one
	// target.
	seriesShare = 0.25
	// finalKillShare is the share of plans with disruptions that end with a kill of
	// all VMs.
	finalKillShare = 0.3
	// minStepDuration and maxStepDuration bound the duration of a step.
	minStepDuration = 150 * time.Millisecond
	maxStepDuration = 2500 * time.Millisecond
	// firstBlindSeed is the first seed whose plan disrupts VMs that read the store for
	// their zone, for up to maxBlindDuration. Lower seeds keep the plans with which
	// some of them have failed.
	firstBlindSeed   = 10_000
	maxBlindDuration = 6 * time.Second
	// blindShare is the share of the other VMs that they disrupt in different ways at
	// about one time.
	blindShare = 0.85
	// undisruptedVMs is the number of VMs, the last ones, that those plans spare.
	undisruptedVMs = 2
	// firstPauseSeed is the first seed whose plan has pauses of upstreams and other
	// benign events beside planned work.
	firstPauseSeed = 20_000
	// minPause and maxPause bound the time for which a sound upstream falls silent.
	minPause = 900 * time.Millisecond
	maxPause = 2200 * time.Millisecond
	// leaveDuration is how long an upstream that leaves goes on serving in these plans,
	// in addition to drainBound. It ends no answer that pauses.
	leaveDuration = 3 * time.Second
	// firstStopSeed is the first seed whose plan has planned stops, with direct calls,
	// while requests take long.
	firstStopSeed = 30_000
	// minLong and maxLong bound the duration of a step in which requests take long.
	minLong = 2 * time.Second
	maxLong = 5500 * time.Millisecond
	// firstAnswerSeed is the first seed whose plan has upstreams that pause, refuse,
	// leave, or break off their answers in forms that look like others.
	firstAnswerSeed = 40_000
	// firstUnsentSeed is the first seed whose plan has streams that break off right after
	// whole events, beside series of changes, leaving upstreams and planned stops.
	firstUnsentSeed = 60_000
	// firstPlatformSeed is the first seed whose plan has evacuations, cold upstreams and
	// restored stores beside planned work, and disruptions of VMs if the seed is odd.
	firstPlatformSeed = 70_000
)

// ofSeed returns the shape with what the plans of the seed need.
func (s Shape) ofSeed(seed uint64) Shape {
	switch {
	case seed >= firstPlatformSeed:
		s.Platform, s.Upstreams, s.Length = true, platformUpstreams, max(s.Length, minPlatformLength)
	case seed >= firstUnsentSeed:
		s.DirectCalls, s.Upstreams = true, max(s.Upstreams, maxAttempts["stream"])
	case seed >= firstAnswerSeed:
		s.Upstreams = max(s.Upstreams, maxAttempts["stream"])
	case seed >= firstStopSeed:
		s.DirectCalls = true
	case seed >= firstPauseSeed:
		s.FewRetries = seed%2 == 0
	}
	return s
}

// NewPlan returns the steps of a seed, ordered by their start. Every third seed has
// planned work only, so that the guarantees that hold only without disruptions are
// checked too.
func NewPlan(seed uint64, s Shape) []Step {
	r := rand.New(rand.NewPCG(seed, 0))
	switch {
	case seed >= firstPlatformSeed:
		return newPlatformPlan(seed, r, s)
	case seed >= firstUnsentSeed:
		return newUnsentPlan(seed, r, s)
	case seed >= firstRestartSeed:
		return newRestartPlan(r, s)
	case seed >= firstFatalSeed:
		return newFatalPlan(r, s)
	case seed >= firstAnswerSeed:
		return newAnswerPlan(r, s)
	case seed >= firstStopSeed:
		return newStopPlan(r, s)
	case seed >= firstPauseSeed:
		return newPausePlan(seed, r, s)
	case seed >= firstBlindSeed:
		return newBlindPlan(r, s)
	}
	kinds := slices.Concat(disruptions, plannedWork)
	if seed%3 == 0 {
		kinds = plannedWork
	}
	var plan []Step
	for at := meanStepInterval; at < s.Length; at += time.Duration(r.ExpFloat64() * float64(meanStepInterval)) {
		step := Step{At: at, For: randomDuration(r, minStepDuration, maxStepDuration), Kind: kinds[r.IntN(len(kinds))], Target: r.IntN(s.VMs * s.Upstreams)}
		plan = append(plan, step)
		if r.Float64() < seriesShare {
			for range 2 + r.IntN(3) {
				step.At += randomDuration(r, minStepDuration, meanStepInterval)
				plan = append(plan, step)
			}
		}
	}
	if seed%3 != 0 && r.Float64() < finalKillShare {
		plan = append(plan, Step{At: s.Length, For: randomDuration(r, minStepDuration, maxStepDuration), Kind: KillAll})
	}
	slices.SortStableFunc(plan, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// newBlindPlan returns planned work while, again and again, all of the first VMs lose
// the store silently or most of them lose it or fail.
func newBlindPlan(r *rand.Rand, s Shape) []Step {
	var plan []Step
	planned := []StepKind{Configure, UpstreamDrain}
	// The interval leaves time between two configurations to tell which one is in force.
	for at := meanStepInterval; at < s.Length; at += time.Duration(r.ExpFloat64() * float64(configurationBound)) {
		plan = append(plan, Step{At: at, For: maxBlindDuration, Kind: planned[r.IntN(len(planned))], Target: r.IntN(s.VMs * s.Upstreams)})
	}
	silent, mixed := []StepKind{StoreHold, StoreSilence}, []StepKind{StoreHold, StoreSilence, VMPause, VMKill}
	for at := meanStepInterval; at < s.Length; at += randomDuration(r, maxStepDuration, maxBlindDuration) {
		disrupting, share := silent, 1.0
		if r.IntN(2) == 0 {
			disrupting, share = mixed, blindShare
		}
		for target := range s.VMs - undisruptedVMs {
			if r.Float64() < share {
				start := at + randomDuration(r, 0, meanStepInterval)
				plan = append(plan, Step{At: start, For: randomDuration(r, maxStepDuration, maxBlindDuration), Kind: disrupting[r.IntN(len(disrupting))], Target: target})
			}
		}
	}
	slices.SortStableFunc(plan, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// newPausePlan returns series of benign events and of planned work, which overlap. The
// plan of every third seed has upstreams with odd answers besides.
func newPausePlan(seed uint64, r *rand.Rand, s Shape) []Step {
	series := [][]StepKind{{UpstreamPauseHead, UpstreamPauseBody}, {UpstreamPauseBody, UpstreamAlone}, {OddRegistration}, plannedWork}
	if seed%3 == 2 {
		series = append(series, []StepKind{UpstreamRepeat}, []StepKind{UpstreamResumeWrong})
	}
	var plan []Step
	for _, kinds := range series {
		for at := meanStepInterval; at < s.Length; at += time.Duration(r.ExpFloat64() * float64(meanStepInterval)) {
			step := Step{At: at, For: randomDuration(r, minPause, maxPause), Kind: kinds[r.IntN(len(kinds))], Target: r.IntN(s.VMs * s.Upstreams)}
			if step.Kind == UpstreamDrain {
				step.For = leaveDuration
			}
			plan = append(plan, step)
		}
	}
	slices.SortStableFunc(plan, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// newStopPlan returns planned stops that overlap with each other, with other planned work
// and with benign events.
func newStopPlan(r *rand.Rand, s Shape) []Step {
	return newSeries(r, s, []series{
		{kinds: []StepKind{VMStop}, interval: 2 * meanStepInterval, low: minStepDuration, high: maxStepDuration},
		{kinds: []StepKind{UpstreamLong}, interval: 2 * meanStepInterval, low: minLong, high: maxLong},
		{kinds: []StepKind{UpstreamPauseHead, UpstreamPauseBody, UpstreamUnframed}, interval: 2 * meanStepInterval, low: minPause, high: maxPause},
		{kinds: []StepKind{VMReload, Configure, UpstreamDrain, UpstreamLeave}, interval: 2 * meanStepInterval, low: leaveDuration, high: maxLong},
	})
}

// newAnswerPlan returns upstreams that pause, refuse, leave or break off, while planned
// work is done.
func newAnswerPlan(r *rand.Rand, s Shape) []Step {
	return newSeries(r, s, []series{
		{kinds: []StepKind{UpstreamPauseRefused, UpstreamPauseRefused, UpstreamPauseBroken}, interval: meanStepInterval, low: 2 * minPause, high: 2 * maxPause},
		{kinds: []StepKind{UpstreamCutHead, UpstreamNoBody, UpstreamUnframed}, interval: 2 * meanStepInterval, low: minStepDuration, high: minPause},
		{kinds: []StepKind{UpstreamAskPause, UpstreamLeave}, interval: 2 * meanStepInterval, low: minPause, high: maxPause},
		{kinds: plannedWork, interval: 2 * meanStepInterval, low: leaveDuration, high: maxLong},
	})
}

// newUnsentPlan returns streams that break off right after whole events, while the
// configuration changes again and again, upstreams leave and VMs stop as planned. Upstreams
// pause in the plans of odd seeds.
func newUnsentPlan(seed uint64, r *rand.Rand, s Shape) []Step {
	all := []series{
		{kinds: []StepKind{UpstreamPart}, interval: meanStepInterval, low: minStepDuration, high: minPause},
		{kinds: []StepKind{Configure, VMReload}, interval: meanStepInterval / 2, low: minStepDuration, high: maxStepDuration},
		{kinds: []StepKind{VMStop}, interval: 2 * meanStepInterval, low: minStepDuration, high: maxStepDuration},
		{kinds: []StepKind{UpstreamDrain, UpstreamLeave}, interval: 3 * meanStepInterval, low: leaveDuration, high: maxLong},
	}
	if seed%2 == 1 {
		all = append(all, series{kinds: []StepKind{UpstreamPauseHead, UpstreamPauseBody}, interval: 2 * meanStepInterval, low: minPause, high: maxPause})
	}
	return newSeries(r, s, all)
}

// series describes steps that follow each other at random intervals.
type series struct {
	kinds     []StepKind
	interval  time.Duration // the mean interval
	low, high time.Duration // bounds of the duration of a step
}

// newSeries returns the steps of several series, which overlap.
func newSeries(r *rand.Rand, s Shape, all []series) []Step {
	var plan []Step
	for _, one := range all {
		for at := meanStepInterval; at < s.Length; at += time.Duration(r.ExpFloat64() * float64(one.interval)) {
			plan = append(plan, Step{At: at, For: randomDuration(r, one.low, one.high), Kind: one.kinds[r.IntN(len(one.kinds))], Target: r.IntN(s.VMs * s.Upstreams)})
		}
	}
	slices.SortStableFunc(plan, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// randomDuration returns a duration from low up to, but not including, high.
func randomDuration(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)))
}

// Interval is a step and the time during which it was in effect.
type Interval struct {
	Step
	From, To time.Time
	// Subject is the VM or the upstream that the step affects, empty for all.
	Subject string
}

// History holds the steps that were in effect during a run.
type History []Interval

// settleTime is the time after a disruption within which a VM must meet the
// guarantees with a time limit again: TouchMs of the platform.
const settleTime = 4 * time.Second

// Undisrupted reports whether no disruption was in effect from settleTime before
// from until to.
func (h History) Undisrupted(from, to time.Time) bool {
	return !slices.ContainsFunc(h, func(i Interval) bool { return i.disrupts(from, to) })
}

// UndisruptedFor is like Undisrupted for a call that only the named VMs and upstreams
// take part in.
func (h History) UndisruptedFor(from, to time.Time, subjects ...string) bool {
	return !slices.ContainsFunc(h, func(i Interval) bool {
		return i.disrupts(from, to) && (i.Subject == "" || slices.Contains(subjects, i.Subject))
	})
}

func (i Interval) disrupts(from, to time.Time) bool {
	return i.Kind.Disrupts() && i.From.Before(to) && i.To.After(from.Add(-settleTime))
}

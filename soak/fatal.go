package soak

import (
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryshift/savoryshift/platform/standin"
	"github.com/savoryshift/savoryshift/standin/endless"
)

// Runs with requests that end the engines which answer them, and with bytes without end,
// in series with other faults.
const (
	// firstFatalSeed is the first seed of these runs.
	firstFatalSeed = 50_000
	fatalEngines   = 10
	fatalRestart   = 2500 * time.Millisecond
	// firstRestartSeed is the first seed of the runs with one fatal part in which VMs are killed,
	// also all of them, and the store may be away when they start again.
	firstRestartSeed = 55_000
	// Sound requests are sent at soundInterval, fatal ones at fatalInterval from fatalStart
	// on and, as from a second client, with another part from the middle of the run on.
	soundInterval = 25 * time.Millisecond
	fatalInterval = 100 * time.Millisecond
	fatalStart    = 3 * time.Second
	// minFatalLength leaves time for two parts and the checks after them.
	minFatalLength = 26 * time.Second
	// A part that has ended fatalEnds engines may reach maxLateArrivals more, later than
	// touchTime after the fifth end: TouchMs of the platform.
	fatalEnds       = 5
	maxLateArrivals = 3
	touchTime       = 3 * time.Second
	// minSoundShare is the share of the sound requests that must be served then, as a part of
	// the share before, if there are at least minSoundRequests of them.
	minSoundShare    = 0.5
	minSoundRequests = 20
)

// The kinds of steps that only these runs have.
const (
	EngineEnds    StepKind = "engine ends for a reason of its own"
	EngineEndless StepKind = "engine sends bytes without end"
)

// fatalLoad describes the requests that end engines, and the answers of engines.
type fatalLoad struct {
	fatal    standin.Fatal
	interval time.Duration
	engine   standin.Behaviour
}

// newFatalLoad returns the load of a seed.
func newFatalLoad(seed uint64) fatalLoad {
	l := fatalLoad{
		fatal:    standin.Fatal{Parts: []string{"fatal-a", "fatal-b"}, After: 120 * time.Millisecond, HalfEvent: seed%2 == 0},
		interval: fatalInterval, engine: healthyBehaviour("model"),
	}
	if seed < firstRestartSeed {
		return l
	}
	r := rand.New(rand.NewPCG(seed, 2))
	l.fatal = standin.Fatal{Parts: l.fatal.Parts[:1], After: 20 * time.Millisecond, HalfEvent: true, Whole: r.IntN(streamEvents - 1)}
	l.interval = []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second}[r.IntN(4)]
	l.engine.EventEvery = []time.Duration{l.engine.EventEvery, 200 * time.Millisecond}[r.IntN(2)]
	return l
}

// length returns the least length of a run with the load: time for the fatal requests until the
// part is known, and for those after it.
func (l fatalLoad) length() time.Duration {
	return max(minFatalLength, fatalStart+12*l.interval+10*time.Second)
}

// soundCall is a sound request and what its client got.
type soundCall struct {
	at      time.Time
	vm      string
	outcome string
}

// served is the outcome of a request that was answered whole.
const served = "served"

// fatalRun is the state of one of these runs.
type fatalRun struct {
	*System
	engines *standin.Engines
	rand    *rand.Rand

	mu    sync.Mutex
	vmOf  map[string]string // by request
	sound []soundCall
	sent  int
	wait  sync.WaitGroup
}

// newFatalPlan returns disruptions of VMs and of the store, planned work, and faults of
// engines that are not due to a request.
func newFatalPlan(r *rand.Rand, s Shape) []Step {
	plan := newSeries(r, s, []series{
		{kinds: []StepKind{VMKill, VMPause, StoreHold, StoreSilence}, interval: 6 * meanStepInterval, low: minStepDuration, high: maxStepDuration},
		{kinds: []StepKind{VMStop, VMReload, Configure}, interval: 6 * meanStepInterval, low: minStepDuration, high: maxStepDuration},
		{kinds: []StepKind{EngineEnds, EngineEndless}, interval: 3 * meanStepInterval, low: minStepDuration, high: minPause},
	})
	for i := range plan {
		plan[i].At += fatalStart
	}
	return plan
}

const (
	// minDown and maxDown bound the time for which killed VMs are down.
	minDown = 500 * time.Millisecond
	maxDown = 5 * time.Second
	// maxStoreLead is how long before a kill a fault of the store begins, at most.
	maxStoreLead = time.Second
)

// newRestartPlan returns kills of one or all VMs, some of them while the store is away or slow,
// and ends of engines that are not due to a request.
func newRestartPlan(r *rand.Rand, s Shape) []Step {
	plan := newSeries(r, s, []series{{kinds: []StepKind{EngineEnds}, interval: 5 * meanStepInterval, low: minStepDuration, high: minPause}})
	for range 1 + r.IntN(4) {
		kill := Step{At: fatalStart + randomDuration(r, 0, s.Length*2/3), For: randomDuration(r, minDown, maxDown), Kind: []StepKind{KillAll, KillAll, VMKill}[r.IntN(3)], Target: r.IntN(s.VMs)}
		plan = append(plan, kill)
		if r.IntN(2) == 0 {
			lead := randomDuration(r, 0, maxStoreLead)
			kinds := []StepKind{StoreDown, StoreDelay, StoreLoseReplies, StoreReset}
			plan = append(plan, Step{At: kill.At - lead, For: lead + kill.For + randomDuration(r, 0, maxStepDuration), Kind: kinds[r.IntN(len(kinds))]})
		}
	}
	slices.SortStableFunc(plan, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// runFatal executes the plan of a seed and returns what was violated.
func (s *System) runFatal(seed uint64, plan []Step, length time.Duration) []string {
	load := newFatalLoad(seed)
	engines, err := standin.StartEngines(s.store, fatalEngines, fatalRestart, load.engine)
	assert.NilError(s.t, err)
	s.t.Cleanup(engines.Close)
	f := &fatalRun{System: s, engines: engines, rand: rand.New(rand.NewPCG(seed, 1)), vmOf: map[string]string{}}
	engines.SetFatal(load.fatal)
	time.Sleep(time.Second) // until the VMs know the engines
	begun := time.Now()
	var steps sync.WaitGroup
	steps.Go(func() {
		for _, step := range plan {
			time.Sleep(time.Until(begun.Add(step.At)))
			steps.Go(func() { f.runStep(step) })
		}
	})
	done := make(chan struct{})
	f.pollReadiness(done)
	f.load(begun, length, load)
	close(done)
	steps.Wait()
	f.wait.Wait()
	s.stopAll()
	return f.violations(load.fatal.Parts)
}

// runStep applies a step; those of the other runs are applied as there.
func (f *fatalRun) runStep(step Step) {
	switch step.Kind {
	case EngineEnds:
		f.engines.EndOne()
	case EngineEndless:
		kinds := endless.Kinds()
		f.engines.Disturb(standin.Behaviour{Endless: kinds[step.variant(len(kinds))]}, step.For)
	default:
		f.System.runStep(step)
	}
}

// load sends requests for the length of the run.
func (f *fatalRun) load(begun time.Time, length time.Duration, l fatalLoad) {
	parts, ticks := l.fatal.Parts, int(l.interval/soundInterval)
	tick := time.NewTicker(soundInterval)
	defer tick.Stop()
	for n := 0; time.Since(begun) < length; n++ {
		<-tick.C
		f.send(true, "shared", fmt.Sprintf("session-%d", f.rand.IntN(12)))
		at := time.Since(begun)
		if at < fatalStart || n%ticks != 0 {
			continue
		}
		part := parts[0]
		if len(parts) > 1 && at > length/2 && n%(2*ticks) == 0 {
			part = parts[1]
		}
		if f.rand.IntN(2) == 0 {
			f.send(false, part, "shared")
		} else {
			f.send(false, "shared", part)
		}
	}
}

// readyVM returns a VM that is in the balancer's rotation, or any if none is.
func (f *fatalRun) readyVM() *vm {
	first := f.rand.IntN(len(f.vms))
	for i := range f.vms {
		m := f.vms[(first+i)%len(f.vms)]
		m.mu.Lock()
		ready := m.ready
		m.mu.Unlock()
		if ready {
			return m
		}
	}
	return f.vms[first]
}

// pollReadiness keeps the balancer's rotation until the run ends.
func (f *fatalRun) pollReadiness(done <-chan struct{}) {
	for _, m := range f.vms {
		go func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(probePeriod):
				}
				ready := m.checkReady()
				m.mu.Lock()
				m.ready = ready
				m.mu.Unlock()
			}
		}()
	}
}

// send sends a request to a VM that runs, in the background.
func (f *fatalRun) send(sound bool, shared ...string) {
	m := f.readyVM()
	f.sent++
	id := fmt.Sprintf("fatal-%d", f.sent)
	header := standin.ClientHeader(id, standin.Key, id)
	standin.SetParts(header, append(shared, "own-"+id)...)
	at := time.Now()
	f.mu.Lock()
	f.vmOf[id] = m.settings.VM
	f.mu.Unlock()
	f.wait.Go(func() {
		outcome := f.call(m, header)
		if !sound {
			return
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.sound = append(f.sound, soundCall{at: at, vm: m.settings.VM, outcome: outcome})
	})
}

// call sends a request over a new connection and returns its outcome.
func (f *fatalRun) call(m *vm, header http.Header) string {
	req, err := http.NewRequest(http.MethodPost, "http://"+m.frontLink.Address()+"/stream/x", strings.NewReader("body"))
	assert.Check(f.t, err)
	req.Host, req.Header, req.Close = standin.Host, header, true
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * routeTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return "no response"
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return "broken"
	case resp.StatusCode != http.StatusOK:
		return strings.TrimSpace(string(body))
	case strings.Count(string(body), "\nid: ")+1 != streamEvents:
		return "events are missing"
	}
	return served
}

// violations describes what was violated.
func (f *fatalRun) violations(parts []string) []string {
	var problems []string
	var lastFifth time.Time
	for _, part := range parts {
		ends, late := f.engines.Ends(part), 0
		if len(ends) < fatalEnds {
			continue
		}
		fifth := ends[fatalEnds-1]
		lastFifth = later(lastFifth, fifth)
		for _, a := range f.engines.Arrivals() {
			if a.FatalPart == part && a.At.Sub(fifth) > touchTime && f.inTouch(f.vmOf[a.Attempt], a.At) {
				late++
			}
		}
		f.t.Logf("%s: %d engines ended, %d late arrivals", part, len(ends), late)
		if late > maxLateArrivals {
			problems = append(problems, fmt.Sprintf("%s: %d requests reached engines later than %v after the fifth end", part, late, touchTime))
		}
	}
	if problem := f.checkSound(lastFifth); problem != "" {
		problems = append(problems, problem)
	}
	return problems
}

// inTouch reports whether no fault and no planned stop of a VM was in effect within
// settleTime before a time. The platform's bounds hold only then.
func (f *fatalRun) inTouch(vm string, at time.Time) bool {
	stopped := slices.ContainsFunc(f.record.History, func(i Interval) bool {
		return i.Kind == VMStop && i.Subject == vm && i.From.Before(at) && i.To.After(at.Add(-settleTime))
	})
	return !stopped && f.record.History.UndisruptedFor(at, at, vm)
}

// checkSound compares the sound requests before the first fatal one with those after the
// last fifth end, at VMs that no step disrupts.
func (f *fatalRun) checkSound(lastFifth time.Time) string {
	count := func(from, to time.Time) (whole, sent int, outcomes map[string]int) {
		outcomes = map[string]int{}
		for _, c := range f.sound {
			if c.at.Before(from) || c.at.After(to) || !f.record.History.UndisruptedFor(c.at, c.at.Add(routeTimeout), c.vm) {
				continue
			}
			outcomes[c.outcome]++
			sent++
		}
		return outcomes[served], sent, outcomes
	}
	if len(f.sound) == 0 || lastFifth.IsZero() {
		return ""
	}
	begun := f.sound[0].at
	before, sentBefore, _ := count(begun, begun.Add(fatalStart))
	after, sentAfter, outcomes := count(lastFifth.Add(2*touchTime), time.Now())
	f.t.Logf("sound requests: %d of %d served before, %d of %d after: %v", before, sentBefore, after, sentAfter, outcomes)
	if sentBefore < minSoundRequests || sentAfter < minSoundRequests {
		return ""
	}
	if share, least := float64(after)/float64(sentAfter), minSoundShare*float64(before)/float64(sentBefore); share < least {
		return fmt.Sprintf("%.2f of the sound requests are served, wanted at least %.2f", share, least)
	}
	return ""
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

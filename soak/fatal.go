package soak

import (
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
	// Sound requests are sent at soundInterval, fatal ones at fatalInterval from fatalStart
	// on and, as from a second client, with another part from the middle of the run on.
	soundInterval = 25 * time.Millisecond
	fatalInterval = 100 * time.Millisecond
	fatalStart    = 3 * time.Second
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

// runFatal executes the plan of a seed and returns what was violated.
func (s *System) runFatal(seed uint64, plan []Step, length time.Duration) []string {
	engines, err := standin.StartEngines(s.store, fatalEngines, fatalRestart, healthyBehaviour("model"))
	assert.NilError(s.t, err)
	s.t.Cleanup(engines.Close)
	f := &fatalRun{System: s, engines: engines, rand: rand.New(rand.NewPCG(seed, 1)), vmOf: map[string]string{}}
	parts := []string{"fatal-a", "fatal-b"}
	engines.SetFatal(standin.Fatal{Parts: parts, After: 120 * time.Millisecond, HalfEvent: seed%2 == 0})
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
	f.load(begun, length, parts)
	close(done)
	steps.Wait()
	f.wait.Wait()
	s.stopAll()
	return f.violations(parts)
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
func (f *fatalRun) load(begun time.Time, length time.Duration, parts []string) {
	tick := time.NewTicker(soundInterval)
	defer tick.Stop()
	for n := 0; time.Since(begun) < length; n++ {
		<-tick.C
		f.send(true, "shared", fmt.Sprintf("session-%d", f.rand.IntN(12)))
		at := time.Since(begun)
		if at < fatalStart || n%int(fatalInterval/soundInterval) != 0 {
			continue
		}
		part := parts[0]
		if at > length/2 && n%(2*int(fatalInterval/soundInterval)) == 0 {
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

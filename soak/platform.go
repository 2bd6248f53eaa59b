package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/savoryshift/savoryshift/platform/standin"
)

// Runs with evacuations, cold upstreams and a store that is restored from an older copy.
const (
	// evacuationBound is the time within which an evacuation must be in force.
	evacuationBound = 5 * time.Second
	// coldStart is how long the upstreams of all services are cold, and coldRate the rate of
	// requests per second that they take then. coldRatio and coldSlack are bounds in the
	// settings of the VMs.
	coldStart = 4 * time.Second
	coldRate  = 2.0
	coldRatio = 1.5
	coldSlack = 5.0
	// platformUpstreams leaves a service warm upstreams while one leaves and a zone is
	// evacuated.
	platformUpstreams = 4
	// minPlatformLength leaves time for two evacuations.
	minPlatformLength = 18 * time.Second
	// minEvacuated and maxEvacuated bound the duration of an evacuation, maxReturned the
	// time until the next one begins.
	minEvacuated = evacuationBound + time.Second
	maxEvacuated = evacuationBound + 4*time.Second
	maxReturned  = 4 * time.Second
	// minCopyAge and maxCopyAge bound the age of the copy from which the store is restored.
	minCopyAge = 2500 * time.Millisecond
	maxCopyAge = 6 * time.Second
	// copyLead is the time between a copy and the evacuation that it lacks.
	copyLead = 200 * time.Millisecond
	// restoreOutage is the time for which the store is unavailable before it is restored.
	restoreOutage = 300 * time.Millisecond
	// Upstreams write their registrations again heartbeat after a restore, the operator its
	// rows from minRepeatDelay to maxRepeatDelay after it.
	heartbeat      = 500 * time.Millisecond
	minRepeatDelay = time.Second
	maxRepeatDelay = 3 * time.Second
	// withdrawnKeyInterval is the mean interval of requests with a withdrawn key.
	withdrawnKeyInterval = 50 * time.Millisecond
	// maxKeyAge is the number of the configurations before the newest one whose keys are used.
	maxKeyAge = 3
)

// ColdPeriod is the time during which an upstream is cold. It lasts coldStart.
type ColdPeriod struct {
	Upstream string
	From     time.Time
}

// Evacuation is the evacuation of a zone, from the acceptance of the row until its removal
// begins.
type Evacuation struct {
	Zone     string
	From, To time.Time
	// Upstreams holds the upstreams in the zone that were started before the removal.
	Upstreams []string
}

// Restore is an outage of the store after which it had an older content.
type Restore struct {
	From, To time.Time
	// Repeated is when the last of its writers had written again.
	Repeated time.Time
}

// newPlatformPlan returns evacuations, starts of cold upstreams and restored stores, while
// planned work is done. The plans of odd seeds disrupt the first VMs besides.
func newPlatformPlan(seed uint64, r *rand.Rand, s Shape) []Step {
	all := []series{
		{kinds: []StepKind{Configure, Configure, VMReload, UpstreamDrain, VMStop}, interval: 3 * meanStepInterval, low: leaveDuration, high: maxLong},
		{kinds: []StepKind{ColdStart}, interval: 4 * meanStepInterval, low: minStepDuration, high: maxStepDuration},
	}
	plan := newSeries(r, s, all)
	for at := copyLead + randomDuration(r, 0, maxReturned); at < s.Length; {
		step := Step{At: at, For: randomDuration(r, minEvacuated, maxEvacuated), Kind: ZoneEvacuate, Target: r.IntN(s.Zones)}
		if r.IntN(4) > 0 {
			// The copy lacks the evacuation and is restored when that must be in force.
			restore := Step{At: at - copyLead, For: copyLead + evacuationBound + randomDuration(r, minStepDuration, time.Second), Kind: StoreRestore}
			step.For = max(step.For, evacuationBound+maxRepeatDelay)
			plan = append(plan, restore)
			if r.IntN(3) == 0 { // again within the time for which VMs hold rows
				restore.For += randomDuration(r, minStepDuration, maxStepDuration)
				plan = append(plan, restore)
			}
		} else {
			plan = append(plan, Step{At: at + randomDuration(r, 0, step.For), For: randomDuration(r, minCopyAge, maxCopyAge), Kind: StoreRestore})
		}
		plan = append(plan, step)
		at += step.For + randomDuration(r, 0, maxReturned)
	}
	if seed%2 == 1 {
		disrupting := []StepKind{VMKill, VMPause, StoreHold, StoreSilence}
		for at := meanStepInterval; at < s.Length; at += time.Duration(r.ExpFloat64() * float64(3*meanStepInterval)) {
			plan = append(plan, Step{At: at, For: randomDuration(r, minStepDuration, maxBlindDuration), Kind: disrupting[r.IntN(len(disrupting))], Target: r.IntN(s.VMs - undisruptedVMs)})
		}
	}
	slices.SortStableFunc(plan, func(a, b Step) int { return int(a.At - b.At) })
	return plan
}

// extendConfiguration makes all services have cold upstreams and adds the key of the version.
func extendConfiguration(configuration map[string]any, version int) {
	standin.SetColdStarts(configuration, "", coldStart, coldRate)
	standin.SetKeys(configuration, standin.Key, keyOf(version))
}

// keyOf returns the key that only the configuration of a version has, or the one that all
// have for version 0.
func keyOf(version int) string {
	if version == 0 {
		return standin.Key
	}
	return "key-of-" + strconv.Itoa(version)
}

// evacuate evacuates a zone for the duration of a step.
func (s *System) evacuate(step Step) {
	zone := fmt.Sprintf("z%d", step.Target)
	s.storeWrites.RLock()
	s.store.Put("op", "evacuate/"+zone, map[string]any{})
	from := time.Now()
	s.storeWrites.RUnlock()
	time.Sleep(step.For)
	s.storeWrites.RLock()
	defer s.storeWrites.RUnlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	e := Evacuation{Zone: zone, From: from, To: time.Now()}
	for _, u := range s.upstreams {
		if u.Zone == zone {
			e.Upstreams = append(e.Upstreams, u.ID)
		}
	}
	s.record.Evacuations = append(s.record.Evacuations, e)
	s.store.Remove("op", "evacuate/"+zone)
}

// startCold starts an upstream during traffic. In half of the cases, the others of its service
// refuse all requests for the duration of the step, so that the load shifts to cold ones.
func (s *System) startCold(step Step) {
	s.mu.Lock()
	s.addUpstream([]string{"model", "desk", "desk2"}[step.variant(3)])
	u := s.upstreams[len(s.upstreams)-1]
	s.mu.Unlock()
	if step.Target%2 == 0 {
		s.injectResponseFaults(step, UpstreamRefuse, s.othersOfService(u))
	}
}

// restoreStore makes the store unavailable for a moment and restores it from a copy as old as
// the step is long. Its writers write again afterwards.
func (s *System) restoreStore(step Step) {
	copied := s.store.Backup()
	time.Sleep(step.For)
	s.storeWrites.Lock()
	restore := Restore{From: time.Now()}
	s.store.SetFault(standin.Fault{Down: true})
	time.Sleep(restoreOutage)
	s.store.Restore(copied)
	s.store.SetFault(standin.Fault{})
	restore.To = time.Now()
	s.storeWrites.Unlock()
	var writers sync.WaitGroup
	writers.Go(func() {
		time.Sleep(heartbeat)
		s.store.Repeat("servers")
	})
	time.Sleep(minRepeatDelay + step.For%(maxRepeatDelay-minRepeatDelay))
	s.store.Repeat("op")
	writers.Wait()
	restore.Repeated = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Restores = append(s.record.Restores, restore)
}

// startWithdrawnKeys sends requests with keys of earlier configurations to the VMs, also to
// those that are not in rotation.
func (c *loadGenerator) startWithdrawnKeys() {
	c.wg.Go(func() {
		r := rand.New(rand.NewPCG(c.seed, 0))
		for !c.stopsWithin(time.Duration(r.Int64N(int64(2 * withdrawnKeyInterval)))) {
			c.system.mu.Lock()
			newest := c.system.configVersion
			c.system.mu.Unlock()
			if newest == 1 {
				continue
			}
			m := c.system.vms[r.IntN(len(c.system.vms))]
			key := newest - 1 - r.IntN(min(maxKeyAge, newest-1))
			c.wg.Go(func() {
				transport := &http.Transport{DisableKeepAlives: true, DialContext: m.dial}
				c.call(transport, request{route: "look", timeout: callDeadline, direct: true, key: key})
			})
		}
	})
}

// inForce returns the time from which on a change accepted at a time must be in force in VMs
// in touch. That is after the bound, or settleTime after the store has returned if it was
// unavailable meanwhile or shortly before. A change that the restored store may lack counts
// from the time at which it was written again.
func (r Record) inForce(at time.Time, bound time.Duration) time.Time {
	due := at.Add(bound)
	restores := slices.SortedFunc(slices.Values(r.Restores), func(a, b Restore) int { return a.From.Compare(b.From) })
	for _, restore := range restores {
		if restore.From.After(due) || restore.To.Before(at.Add(-settleTime)) {
			continue
		}
		back := restore.To
		if !at.After(restore.To) {
			back = restore.Repeated
		}
		if settled := back.Add(settleTime); settled.After(due) {
			due = settled
		}
	}
	return due
}

// checkWithdrawnKey expects no request with a key that the newest configurations lack to run,
// when the change was in force and the VM in touch with the store.
func (r Record) checkWithdrawnKey(c Call, runs []standin.Run) string {
	if c.Key == 0 || len(runs) == 0 {
		return ""
	}
	for _, change := range r.Changes {
		if change.Version > c.Key && c.Sent.After(r.inForce(change.At, configurationBound)) && r.History.UndisruptedFor(c.Sent, c.Sent, c.VM) {
			return "a request with a withdrawn key ran"
		}
	}
	return ""
}

// checkEvacuations expects no request at an upstream in an evacuated zone once the evacuation
// is in force, from a VM in touch with the store.
func (r Record) checkEvacuations() []string {
	vms := make(map[string]string)
	for _, c := range r.Calls {
		vms[c.ID] = c.VM
	}
	var violations []string
	for _, e := range r.Evacuations {
		due := r.inForce(e.From, evacuationBound)
		for _, a := range r.arrivals() {
			if slices.Contains(e.Upstreams, a.upstream) && a.at.After(due) && a.at.Before(e.To) && r.History.UndisruptedFor(a.at, a.at, vms[a.attempt]) {
				violations = append(violations, fmt.Sprintf("an upstream in zone %s, evacuated %v before, received a request of %s: %+v", e.Zone, a.at.Sub(e.From), vms[a.attempt], a))
			}
		}
	}
	return violations
}

// arrival is a request that reached an upstream, which ran or refused it.
type arrival struct {
	upstream, attempt string
	at                time.Time
}

// arrivals returns the requests that reached an upstream, in the order of their arrival.
func (r Record) arrivals() []arrival {
	var all []arrival
	for _, run := range r.Runs {
		all = append(all, arrival{run.Upstream, run.Attempt, run.Started})
	}
	for _, refusal := range r.Refusals {
		all = append(all, arrival{refusal.Upstream, refusal.Attempt, refusal.Arrived})
	}
	slices.SortFunc(all, func(a, b arrival) int { return a.at.Compare(b.at) })
	return all
}

// coldPeriods returns the times during which upstreams are cold: after their start, and after
// the return of their zone unless a disruption kept a VM from knowing of the evacuation.
func (r Record) coldPeriods() []ColdPeriod {
	all := slices.Clone(r.ColdStarts)
	for _, e := range r.Evacuations {
		if r.History.Undisrupted(e.From, e.To.Add(coldStart)) && !r.History.stopped(e.From, e.To.Add(coldStart)) && e.To.After(r.inForce(e.From, evacuationBound)) {
			for _, upstream := range e.Upstreams {
				all = append(all, ColdPeriod{upstream, e.To})
			}
		}
	}
	return all
}

// stopped reports whether a VM stopped as planned. When it starts again, it does not know that
// a zone was evacuated before.
func (h History) stopped(from, to time.Time) bool {
	return slices.ContainsFunc(h, func(i Interval) bool { return i.Kind == VMStop && i.From.Before(to) && i.To.After(from) })
}

// checkColdUpstreams expects at most coldRate x coldRatio + coldSlack requests at a cold
// upstream in any second, unless the process of the test did not run shortly before, so that
// the upstream received earlier requests late.
func (r Record) checkColdUpstreams() []string {
	const most = int(coldRate*coldRatio + coldSlack)
	var violations []string
	all := r.arrivals()
	for _, period := range r.coldPeriods() {
		arrivals := slices.DeleteFunc(slices.Clone(all), func(a arrival) bool {
			return a.upstream != period.Upstream || a.at.Before(period.From) || a.at.After(period.From.Add(coldStart))
		})
		for i := most; i < len(arrivals); i++ {
			first, last := arrivals[i-most].at, arrivals[i].at
			stalled := slices.ContainsFunc(r.History, func(i Interval) bool {
				return i.Kind == ProcessStall && i.From.Before(last) && i.To.After(first.Add(-time.Second))
			})
			if last.Sub(first) < time.Second && !stalled {
				violations = append(violations, fmt.Sprintf("a cold upstream received more than %d requests in a second, %v after it became cold: %+v", most, last.Sub(period.From), arrivals[i-most:i+1]))
				break
			}
		}
	}
	return violations
}

// platformSummary describes how much the run had to check.
func (r Record) platformSummary() string {
	cold, withdrawn := 0, 0
	all := r.arrivals()
	periods := r.coldPeriods()
	for _, period := range periods {
		for _, a := range all {
			if a.upstream == period.Upstream && a.at.After(period.From) && a.at.Before(period.From.Add(coldStart)) {
				cold++
			}
		}
	}
	for _, c := range r.Calls {
		if c.Key > 0 {
			withdrawn++
		}
	}
	return fmt.Sprintf("%d evacuations, %d restores, %d cold periods with %d requests, %d calls with withdrawn keys", len(r.Evacuations), len(r.Restores), len(periods), cold, withdrawn)
}

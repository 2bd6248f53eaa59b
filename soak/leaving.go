package soak

import (
	"fmt"
	"time"
)

// checkDrainedUpstreams expects no new work at an upstream later than drainBound
// after its drain began, unless a disruption of the VM, the upstream or the whole
// system was in effect.
func (r Record) checkDrainedUpstreams() []string {
	var violations []string
	vms := make(map[string]string)
	for _, c := range r.Calls {
		vms[c.ID] = c.VM
	}
	for _, change := range r.Changes {
		for _, run := range r.Runs {
			if run.Upstream == change.Upstream && run.Started.After(r.inForce(change.At, drainBound)) && r.History.UndisruptedFor(change.At, run.Started, vms[run.Attempt], run.Upstream) {
				violations = append(violations, fmt.Sprintf("an upstream that left %v before received work: %+v", run.Started.Sub(change.At), run))
			}
		}
	}
	return violations
}

// checkLeavingUpstreams expects no request at an upstream that was sent later than
// drainBound after the VM had passed on a response in which the upstream said that it
// leaves, unless the process of the VM was paused or started again since.
func (r Record) checkLeavingUpstreams() []string {
	type pair struct{ vm, upstream string }
	calls, known := make(map[string]Call), make(map[pair][]time.Time)
	for _, c := range r.Calls {
		calls[c.ID] = c
	}
	for _, run := range r.Runs {
		if c := calls[run.Attempt]; run.Leaving && c.Complete && c.Upstream == run.Upstream {
			known[pair{c.VM, run.Upstream}] = append(known[pair{c.VM, run.Upstream}], c.Ended)
		}
	}
	var violations []string
	for _, run := range r.Runs {
		c := calls[run.Attempt]
		for _, at := range known[pair{c.VM, run.Upstream}] {
			if c.Sent.Sub(at) > drainBound && !r.History.interrupted(c.VM, at, run.Started) {
				violations = append(violations, fmt.Sprintf("an upstream that had said %v before that it leaves received work: %+v, run %+v", c.Sent.Sub(at), c, run))
				break
			}
		}
	}
	return violations
}

// checkAskedPauses expects at most maxPausedArrivals requests of one VM at an upstream in
// the pause for which it asked that VM, from pauseSettleTime after its refusal on, unless
// the process of the VM was paused or started again meanwhile.
func (r Record) checkAskedPauses() []string {
	vms := make(map[string]string)
	for _, c := range r.Calls {
		vms[c.ID] = c.VM
	}
	type arrival struct {
		vm, upstream string
		at           time.Time
	}
	var arrivals []arrival
	for _, run := range r.Runs {
		arrivals = append(arrivals, arrival{vms[run.Attempt], run.Upstream, run.Started})
	}
	for _, refusal := range r.Refusals {
		arrivals = append(arrivals, arrival{vms[refusal.Attempt], refusal.Upstream, refusal.Arrived})
	}
	var violations []string
	for _, refusal := range r.Refusals {
		vm, from, to := vms[refusal.Attempt], refusal.At.Add(pauseSettleTime), refusal.At.Add(refusal.RetryAfter)
		n := 0
		for _, a := range arrivals {
			if a.vm == vm && a.upstream == refusal.Upstream && a.at.After(from) && a.at.Before(to) {
				n++
			}
		}
		if n > maxPausedArrivals && !r.History.interrupted(vm, refusal.At, to) {
			violations = append(violations, fmt.Sprintf("an upstream received %d requests of %s in the pause for which it had asked: %+v", n, vm, refusal))
		}
	}
	return violations
}

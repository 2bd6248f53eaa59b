package bench

import (
	"fmt"
	"runtime"
	"sync"
	"time"
)

// Options selects and configures the simulations of Run.
type Options struct {
	Workload *Workload
	// Routers, Levels and Faults select cells; empty means all.
	Routers, Levels, Faults []string
	Seeds                   []uint64
	// Rate, when above 0, replaces the level's number of arrivals per second.
	Rate float64
	// Surge changes the rate for a time when its factor is above 0.
	Surge Surge
	// Workers is the maximum number of concurrent simulations. The default is half
	// of GOMAXPROCS.
	Workers int
}

// Surge multiplies the arrival rate by Factor for ForS seconds, from FromS seconds
// after the start on.
type Surge struct {
	Factor, FromS, ForS float64
}

// recoveryTime is the time after a surge within which service must be back to
// normal.
const recoveryTime = 5 * time.Second

// recoveredAt is the time from which service must be normal again.
func (s Surge) recoveredAt() time.Duration { return seconds(s.FromS+s.ForS) + recoveryTime }

func (s Surge) active(at time.Duration) bool {
	return s.Factor > 0 && at >= seconds(s.FromS) && at < seconds(s.FromS+s.ForS)
}

// drainTime is how long a run goes on after the last arrival, so that open
// requests can be answered.
const drainTime = 60 * time.Second

// Run simulates all selected cells and returns them in a fixed order.
func Run(o Options) ([]*Cell, error) {
	plan, err := selectCells(&o)
	if err != nil {
		return nil, err
	}
	workers := o.Workers
	if workers <= 0 {
		workers = max(1, runtime.GOMAXPROCS(0)/2)
	}
	var wg sync.WaitGroup
	limit := make(chan struct{}, workers)
	for _, c := range plan {
		wg.Add(1)
		limit <- struct{}{}
		go func() {
			defer wg.Done()
			o.runCell(c)
			<-limit
		}()
	}
	wg.Wait()
	return plan, nil
}

// selectCells returns an empty cell for each selected level, fault and router.
func selectCells(o *Options) ([]*Cell, error) {
	w := o.Workload
	routers, levels, faults := o.Routers, o.Levels, o.Faults
	if len(routers) == 0 {
		routers = append(RouterNames(), routerOracle)
	}
	if len(levels) == 0 {
		levels = levelNames(w)
	}
	if len(faults) == 0 {
		for _, f := range w.Faults {
			faults = append(faults, f.Name)
		}
	}
	var plan []*Cell
	for _, l := range levels {
		if _, ok := w.ArrivalsPerS[l]; !ok {
			return nil, fmt.Errorf("no level %q in workload %s", l, w.Name)
		}
		for _, f := range faults {
			if _, err := w.Fault(f); err != nil {
				return nil, err
			}
			for _, r := range routers {
				if !knownRouter(r) {
					return nil, fmt.Errorf("unknown router %q", r)
				}
				plan = append(plan, newCell(w, r, l, f))
			}
		}
	}
	return plan, nil
}

func knownRouter(name string) bool {
	return contains(RouterNames(), name) || contains(comparators(), name)
}

// levelNames returns the names of the levels in order of their arrival rates.
func levelNames(w *Workload) []string {
	var names []string
	for name := range w.ArrivalsPerS {
		i := len(names)
		names = append(names, name)
		for i > 0 && w.ArrivalsPerS[names[i-1]] > w.ArrivalsPerS[name] {
			names[i] = names[i-1]
			i--
		}
		names[i] = name
	}
	return names
}

func (o *Options) runCell(c *Cell) {
	fault, _ := o.Workload.Fault(c.Fault)
	rate := o.Workload.ArrivalsPerS[c.Level]
	if o.Rate > 0 {
		rate = o.Rate
	}
	duration := seconds(o.Workload.DurationS)
	profile := func(at time.Duration) float64 {
		if o.Surge.active(at) {
			return rate * o.Surge.Factor
		}
		return rate
	}
	for _, seed := range o.Seeds {
		w := newWorld(o.Workload, fault, seed)
		arrivals := generateArrivals(o.Workload, profile, duration, w.daemons(), seed)
		if c.Router == routerOracle {
			w.solveOracle(arrivals)
		} else {
			w.run(arrivals, w.newRouter(c.Router), duration+drainTime)
		}
		c.add(w, duration)
		c.addSurge(w, o.Surge)
	}
	c.computeQuantiles()
}

func (w *world) newRouter(name string) router {
	switch name {
	case routerPolicy:
		return newPolicyRouter(w)
	case routerPlansLeast:
		p := newPolicyRouter(w)
		p.leastOutstanding = true
		return p
	case routerInformed:
		p := newPolicyRouter(w)
		p.useTrueParameters()
		return p
	}
	return newBaseline(w, name)
}

package bench

import (
	"fmt"
	"runtime"
	"sync"
	"time"
)

// Options of a benchmark.
type Options struct {
	Workload *Workload
	// Routers, Levels and Faults select cells; empty means all.
	Routers, Levels, Faults []string
	Seeds                   []uint64
	// Rate replaces the arrivals per second of the level when above 0.
	Rate float64
	// Surge raises the rate for a time when its factor is above 0.
	Surge Surge
	// Workers bounds the simulations that run at once. Default: half of the
	// processors.
	Workers int
}

// Surge multiplies the rate by Factor from FromS on, for ForS.
type Surge struct {
	Factor, FromS, ForS float64
}

// recovery is the time after a surge within which service must be normal again.
const recovery = 5 * time.Second

// end is the time from which service must be normal again.
func (s Surge) end() time.Duration { return seconds(s.FromS+s.ForS) + recovery }

func (s Surge) during(at time.Duration) bool {
	return s.Factor > 0 && at >= seconds(s.FromS) && at < seconds(s.FromS+s.ForS)
}

// drain is the time after the last arrival in which answers still count.
const drain = 60 * time.Second

// Run simulates all selected cells and returns them in a fixed order.
func Run(o Options) ([]*Cell, error) {
	plan, err := cells(&o)
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

func cells(o *Options) ([]*Cell, error) {
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

// levelNames lists the levels from the lowest rate to the highest.
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
		if o.Surge.during(at) {
			return rate * o.Surge.Factor
		}
		return rate
	}
	for _, seed := range o.Seeds {
		w := newWorld(o.Workload, fault, seed)
		arrivals := generate(o.Workload, profile, duration, w.daemons(), seed)
		if c.Router == routerOracle {
			w.solveOracle(arrivals)
		} else {
			w.run(arrivals, w.newRouter(c.Router), duration+drain)
		}
		c.add(w, duration)
		c.addSurge(w, o.Surge)
	}
	c.finish()
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
		p.inform()
		return p
	}
	return newBaseline(w, name)
}

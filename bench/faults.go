package bench

import (
	"time"

	"github.com/savoryshift/savoryshift/workload"
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// scheduleFault schedules the start and the end of each event of a fault.
func (w *world) scheduleFault(f *workload.Fault) {
	if f == nil {
		return
	}
	for i := range f.Events {
		e := &f.Events[i]
		w.at(seconds(e.AtS), func() { w.apply(e, true) })
		if e.ForS > 0 {
			w.at(seconds(e.AtS+e.ForS), func() { w.apply(e, false) })
		}
	}
}

// apply starts an event, or ends it when on is false.
func (w *world) apply(e *workload.Event, on bool) {
	switch e.Kind {
	case workload.EventVersionQuality:
		w.forVersion(e.Version, func(v int) {
			w.qualityFactor[v] = ifElse(on, e.QualityFactor, 1)
			w.badSince[v] = ifElse(on, w.now, -1)
		})
	case workload.EventVersionErrors:
		w.forVersion(e.Version, func(v int) {
			w.errorProbability[v] = ifElse(on, e.ErrorProbability, 0)
			w.badSince[v] = ifElse(on, w.now, -1)
		})
	case workload.EventUpstreamsDown:
		for _, en := range w.affectedEngines(e) {
			en.setDown(on)
		}
	case workload.EventUpstreamsSlow:
		for _, en := range w.affectedEngines(e) {
			en.setSpeed(en.spec.SpeedFactor * ifElse(on, e.SpeedFactor, 1))
		}
	case workload.EventZoneCut:
		w.cutZone(e, on)
	case workload.EventPlatformDown:
		w.platformDown = on
	case workload.EventRatingDelay:
		w.ratingDelay = seconds(ifElse(on, e.Ms, w.load.Rating.DelayMs) / 1000)
	}
}

// ifElse returns a when cond is true, else b.
func ifElse[T any](cond bool, a, b T) T {
	if cond {
		return a
	}
	return b
}

func (w *world) forVersion(id string, do func(int)) {
	if v := w.versionIndex(id); v >= 0 {
		do(v)
	}
}

// affectedEngines returns the engines that match all conditions of an event: its
// zone, its version, and every n-th engine. Without conditions it returns all.
func (w *world) affectedEngines(e *workload.Event) []*engine {
	var list []*engine
	for i, en := range w.engines {
		if e.AvailabilityZone != "" && en.spec.AvailabilityZone != e.AvailabilityZone {
			continue
		}
		if e.Version != "" && !contains(en.spec.Versions, e.Version) {
			continue
		}
		if e.Every > 1 && i%e.Every != 0 {
			continue
		}
		list = append(list, en)
	}
	return list
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

func (w *world) cutZone(e *workload.Event, on bool) {
	z := w.zoneIndex(e.AvailabilityZone)
	if z < 0 {
		return
	}
	w.zones[z].cutFromPlatform = on && e.FromPlatform
	w.zones[z].cutFromZones = on && e.FromZones
}

// publishCacheEvent lets the daemons see that an engine has cached a prefix, after
// the lag of the engine's load reports. One in cacheEventLossOneIn events is lost.
func (w *world) publishCacheEvent(e *engine, prefix uint64) {
	w.callSeq++
	if uniformDraw(w.seed, 8, uint64(w.callSeq)) < 1.0/cacheEventLossOneIn {
		return
	}
	lag := time.Duration(e.spec.LoadReportLagMs * float64(time.Millisecond))
	w.cacheHints = append(w.cacheHints, cacheHint{visibleAt: w.now + lag, at: w.now, engine: e.index, prefix: prefix})
}

package bench

// allowed returns the versions that a request may use, at most one per model
// once its session has used the model. All routers obey the same rules.
func (w *world) allowed(q *request) []int {
	var list []int
	for v := range w.load.Versions {
		if w.mayUse(q, v) {
			list = append(list, v)
		}
	}
	return list
}

func (w *world) mayUse(q *request, v int) bool {
	if w.inRollout(v) {
		return v == w.cohortVersion(q)
	}
	pinned, ok := w.pins[[2]int{q.session.id, w.modelOf[v]}]
	return !ok || pinned == v || w.inRollout(pinned)
}

func (w *world) inRollout(v int) bool {
	r := w.load.Rollout
	id := w.load.Versions[v].Version
	return r != nil && (id == r.FromVersion || id == r.ToVersion)
}

// cohortVersion is the version of the roll-out that a session uses: the new
// one for sessions that start after the roll-out, unless it is halted at this
// daemon or the daemon is isolated.
func (w *world) cohortVersion(q *request) int {
	r := w.load.Rollout
	if q.session.started < seconds(r.StartS) || w.halted[q.daemon].set || w.isolated(q.daemon) {
		return w.versionIndex(r.FromVersion)
	}
	return w.versionIndex(r.ToVersion)
}

// pin notes the version that a session has used of a model.
func (w *world) pin(q *request, v int) {
	key := [2]int{q.session.id, w.modelOf[v]}
	if _, ok := w.pins[key]; !ok {
		w.pins[key] = v
	}
}

// halt marks the candidate as halted at a daemon and spreads the mark to the
// daemons that it can reach.
func (w *world) halt(daemon int) {
	if w.halted[daemon].set {
		return
	}
	if w.firstHalt < 0 {
		w.firstHalt = w.now
	}
	w.halted[daemon] = haltMark{set: true, at: w.now}
	for d := range w.halted {
		if d != daemon && w.linked(d, daemon) {
			w.after(2*latencySameZone+seconds(w.load.OneWayMsZones/1000), func() { w.halt(d) })
		}
	}
}

// linked reports whether two daemons can talk to each other.
func (w *world) linked(a, b int) bool {
	za, zb := w.daemonZone(a), w.daemonZone(b)
	return za == zb || !w.zones[za].cutZones && !w.zones[zb].cutZones
}

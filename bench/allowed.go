package bench

// allowed returns the versions that a request may use. A session stays on one
// version of a model once it has used the model. All routers follow these rules.
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

// cohortVersion returns the version of the rollout that a request uses: the new
// one for sessions that start after the start of the rollout, unless the rollout
// is halted at the request's daemon or the daemon is isolated.
func (w *world) cohortVersion(q *request) int {
	r := w.load.Rollout
	if q.session.started < seconds(r.StartS) || w.halted[q.daemon].set || w.isolated(q.daemon) {
		return w.versionIndex(r.FromVersion)
	}
	return w.versionIndex(r.ToVersion)
}

// pin records the first version of a model that a session uses.
func (w *world) pin(q *request, v int) {
	key := [2]int{q.session.id, w.modelOf[v]}
	if _, ok := w.pins[key]; !ok {
		w.pins[key] = v
	}
}

// halt marks the candidate as halted at a daemon and propagates the mark to the
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
		if d != daemon && w.connected(d, daemon) {
			w.after(2*latencySameZone+seconds(w.load.OneWayMsZones/1000), func() { w.halt(d) })
		}
	}
}

// connected reports whether two daemons can exchange messages.
func (w *world) connected(a, b int) bool {
	za, zb := w.daemonZone(a), w.daemonZone(b)
	return za == zb || !w.zones[za].cutFromZones && !w.zones[zb].cutFromZones
}

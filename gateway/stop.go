package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/errkind"
)

const (
	// estimateShare is the part of a planned stop, and maxEstimateTime the time, in which
	// a request is accepted because requests of its route usually end in time. Afterwards
	// only the deadline counts. The load balancer stops sending clients within about two
	// seconds, so a request that is refused later is served elsewhere at its first retry.
	estimateShare   = 0.35
	maxEstimateTime = 2500 * time.Millisecond
	// lastWriteTime is how long a request that a stop has ended may write to its client.
	lastWriteTime = 150 * time.Millisecond
	// unreadBodyTime is how long the rest of a body may arrive whose request has been
	// refused. Closing the connection at once could keep the client from the response.
	unreadBodyTime = 300 * time.Millisecond
	// endedByStop is the logged reason of requests that a stop has ended.
	endedByStop = "ended by the stop"
)

// stopWindow is the time of a planned stop: at is the signal, end the time at which the
// calls to upstreams end.
type stopWindow struct{ at, end time.Time }

// stopDemand is what decides whether a request may be passed on during a stop.
type stopDemand struct {
	// deadline is the time by which the request has ended in any case.
	deadline time.Time
	// first is set for the first call of a request that may run more than once, and later
	// for the calls after it. Neither is set for a request that may run only once.
	first, later bool
	// upper is an upper estimate of the time that the request takes; 0 means that there
	// is none.
	upper time.Duration
}

// never returns the time until which a call may begin that may not begin at all.
func (w stopWindow) never() time.Time { return w.at.Add(-time.Nanosecond) }

// latestStart returns the time until which a call may begin.
func (w stopWindow) latestStart(d stopDemand) time.Time {
	switch {
	case !d.deadline.After(w.end):
		return d.deadline
	case d.upper <= 0 || !d.first && !d.later:
		return w.never()
	}
	latest := w.end.Add(-d.upper)
	share := time.Duration(estimateShare * float64(w.end.Sub(w.at)))
	if until := w.at.Add(min(share, maxEstimateTime)); d.first && until.Before(latest) {
		return until
	}
	return latest
}

// stopState is the state of a planned stop. It is safe for concurrent use.
type stopState struct {
	// window is nil before the stop.
	window atomic.Pointer[stopWindow]
	// refusing is set when no further call may begin. A request is counted as active
	// before it is read here, so every request that was not refused is seen in the count.
	refusing atomic.Bool
	// requested ends when the stop begins, and ended when the calls to upstreams end.
	requested, ended              context.Context
	markRequested, markCallsEnded context.CancelFunc
}

func newStopState() *stopState {
	s := &stopState{}
	s.requested, s.markRequested = context.WithCancel(context.Background())
	s.ended, s.markCallsEnded = context.WithCancel(context.Background())
	return s
}

// Stop begins a planned stop at whose end no call to an upstream goes on. Both times
// must have a monotonic clock reading, which changes of the wall clock do not affect.
// From now on a request is passed on only if it can be finished by then, and clients are
// asked to close their connections.
func (srv *Server) Stop(now, end time.Time) {
	srv.stop.window.Store(&stopWindow{at: now, end: end})
	srv.stop.markRequested()
}

// RoutesBeyond returns the names of the routes whose requests may run only once and may
// take longer than a time. A route without a timeout is one of them.
func (srv *Server) RoutesBeyond(limit time.Duration) []string {
	st := srv.state.Load()
	if st == nil {
		return nil
	}
	var names []string
	for i := range st.Snapshot.Routes {
		if r := &st.Snapshot.Routes[i]; !r.Idempotent() && (r.Timeout <= 0 || r.Timeout > limit) {
			names = append(names, r.Name)
		}
	}
	return names
}

// RefuseCalls makes a stopping server begin no further call. Requests whose calls have
// begun go on; Active counts them.
func (srv *Server) RefuseCalls() { srv.stop.refusing.Store(true) }

// EndCalls ends the calls of a stopping server. Requests that have no response yet get
// one; streams are broken, so that they do not look complete.
func (srv *Server) EndCalls() {
	srv.RefuseCalls()
	srv.stop.markCallsEnded()
}

// stopping reports whether a planned stop has begun.
func (srv *Server) stopping() bool { return srv.stop.window.Load() != nil }

// latestStart returns the time until which a call of the request may begin in a planned
// stop. It returns false if no stop has begun.
func (exec *execution) latestStart() (time.Time, bool) {
	w := exec.srv.stop.window.Load()
	switch {
	case w == nil:
		return time.Time{}, false
	case exec.srv.stop.refusing.Load():
		return w.never(), true
	}
	d := stopDemand{deadline: exec.deadline}
	if exec.route.Idempotent() {
		d.first, d.later = exec.sends == 0, exec.sends > 0
		d.upper = exec.usualDuration()
	}
	return w.latestStart(d), true
}

// usualDuration returns an upper estimate of the time that requests of the route take, 0
// if there is none. Before any are seen, it assumes that they meet their objective.
func (exec *execution) usualDuration() time.Duration {
	return exec.srv.durations.upper(exec.route.Name, exec.route.Objective)
}

// mayCall reports whether a call of the request that begins now can end before a planned
// stop does.
func (exec *execution) mayCall(now time.Time) bool {
	latest, stopping := exec.latestStart()
	return !stopping || !now.After(latest)
}

// refuseInStop refuses the request if it can no longer be finished before a planned stop
// ends. It returns true if it has done so.
func (exec *execution) refuseInStop() bool {
	if exec.mayCall(time.Now()) {
		return false
	}
	exec.refuseForStop()
	return true
}

// refuseForStop refuses a request that was not run because of a planned stop.
func (exec *execution) refuseForStop() {
	now, w := time.Now(), exec.srv.stop.window.Load()
	exec.srv.opts.Log.Info("refused in a stop",
		zap.String("request", exec.req.ID), zap.String("route", exec.route.Name), zap.String("kind", string(exec.route.Kind)),
		zap.Duration("since_signal", now.Sub(w.at)), zap.Duration("left", w.end.Sub(now)), zap.Duration("deadline", exec.deadline.Sub(now)),
		zap.Duration("usual", exec.usualDuration()), zap.Bool("refusing_all", exec.srv.stop.refusing.Load()))
	exec.refuse(errkind.ShuttingDown, stopRetryAfter)
}

// boundBody bounds the time for which the body is read by the time until which the request
// may be passed on, from the begin of a planned stop on. The returned function must be
// called when the body has been read; whole is false if it was not read to its end.
func (exec *execution) boundBody() (release func(whole bool)) {
	controller := exec.response.controller
	var mu sync.Mutex
	var bounded, released bool
	detach := context.AfterFunc(exec.srv.stop.requested, func() {
		mu.Lock()
		defer mu.Unlock()
		if !released {
			latest, _ := exec.latestStart()
			bounded = controller.SetReadDeadline(latest) == nil
		}
	})
	return func(whole bool) {
		detach()
		mu.Lock()
		defer mu.Unlock()
		released = true
		switch {
		case bounded && whole:
			_ = controller.SetReadDeadline(time.Time{})
		case bounded:
			_ = controller.SetReadDeadline(time.Now().Add(unreadBodyTime))
		}
	}
}

// endWithStop makes the end of a planned stop cancel the calls of the request, and bounds
// what is written to the client afterwards. The returned function detaches the request
// and logs it if the stop has ended it.
func (exec *execution) endWithStop(cancel context.CancelFunc) (detach func()) {
	controller := exec.response.controller
	stop := context.AfterFunc(exec.srv.stop.ended, func() {
		cancel()
		_ = controller.SetWriteDeadline(time.Now().Add(lastWriteTime))
	})
	return func() {
		if !stop() && exec.reason != "" {
			exec.logEndedByStop(time.Now())
		}
	}
}

func (exec *execution) logEndedByStop(now time.Time) {
	w := exec.srv.stop.window.Load()
	exec.srv.opts.Metrics.countEndedByStop(exec.route.Name)
	exec.srv.opts.Log.Warn(endedByStop,
		zap.String("request", exec.req.ID), zap.String("route", exec.route.Name), zap.String("kind", string(exec.route.Kind)),
		zap.Duration("since_signal", now.Sub(w.at)), zap.Duration("begun_after_signal", exec.start.Sub(w.at)),
		zap.Duration("deadline", exec.deadline.Sub(now)), zap.Int("status", exec.status), zap.Bool("ran", exec.mayHaveRun))
}

// recordDuration records how long the request took since its body was read, if it was
// served or reached its deadline.
func (exec *execution) recordDuration(begun, now time.Time) {
	served := exec.reason == "" && exec.status < http.StatusMultipleChoices
	if served || exec.reason == string(errkind.UpstreamTimeout) {
		exec.srv.durations.add(exec.route.Name, now.Sub(begun))
	}
}

package gateway

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/placement"
)

const (
	// silentUpstream is the time without a byte for any call of this VM after
	// which an upstream counts as silent rather than slow.
	silentUpstream = 600 * time.Millisecond
	// patienceFactor is how much longer than predicted a first event may take.
	patienceFactor = 3
	// minFirstPatience bounds the wait for the first event from below.
	minFirstPatience = 900 * time.Millisecond
	// gapPatienceShare is the part of the longest pause on time after which a
	// silent stream is resumed elsewhere; what is left of the pause is for the
	// reading of the prompt there.
	gapPatienceShare = 0.75
	// gapPatienceFactor is how much longer than the pauses of the stream so far a
	// pause must be to be taken for silence.
	gapPatienceFactor = 2
	// defaultGapPatience is used where the route states no longest pause.
	defaultGapPatience = 1500 * time.Millisecond
	// lastMoveFactor is how much longer a call is waited for that could be given
	// up for one last call only: when that fails, the answer is lost.
	lastMoveFactor = 2
	// aloneFactor is how much longer the first event of a call is waited for that
	// is the only one of this VM at its upstream: its silence says little.
	aloneFactor = 2
	// slowFactor is how much longer a stream may pause while its upstream still
	// serves other calls.
	slowFactor = 4
)

// watchdog cancels a call that makes no progress at an upstream that has gone
// silent, or no progress for much longer.
type watchdog struct {
	a        *attempt
	patience time.Duration
	// moves is the number of further calls that this one may be given up for.
	moves    int
	progress atomic.Int64
	// longest is the longest pause between two steps.
	longest atomic.Int64
	fired   atomic.Bool
	timer   *time.Timer
}

// watch starts a watchdog for a call that makes progress now. runs is the number
// of runs of the request, this one included.
func (a *attempt) watch(patience time.Duration, runs int) *watchdog {
	d := &watchdog{a: a, patience: patience}
	if a.x.route.Idempotent() {
		d.moves = max(0, a.x.route.MaxAttempts-runs)
	}
	d.progress.Store(int64(time.Since(a.start)))
	d.timer = time.AfterFunc(patience, d.check)
	return d
}

// step notes progress. It is called by one goroutine.
func (d *watchdog) step() {
	now := int64(time.Since(d.a.start))
	if gap := now - d.progress.Swap(now); gap > d.longest.Load() {
		d.longest.Store(gap)
	}
}

func (d *watchdog) stop() { d.timer.Stop() }

func (d *watchdog) check() {
	now := time.Now()
	idle := now.Sub(d.a.start) - time.Duration(d.progress.Load())
	patience := max(d.patience, gapPatienceFactor*time.Duration(d.longest.Load()))
	if d.longest.Load() == 0 && d.a.call.OnlyCall() {
		patience *= aloneFactor
	}
	if d.moves == 1 && !d.a.call.ZoneCutOff(now) {
		patience *= lastMoveFactor
	}
	switch {
	case idle < patience:
		d.timer.Reset(patience - idle)
	case d.a.call.SilentFor(now) < silentUpstream && idle < slowFactor*patience:
		d.timer.Reset(silentUpstream)
	case d.moves == 0 || !d.a.hasAlternative(now):
		d.timer.Reset(d.patience)
	default:
		d.fired.Store(true)
		d.a.log("silent", zap.Duration("idle", idle), zap.Duration("upstream_silent", d.a.call.SilentFor(now)))
		d.a.call.End(placement.Unreachable, now)
		d.a.cancel()
	}
}

// hasAlternative reports whether another upstream may take the call over.
func (a *attempt) hasAlternative(now time.Time) bool {
	return a.x.s.o.Balancer.Alternatives(a.choice.Service, a.choice.ID, a.x.allow.Prefer, now) > 0
}

package gateway

import (
	"sync/atomic"
	"time"

	"github.com/savoryshift/savoryshift/placement"
)

const (
	// silentUpstream is the time without a byte for any call of this VM after
	// which an upstream counts as silent rather than slow.
	silentUpstream = 450 * time.Millisecond
	// patienceFactor is how much longer than predicted a first event may take.
	patienceFactor = 3
	// minFirstPatience bounds the wait for the first event from below.
	minFirstPatience = 900 * time.Millisecond
	// gapPatienceShare is the part of the longest pause on time after which a
	// silent stream is resumed elsewhere, so that the resumed one is still on time.
	gapPatienceShare = 0.55
	// defaultGapPatience is used where the route states no longest pause.
	defaultGapPatience = 1500 * time.Millisecond
	// slowFactor is how much longer a stream may pause while its upstream still
	// serves other calls.
	slowFactor = 4
)

// watchdog cancels a call that makes no progress at an upstream that has gone
// silent, or no progress for much longer.
type watchdog struct {
	a        *attempt
	patience time.Duration
	progress atomic.Int64
	fired    atomic.Bool
	timer    *time.Timer
}

// watch starts a watchdog for a call that began now.
func (a *attempt) watch(patience time.Duration) *watchdog {
	d := &watchdog{a: a, patience: patience}
	d.progress.Store(int64(time.Since(a.start)))
	d.timer = time.AfterFunc(patience, d.check)
	return d
}

// step notes progress.
func (d *watchdog) step() { d.progress.Store(int64(time.Since(d.a.start))) }

func (d *watchdog) stop() { d.timer.Stop() }

func (d *watchdog) check() {
	now := time.Now()
	idle := now.Sub(d.a.start) - time.Duration(d.progress.Load())
	switch {
	case idle < d.patience:
		d.timer.Reset(d.patience - idle)
	case d.a.call.SilentFor(now) < silentUpstream && idle < slowFactor*d.patience:
		d.timer.Reset(silentUpstream)
	case !d.a.x.canMove(d.a):
		d.timer.Reset(d.patience)
	default:
		d.fired.Store(true)
		d.a.call.End(placement.Failed, now)
		d.a.cancel()
	}
}

package admission

import (
	"math"
	"time"
)

const (
	// pauseWindow is the length of the windows whose longest pauses are rated, and pauseGain
	// the weight of the last window in their mean. An engine that reads a long prompt keeps
	// its streams waiting for about a second, and gets one every few seconds.
	pauseWindow = time.Second
	pauseGain   = 0.15
	// A pause counts from soundPause on, and in full from latePause on, both in shares of the
	// allowed pause. Sound engines also pause for somewhat less than that.
	soundPause = 0.85
	latePause  = 1.1
	// freeLevel is the level up to which pauses cost nothing: single long pauses are chance.
	// From fullLevel on, a prompt is taken to make streams late whenever it is read for as
	// long as they may pause: engines read such a prompt every few seconds, so that a pause
	// in each of them is a level of about this.
	freeLevel = 0.05
	fullLevel = 0.25
	// latenessCost is the cost in seconds of a stream that becomes late, which has lost most
	// of its value.
	latenessCost = 3.0
)

// Pauses learns how often the streams of an engine pause for longer than their routes allow.
// It handles load under which prompts that are read make running streams late: such a
// stream has had its first event in time, and its delay is in no other figure. The zero
// value has seen no stream.
type Pauses struct {
	// mean is the mean rating of the windows until begin, longest the rating of the window
	// from begin on.
	mean, longest float64
	begin         time.Time
}

// Observe records an event that followed the one before after gap. allowed is the longest
// pause that the route allows; a route without one is not observed.
func (p *Pauses) Observe(gap, allowed time.Duration, now time.Time) {
	if allowed <= 0 || gap < 0 {
		return
	}
	p.advance(now.Add(-gap))
	p.longest = max(p.longest, ratePause(gap.Seconds()/allowed.Seconds()))
	// A pause of several windows counts for each of them.
	if n := int64(gap/pauseWindow) - 1; n > 0 {
		p.mean += (1 - math.Pow(1-pauseGain, float64(n))) * (p.longest - p.mean)
		p.begin = p.begin.Add(time.Duration(n) * pauseWindow)
	}
}

// ratePause returns 0 for a pause that sound engines make, and 1 for one by which a stream
// is late. share is the pause as a share of the allowed one.
func ratePause(share float64) float64 {
	return max(0, min(1, (share-soundPause)/(latePause-soundPause)))
}

// advance closes the windows that have ended by t.
func (p *Pauses) advance(t time.Time) {
	if p.begin.IsZero() {
		p.begin = t
	}
	n := int64(t.Sub(p.begin) / pauseWindow)
	if n <= 0 {
		return
	}
	p.mean += pauseGain * (p.longest - p.mean)
	p.mean *= math.Pow(1-pauseGain, float64(n-1))
	p.longest = 0
	p.begin = p.begin.Add(time.Duration(n) * pauseWindow)
}

// Level returns the share of the last windows with a pause that makes a stream late, from 0
// to 1, as of the last event.
func (p *Pauses) Level() float64 { return p.mean }

// LateStreams returns the expected number of streams that a prompt makes late which an
// engine reads beside them. share is the predicted time of the reading as a share of the
// longest pause that the route allows, and level that of the pauses at the engines of the
// service, which read alike.
func LateStreams(share float64, streams int, level float64) float64 {
	if level <= freeLevel {
		return 0
	}
	return min(1, (level-freeLevel)/(fullLevel-freeLevel)) * float64(streams) * min(1, share)
}

// PauseCost returns the cost in seconds of a request at an engine by pauses: those that its
// own stream is to expect there, where level is that of the engine, and those of the
// streams which it makes late.
func PauseCost(level, lateStreams float64) float64 {
	return latenessCost * (max(0, level-freeLevel) + lateStreams)
}

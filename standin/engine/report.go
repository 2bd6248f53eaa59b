package engine

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/savoryshift/savoryshift/upstream"
)

// loadMergeInterval is the minimum distance between two load samples; a change
// of load sooner after a sample replaces the values of that sample.
const loadMergeInterval = 5 * time.Millisecond

// loadHistory keeps recent load samples, from which delayed load reports are
// answered.
type loadHistory struct {
	mu      sync.Mutex
	samples []loadSample
}

type loadSample struct {
	at              time.Time
	running, queued int
}

func (h *loadHistory) add(s loadSample, lag time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.samples); n > 1 && s.at.Sub(h.samples[n-1].at) < loadMergeInterval {
		h.samples[n-1].running, h.samples[n-1].queued = s.running, s.queued
		return
	}
	h.samples = append(h.samples, s)
	for len(h.samples) > 1 && s.at.Sub(h.samples[1].at) >= lag {
		h.samples = h.samples[1:]
	}
}

// latestAt returns the newest sample that is not later than t, or the oldest
// sample if all are later.
func (h *loadHistory) latestAt(t time.Time) loadSample {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range slices.Backward(h.samples) {
		if !s.at.After(t) {
			return s
		}
	}
	return h.samples[0]
}

func (e *Engine) recordLoad(running, queued int) {
	e.load.add(loadSample{at: time.Now(), running: running, queued: queued}, e.opts.LoadLag)
}

func (e *Engine) reportLoad(w http.ResponseWriter, _ *http.Request) {
	s := e.load.latestAt(time.Now().Add(-e.opts.LoadLag))
	reply(w, upstream.LoadReport{
		Slots: e.opts.Slots, Running: s.running, Queued: s.queued, Held: e.loadedVersions(),
		Leaving: e.Faults().Leaving, AgeMs: e.opts.LoadLag.Milliseconds(),
	})
}

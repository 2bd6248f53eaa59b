package engine

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/savoryshift/savoryshift/upstream"
)

// loadStep merges changes of load that are close together.
const loadStep = 5 * time.Millisecond

// loadHistory keeps recent load, so that reports can lag behind.
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
	if n := len(h.samples); n > 1 && s.at.Sub(h.samples[n-1].at) < loadStep {
		h.samples[n-1].running, h.samples[n-1].queued = s.running, s.queued
		return
	}
	h.samples = append(h.samples, s)
	for len(h.samples) > 1 && s.at.Sub(h.samples[1].at) >= lag {
		h.samples = h.samples[1:]
	}
}

// before returns the newest sample that is not later than t, or the oldest.
func (h *loadHistory) before(t time.Time) loadSample {
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
	e.load.add(loadSample{at: time.Now(), running: running, queued: queued}, e.o.LoadLag)
}

func (e *Engine) reportLoad(w http.ResponseWriter, _ *http.Request) {
	s := e.load.before(time.Now().Add(-e.o.LoadLag))
	reply(w, upstream.LoadReport{
		Slots: e.o.Slots, Running: s.running, Queued: s.queued, Held: e.heldNow(),
		Leaving: e.Faults().Leaving, AgeMs: e.o.LoadLag.Milliseconds(),
	})
}

package engine

import (
	"net/http"
	"slices"
	"sync"
	"time"
)

// maxRuns bounds the list of runs; when it is exceeded, the oldest tenth is
// dropped.
const maxRuns = 200_000

// RunState is the state of a run: running, or how it ended.
type RunState string

// States of a run.
const (
	RunRunning   RunState = "running"
	RunFinished  RunState = "finished"
	RunCancelled RunState = "cancelled"
	RunFailed    RunState = "failed"
)

// Run is one attempt that the engine executed.
type Run struct {
	RequestID    string    `json:"request_id"`
	AttemptID    string    `json:"attempt_id"`
	Version      string    `json:"version"`
	Model        string    `json:"model"`
	Organisation string    `json:"organisation,omitempty"`
	Priority     int       `json:"priority"`
	Streamed     bool      `json:"streamed"`
	At           time.Time `json:"at"`
	// From is the number of the part after which a resumed stream continues; 0
	// for a call that is not resumed.
	From int `json:"from"`
	// Parts is the number of the last part written.
	Parts int `json:"parts"`
	// Good reports whether the answer is a good one; a poor one contains
	// PoorMarker.
	Good         bool     `json:"good"`
	PromptTokens int      `json:"prompt_tokens"`
	CachedTokens int      `json:"cached_tokens"`
	State        RunState `json:"state"`
}

// runLog records the runs and the cancel functions of those in progress.
type runLog struct {
	mu      sync.Mutex
	runs    []*Run
	cancels map[string]func() // by attempt ID
}

func newRunLog() *runLog { return &runLog{cancels: map[string]func(){}} }

// begin adds a run. It reports false when a run with the same attempt ID is in
// progress.
func (l *runLog) begin(run *Run, cancel func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.cancels[run.AttemptID]; ok {
		return false
	}
	l.cancels[run.AttemptID] = cancel
	l.runs = append(l.runs, run)
	if len(l.runs) > maxRuns {
		l.runs = slices.Delete(l.runs, 0, maxRuns/10)
	}
	return true
}

func (l *runLog) end(run *Run, state RunState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run.State = state
	delete(l.cancels, run.AttemptID)
}

// setPromptAndQuality sets the values of a run that are determined after begin.
func (l *runLog) setPromptAndQuality(run *Run, promptTokens, cachedTokens int, good bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run.PromptTokens, run.CachedTokens, run.Good = promptTokens, cachedTokens, good
}

func (l *runLog) setParts(run *Run, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run.Parts = n
}

func (l *runLog) cancel(attempt string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	cancel, ok := l.cancels[attempt]
	if ok {
		cancel()
	}
	return ok
}

func (l *runLog) list() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Run, len(l.runs))
	for i, run := range l.runs {
		out[i] = *run
	}
	return out
}

func (e *Engine) listRuns(w http.ResponseWriter, _ *http.Request) { reply(w, e.runs.list()) }

// cancelAttempt cancels a run. It succeeds for an unknown attempt too, because
// cancelling is idempotent.
func (e *Engine) cancelAttempt(w http.ResponseWriter, r *http.Request) {
	e.runs.cancel(r.PathValue("attempt"))
	w.WriteHeader(http.StatusNoContent)
}

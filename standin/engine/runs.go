package engine

import (
	"net/http"
	"slices"
	"sync"
	"time"
)

// maxRuns bounds the list of runs; older ones are dropped.
const maxRuns = 200_000

// RunState says how a run ended.
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
	// From is the part that a resumed stream continued after.
	From int `json:"from"`
	// Parts is the number of the last part written.
	Parts int `json:"parts"`
	// Good says whether the answer is a good one.
	Good         bool     `json:"good"`
	PromptTokens int      `json:"prompt_tokens"`
	CachedTokens int      `json:"cached_tokens"`
	State        RunState `json:"state"`
}

// runLog keeps the runs and the means to cancel those that are running.
type runLog struct {
	mu      sync.Mutex
	runs    []*Run
	cancels map[string]func()
}

func newRunLog() *runLog { return &runLog{cancels: map[string]func(){}} }

// begin adds a run. It reports false when the attempt is already running.
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

// prepared completes a run that is already listed.
func (l *runLog) prepared(run *Run, promptTokens, cachedTokens int, good bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run.PromptTokens, run.CachedTokens, run.Good = promptTokens, cachedTokens, good
}

func (l *runLog) parts(run *Run, n int) {
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

// cancelAttempt succeeds for an unknown attempt too: cancelling is idempotent.
func (e *Engine) cancelAttempt(w http.ResponseWriter, r *http.Request) {
	e.runs.cancel(r.PathValue("attempt"))
	w.WriteHeader(http.StatusNoContent)
}

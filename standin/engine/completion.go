package engine

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/upstream"
)

const (
	defaultOutputTokens = 16
	maxOutputTokens     = 1 << 16
	// cachedSaving is the share of the time to the first token that a fully
	// cached prompt saves.
	cachedSaving = 0.8
)

// job is one accepted call.
type job struct {
	run     *Run
	body    chatRequest
	profile Profile
	tokens  int // of the whole answer
	fails   bool
	warm    bool // no time to the first token
	started time.Time
}

// complete serves POST /v1/chat/completions.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	j, ok := e.accept(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if !e.waitSlot(ctx, w, r, j) {
		return
	}
	defer e.sched.release()
	j.run.At = time.Now()
	if !e.runs.begin(j.run, cancel) {
		fail(w, http.StatusConflict, errkind.Conflict, "attempt "+j.run.AttemptID+" is running")
		return
	}
	e.prepare(j)
	produce := e.whole
	if j.body.Stream {
		produce = e.stream
	}
	state, complete := produce(ctx, w, j)
	e.runs.end(j.run, state)
	if !complete {
		panic(http.ErrAbortHandler) // breaks the connection, so that the answer is seen to be cut
	}
}

// accept echoes the ids and refuses calls that cannot run.
func (e *Engine) accept(w http.ResponseWriter, r *http.Request) (*job, bool) {
	h, faults := r.Header, e.Faults()
	run := &Run{
		RequestID: h.Get(upstream.HeaderRequestID), AttemptID: h.Get(upstream.HeaderAttemptID),
		Version: h.Get(upstream.HeaderVersion), Organisation: h.Get(HeaderOrganisation), State: RunRunning,
	}
	run.Priority, _ = strconv.Atoi(h.Get(upstream.HeaderPriority))
	run.From, _ = strconv.Atoi(h.Get(upstream.HeaderResumeFrom))
	run.Parts = run.From
	echo(w, run, faults)
	j := &job{run: run}
	switch {
	case !decode(w, r, &j.body), !e.thaw(r.Context().Done()):
		return nil, false
	case run.RequestID == "" || run.AttemptID == "" || run.Version == "":
		refuse(w, http.StatusBadRequest, errkind.BadRequest, "request id, attempt id and version are required")
		return nil, false
	case faults.Leaving:
		w.Header().Set(upstream.HeaderLeaving, "true")
		refuse(w, http.StatusServiceUnavailable, errkind.ShuttingDown, "engine is leaving")
		return nil, false
	case !e.holds(run.Version):
		refuse(w, http.StatusNotFound, errkind.NotFound, "version "+run.Version+" is not held")
		return nil, false
	}
	run.Streamed, run.Model = j.body.Stream, j.body.Model
	return j, true
}

// echo repeats the ids and the version of the call in the answer.
func echo(w http.ResponseWriter, run *Run, f Faults) {
	ids, version := "", run.Version
	if f.WrongIDs {
		ids = "-other"
	}
	if f.WrongVersion {
		version += "-other"
	}
	w.Header().Set(upstream.HeaderRequestID, run.RequestID+ids)
	w.Header().Set(upstream.HeaderAttemptID, run.AttemptID+ids)
	w.Header().Set(upstream.HeaderVersion, version)
}

// waitSlot queues the call until a slot is free or its deadline has passed.
func (e *Engine) waitSlot(ctx context.Context, w http.ResponseWriter, r *http.Request, j *job) bool {
	if ms, err := strconv.Atoi(r.Header.Get(upstream.HeaderDeadlineMs)); err == nil {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer stop()
	}
	err := e.sched.acquire(ctx, j.run.Priority)
	switch {
	case err == nil:
		return true
	case errors.Is(err, errQueueFull):
		refuse(w, http.StatusTooManyRequests, errkind.NoCapacity, "queue is full")
	default:
		refuse(w, http.StatusServiceUnavailable, errkind.DeadlinePassed, "deadline passed in the queue")
	}
	return false
}

// prepare decides the outcome of a run at its start.
func (e *Engine) prepare(j *job) {
	j.started = time.Now()
	j.profile = e.profile(j.run.Version)
	j.tokens = j.body.outputTokens()
	j.fails = e.draw(j.profile.ErrorRate)
	prefix := j.body.prefix()
	prompt := j.body.promptTokens()
	lost := e.draw(e.o.CacheEventLoss)
	cached := min(prompt, e.cache.use(j.run.Version, PrefixDigest(prefix), tokensOf(prefix), lost))
	e.runs.prepared(j.run, prompt, cached, e.good(j))
	j.warm = e.takeKV(j.run.RequestID, j.run.Version, j.run.From)
}

// firstDelay is the time to the first token.
func (j *job) firstDelay() time.Duration {
	if j.warm {
		return 0
	}
	cached := float64(j.run.CachedTokens) / float64(max(1, j.run.PromptTokens))
	return time.Duration(float64(j.profile.FirstToken) * (1 - cachedSaving*cached))
}

// interval is the time between two tokens.
func (j *job) interval() time.Duration {
	if j.profile.TokensPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / j.profile.TokensPerSecond)
}

// pause waits until t, and longer while the engine is frozen.
func (e *Engine) pause(ctx context.Context, t time.Time) bool {
	if d := time.Until(t); d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return false
		}
	}
	return e.thaw(ctx.Done()) && ctx.Err() == nil
}

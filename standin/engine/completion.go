package engine

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/upstream"
)

const (
	defaultOutputTokens = 16
	maxOutputTokens     = 1 << 16
	// cachedPrefillSaving is the share of the time to the first token that a
	// fully cached prompt saves.
	cachedPrefillSaving = 0.8
)

// job is the state of one accepted completion call.
type job struct {
	run          *Run
	body         chatRequest
	profile      Profile
	tokens       int  // output tokens of the whole answer, including parts before a resume
	fails        bool // the run ends with an injected error
	skipsPrefill bool // imported KV state covers the resumed parts, so the first token is immediate
	fatalAfter   int  // number of parts after which the answer ends the engine, 0 for none
	started      time.Time
}

// isFatal reports whether the answer to a call would end the engine.
func (e *Engine) isFatal(j *job) bool {
	e.mu.Lock()
	text := e.faults.FatalText
	e.mu.Unlock()
	return text != "" && slices.ContainsFunc(j.body.Messages, func(m chatMessage) bool { return strings.Contains(string(m.Content), text) })
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
		writeError(w, http.StatusConflict, errkind.Conflict, "attempt "+j.run.AttemptID+" is running")
		return
	}
	if fatal := e.isFatal(j); fatal && j.body.Stream && e.Faults().FatalAfterParts > 0 {
		j.fatalAfter = e.Faults().FatalAfterParts
	} else if fatal {
		e.runs.end(j.run, RunFailed)
		if e.opts.End != nil {
			e.opts.End()
		}
		panic(http.ErrAbortHandler)
	}
	e.prepare(j)
	produce := e.writeWhole
	if j.body.Stream {
		produce = e.writeStream
	}
	state, complete := produce(ctx, w, j)
	e.runs.end(j.run, state)
	if !complete {
		panic(http.ErrAbortHandler) // breaks the connection, so that the client detects the truncated answer
	}
}

// accept echoes the ids of the call in the answer, decodes the body and rejects
// calls that cannot run.
func (e *Engine) accept(w http.ResponseWriter, r *http.Request) (*job, bool) {
	h, faults := r.Header, e.Faults()
	run := &Run{
		RequestID: h.Get(upstream.HeaderRequestID), AttemptID: h.Get(upstream.HeaderAttemptID),
		Version: h.Get(upstream.HeaderVersion), Organisation: h.Get(HeaderOrganisation), State: RunRunning,
	}
	run.Priority, _ = strconv.Atoi(h.Get(upstream.HeaderPriority))
	run.From, _ = strconv.Atoi(h.Get(upstream.HeaderResumeFrom))
	run.Parts = run.From
	echoIDs(w, run, faults)
	j := &job{run: run}
	switch {
	case !decode(w, r, &j.body), !e.waitWhileFrozen(r.Context().Done()):
		return nil, false
	case run.RequestID == "" || run.AttemptID == "" || run.Version == "":
		refuse(w, http.StatusBadRequest, errkind.BadRequest, "request id, attempt id and version are required")
		return nil, false
	case faults.Leaving:
		w.Header().Set(upstream.HeaderLeaving, "true")
		refuse(w, http.StatusServiceUnavailable, errkind.ShuttingDown, "engine is leaving")
		return nil, false
	case !e.canServe(run.Version):
		refuse(w, http.StatusNotFound, errkind.NotFound, "version "+run.Version+" is not held")
		return nil, false
	}
	run.Streamed, run.Model = j.body.Stream, j.body.Model
	return j, true
}

// echoIDs copies the request id, attempt id and version of the call to the
// response headers, altered if a fault asks for it.
func echoIDs(w http.ResponseWriter, run *Run, f Faults) {
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

// prepare determines the token counts, the quality and the failure of a run
// before its answer is produced.
func (e *Engine) prepare(j *job) {
	j.started = time.Now()
	j.profile = e.profile(j.run.Version)
	j.tokens = j.body.outputTokens()
	j.fails = e.draw(j.profile.ErrorRate)
	prefix := j.body.prefix()
	prompt := j.body.promptTokens()
	lost := e.draw(e.opts.CacheEventLoss)
	cached := min(prompt, e.cache.lookupOrStore(j.run.Version, PrefixDigest(prefix), tokensOf(prefix), lost))
	e.runs.setPromptAndQuality(j.run, prompt, cached, e.drawQuality(j))
	j.skipsPrefill = e.consumeKV(j.run.RequestID, j.run.Version, j.run.From)
}

// firstDelay is the time to the first token.
func (j *job) firstDelay() time.Duration {
	if j.skipsPrefill {
		return 0
	}
	cached := float64(j.run.CachedTokens) / float64(max(1, j.run.PromptTokens))
	return time.Duration(float64(j.profile.FirstToken) * (1 - cachedPrefillSaving*cached))
}

// interval is the time between two tokens; 0 when the speed is unlimited.
func (j *job) interval() time.Duration {
	if j.profile.TokensPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / j.profile.TokensPerSecond)
}

// sleepUntil waits until t and then for as long as the engine is frozen. It
// reports false when ctx ends first.
func (e *Engine) sleepUntil(ctx context.Context, t time.Time) bool {
	if d := time.Until(t); d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return false
		}
	}
	return e.waitWhileFrozen(ctx.Done()) && ctx.Err() == nil
}

package gateway

import (
	"context"
	"errors"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/admission"
	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/internal/bodybudget"
	"github.com/savoryshift/savoryshift/placement"
	"github.com/savoryshift/savoryshift/quarantine"
	"github.com/savoryshift/savoryshift/rollout"
	"github.com/savoryshift/savoryshift/routing"
)

const (
	// stopRetryAfter is short because another VM can serve the retry at once.
	stopRetryAfter = 20 * time.Millisecond
	// noConfigurationRetryAfter gives a starting VM time to read its
	// configuration.
	noConfigurationRetryAfter = 300 * time.Millisecond
	// announceThreshold is the predicted engine time of a prompt, in seconds, from
	// which the call is announced to peers at once. Shorter calls delay a request
	// at the same engine by less than its client notices.
	announceThreshold = 0.25
	// statusClientClosedRequest is the logged status of requests whose client
	// disconnected before a response; 499 is the code that nginx uses for this
	// case. The client gets 502, if it still reads.
	statusClientClosedRequest = 499
	// callerLeft is the logged reason of requests whose client has disconnected.
	callerLeft = "caller left"
	// maxSends bounds the number of calls for one request, including calls that
	// upstreams refused without running them.
	maxSends = 6
	// maxReuseIdleUnsafe bounds the idle time of a reused connection for requests
	// that must not be repeated. If the upstream closes an idle connection while
	// the request is on the way, it is unknown whether the request ran.
	maxReuseIdleUnsafe = 300 * time.Millisecond
	// maxReuseIdle bounds the idle time of a reused connection for requests that
	// may be repeated.
	maxReuseIdle = 8 * time.Second
)

// execution is the state of one client request. Only the goroutine that serves
// the request changes it; calls in other goroutines keep their state in attempt.
type execution struct {
	srv      *Server
	response clientResponse
	ctx      context.Context
	start    time.Time
	// oldProtocol is set if the client speaks HTTP/1.0, which has no chunks.
	oldProtocol    bool
	req            *Request
	state          *State
	route          *routing.Route
	service        *routing.Service
	organisation   string
	priority       int
	clientDeadline time.Time
	// deadline is the earlier of clientDeadline and the route's timeout.
	deadline      time.Time
	releaseFilter rollout.Filter

	// body is the memory that the body of the request uses.
	body *bodybudget.Share
	// bodyLeft is set until the body of the request has been read to its end.
	bodyLeft bool

	// parts are the parts of the prompt that other requests may share, and quarantined is
	// the last decision about them.
	parts       []quarantine.Part
	quarantined quarantine.Decision
	// examined is that of the last call that failed.
	examined *chan struct{}

	// runs counts the calls that ran or may have run; sends counts all calls.
	runs, sends int
	excluded    map[string]bool
	// streamRelease is the release that produced the stream that the client is
	// receiving, empty before the stream begins.
	streamRelease string
	// servedRelease is the release of the last call that ran or may have run.
	servedRelease string
	// anyCallFailed is set once a call of the request has failed.
	anyCallFailed bool
	// lastUnsent is set if no byte of the last call was written.
	lastUnsent bool
	// admission is the decision that keeps the request from its first call, nil if there is
	// none.
	admission *admission.Admission
	// tooLarge is set if no engine can hold the prompt.
	tooLarge bool
	// mayHaveRun is set once a call ran or may have run. The client must then not
	// be told that the request was not run.
	mayHaveRun bool
	// status is the logged status of the response.
	status       int
	reason       string
	model        string
	lastUpstream string
	// confidence is the model's confidence in the delivered answer, -1 if unknown.
	// timeToFirstEvent and longestPause are measured on a stream; longestPause is
	// the longest time between two events.
	confidence                     int
	timeToFirstEvent, longestPause time.Duration
}

// logOutcome logs and counts the outcome of the request.
func (exec *execution) logOutcome() {
	now := time.Now()
	route := ""
	if exec.route != nil {
		route = exec.route.Name
	}
	exec.srv.opts.Metrics.countRequest(route, exec.status, exec.reason, now.Sub(exec.start))
	exec.srv.opts.Log.Info("request", append([]zap.Field{
		zap.String("request", exec.req.ID), zap.String("route", route), zap.String("organisation", exec.organisation),
		zap.Int("status", exec.status), zap.String("reason", exec.reason), zap.String("model", exec.model),
		zap.String("upstream", exec.lastUpstream), zap.Int("runs", exec.runs), zap.Int("sends", exec.sends),
		zap.Duration("took", now.Sub(exec.start)), zap.Int64("configuration", exec.configurationVersion()),
		zap.Int("confidence", exec.confidence), zap.Duration("first_event", exec.timeToFirstEvent), zap.Duration("pause", exec.longestPause),
	}, exec.responseFields()...)...)
}

func (exec *execution) configurationVersion() int64 {
	if exec.state == nil {
		return 0
	}
	return exec.state.Snapshot.Version
}

// reject responds to a request that a retry cannot help, such as an invalid one.
func (exec *execution) reject(kind errkind.Kind) {
	exec.writeError(kind, 0)
}

// refuse responds to a request that was not run and may be retried after a delay.
func (exec *execution) refuse(kind errkind.Kind, after time.Duration) {
	exec.writeError(kind, jitter(after, exec.req.ID))
}

// fail responds to a request that may have run, without telling the client to retry.
func (exec *execution) fail(kind errkind.Kind) {
	exec.writeError(kind, 0)
}

func (exec *execution) writeError(kind errkind.Kind, after time.Duration) {
	exec.reason = string(kind)
	a := errkind.AnswerFor(kind)
	h := exec.response.header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if after > 0 {
		exec.srv.opts.Codec.EncodeRefusal(h, exec.req, after)
	}
	body := "savoryshift: " + string(kind) + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if exec.bodyLeft {
		// net/http reads the rest of the body before it sends the response.
		_ = exec.response.controller.SetReadDeadline(time.Now().Add(unreadBodyTime))
	}
	exec.writeHeader(a.Status)
	err := exec.response.write([]byte(body))
	if err == nil {
		err = exec.response.finish(exec.ctx, false)
	}
	if err != nil {
		exec.logClosed(exec.writeFailure())
	}
}

// writeHeader sends the response header. During a planned stop it asks the client to
// close the connection.
func (exec *execution) writeHeader(status int) {
	if exec.srv.stopping() {
		exec.response.header().Set("Connection", "close")
	}
	exec.status = status
	exec.response.writeHeader(status)
}

// giveUp ends a request for which no further call can be made and which has no
// response to deliver.
func (exec *execution) giveUp() {
	switch {
	case exec.ctx.Err() != nil:
		// A client that has closed only its sending side still reads.
		exec.fail(errkind.UpstreamFailed)
		exec.reason, exec.status = callerLeft, statusClientClosedRequest
	case !time.Now().Before(exec.deadline):
		exec.fail(errkind.UpstreamTimeout)
	case exec.mayHaveRun && exec.srv.stop.ended.Err() != nil:
		exec.fail(errkind.UpstreamTimeout)
		exec.reason = endedByStop
	case !exec.mayHaveRun && !exec.mayCall(time.Now()):
		exec.refuseForStop()
	case !exec.mayHaveRun && exec.quarantined.Refused:
		exec.refuseQuarantined()
	case !exec.mayHaveRun && exec.tooLarge:
		exec.refuseTooLarge()
	case !exec.mayHaveRun && exec.admission != nil:
		exec.refuseLate(time.Now())
	case exec.mayHaveRun:
		exec.logNoUpstream()
		exec.fail(errkind.UpstreamFailed)
	default:
		exec.logNoUpstream()
		exec.refuseUntilUsable(time.Now())
	}
}

// logNoUpstream logs why no upstream can take another call. It logs nothing if
// the request has used all its calls, because then upstreams are not the limit.
func (exec *execution) logNoUpstream() {
	if exec.callsExhausted() {
		return
	}
	c := exec.srv.opts.Balancer.ExclusionCounts(&placement.Query{Service: exec.service.Name, Exclude: exec.excluded, Allow: exec.releaseFilter.Accept, Now: time.Now()})
	exec.srv.opts.Log.Info("no upstream",
		zap.String("request", exec.req.ID), zap.String("service", exec.service.Name), zap.Int("registered", c.Registered),
		zap.Int("tried", c.Tried), zap.Int("leaving", c.Leaving), zap.Int("lapsed", c.Lapsed), zap.Int("other_release", c.OtherRelease), zap.Int("evacuated", c.Evacuated), zap.Int("cold", c.Cold), zap.Bool("outdated", exec.srv.outdated(time.Now())),
		zap.Int("paused", c.Paused), zap.Int("unreachable", c.Unreachable), zap.Int("failing", c.Failing), zap.Duration("list_age", c.ListAge),
		zap.Int("runs", exec.runs), zap.Int("most_runs", exec.route.MaxAttempts),
	)
}

// callsExhausted reports whether the request has used all the calls that it is
// allowed.
func (exec *execution) callsExhausted() bool {
	return exec.sends >= maxSends || exec.runs >= exec.route.MaxAttempts
}

// placeRetry is like place for a call beyond the first, which the retry budget must
// allow.
func (exec *execution) placeRetry(ctx context.Context, model string, rank int) *attempt {
	exec.awaitExamination(ctx)
	a := exec.place(ctx, model, rank)
	if a != nil && !exec.chargeRetry() {
		exec.unplace(a)
		return nil
	}
	return a
}

// resumes reports whether the next call goes on with an answer that another one has begun.
func (exec *execution) resumes() bool { return exec.response.begun() || exec.req.LastEventID != "" }

// unplace takes back a call that was placed last and is not made.
func (exec *execution) unplace(a *attempt) {
	a.end(placement.Neutral)
	exec.sends--
	exec.lastUpstream = a.previousUpstream
}

// chargeRetry charges a call to the retry budget of the service, which all requests
// share, and reports whether the budget allows it. A call that replaces one that was not
// written is not charged.
func (exec *execution) chargeRetry() bool {
	if exec.lastUnsent {
		exec.lastUnsent = false
		return true
	}
	if !exec.srv.opts.RetryBudget.AllowRetry(exec.service.Name, time.Now()) {
		exec.srv.opts.Metrics.countCallEvent("retry denied")
		exec.srv.opts.Log.Info("retry denied", zap.String("request", exec.req.ID), zap.String("service", exec.service.Name), zap.Int("runs", exec.runs), zap.Int("sends", exec.sends))
		return false
	}
	return true
}

// hasRetries reports whether the retry budget would allow n calls now.
func (exec *execution) hasRetries(n int) bool {
	now, allowed := time.Now(), 0
	for allowed < n && exec.srv.opts.RetryBudget.AllowRetry(exec.service.Name, now) {
		allowed++
	}
	for range allowed {
		exec.srv.opts.RetryBudget.ReturnRetry(exec.service.Name, now)
	}
	return allowed == n
}

// place chooses an upstream for the next call and registers the call there. The
// call is cancelled with ctx. It returns nil if no call can be placed.
func (exec *execution) place(ctx context.Context, model string, rank int) *attempt {
	now := time.Now()
	if exec.callsExhausted() || ctx.Err() != nil || exec.ctx.Err() != nil || !exec.mayCall(now) || exec.srv.outdated(now) {
		return nil
	}
	q := &placement.Query{
		Service: exec.service.Name, Model: model, Rank: rank, Tokens: exec.req.PromptTokens, Parts: exec.req.Parts,
		OutputTokens: exec.req.expectedOutput(), KVTokens: exec.service.KVTokens,
		Exclude: exec.excluded, MaxPause: exec.route.MaxPause, Now: now,
	}
	if exec.exceedsMemory(q) {
		return nil
	}
	choice, call := exec.startCall(q, now)
	if call == nil || !exec.passesQuarantine(now) {
		if call != nil {
			call.End(placement.Neutral, now)
		}
		return nil
	}
	if choice.PrefillSeconds >= announceThreshold {
		exec.srv.announce()
	}
	exec.sends++
	a := &attempt{exec: exec, previousUpstream: exec.lastUpstream, choice: choice, call: call, model: model, start: now, test: exec.quarantined.Test}
	a.prompt = exec.srv.opts.Quarantine.Start(choice.Instance().String(), quarantine.HashRequest(exec.req.ID), exec.parts, exec.resumes(), now)
	a.ctx, a.cancel = context.WithCancel(ctx)
	exec.lastUpstream = choice.ID
	a.logMemory()
	return a
}

// maxChoices bounds the choices for one call. Another one is made if the room that a cold
// upstream had for the call was taken by other requests.
const maxChoices = 4

// startCall chooses an upstream and registers the call there. It returns nil if none can take it.
func (exec *execution) startCall(q *placement.Query, now time.Time) (placement.Choice, *placement.Call) {
	for range maxChoices {
		choice, ok := exec.choose(q)
		if !ok || exec.refusesLate(q, choice, now) {
			break
		}
		if call := exec.srv.opts.Balancer.Start(choice, q); call != nil {
			return choice, call
		}
	}
	return placement.Choice{}, nil
}

// choose chooses an upstream by release, in order of preference: the release
// that produced the stream so far; after a failed call, the releases allowed by
// AfterFailure; those that the session prefers; and then any that may serve the
// request.
func (exec *execution) choose(q *placement.Query) (placement.Choice, bool) {
	prefer, accept := exec.releaseFilter.Prefer, exec.releaseFilter.Accept
	filters := make([]func(string) bool, 0, 4)
	if exec.streamRelease != "" {
		filters = append(filters, func(r string) bool { return r == exec.streamRelease && allows(accept, r) })
	}
	if exec.anyCallFailed && exec.releaseFilter.AfterFailure != nil {
		filters = append(filters, exec.releaseFilter.AfterFailure)
	}
	filters = append(filters, prefer)
	if prefer != nil {
		filters = append(filters, accept)
	}
	for _, q.Allow = range filters {
		if c, ok := exec.srv.opts.Balancer.Choose(q); ok {
			return c, true
		}
	}
	return placement.Choice{}, false
}

// allows reports whether a filter accepts a release. A nil filter accepts all.
func allows(filter func(string) bool, release string) bool {
	return filter == nil || filter(release)
}

// exclude excludes an upstream from later calls of the request.
func (exec *execution) exclude(id string) {
	if exec.excluded == nil {
		exec.excluded = map[string]bool{}
	}
	exec.excluded[id] = true
}

// resultClass classifies the result of a call by what the request may do next.
type resultClass int

const (
	// deliverable: the response can be delivered to the client.
	deliverable resultClass = iota
	// notRun: the call did not run; another upstream may be tried.
	notRun
	// failed: the call ran or may have run, but gave no deliverable response.
	failed
)

// errUnregistered is returned for a call whose upstream began to drain,
// deregistered or asked for no calls after it was chosen and before the request was
// written.
var errUnregistered = errors.New("upstream accepts no new calls")

// errOutdated is returned for a call that was placed before this VM was suspended for so
// long that an evacuation may be in force that it does not know.
var errOutdated = errors.New("the orders of the operator are outdated")

// errColdShare is returned for a call to a cold upstream that would exceed the share of this
// VM in the requests to it.
var errColdShare = errors.New("the share of the cold upstream is spent")

// errOutlastsStop is returned for a call of a request that may run only once, if a planned
// stop began before the request was written and may end before the call does.
var errOutlastsStop = errors.New("the call may outlast the planned stop")

// recordResult counts a call by its result class and records the release that serves
// the session.
func (exec *execution) recordResult(a *attempt, class resultClass) {
	if class != notRun {
		exec.recordServed(a)
	}
	exec.countResult(a, class)
}

// recordServed records that the release of a call serves the session.
func (exec *execution) recordServed(a *attempt) {
	exec.servedRelease = a.choice.Release
	exec.srv.opts.Splitter.Served(a.choice.Service, exec.sessionKey(), a.choice.Release, time.Now())
}

// countResult counts a call by its result class and excludes its upstream from later
// calls unless the response is deliverable.
func (exec *execution) countResult(a *attempt, class resultClass) {
	exec.lastUnsent, exec.examined = a.unsent, a.examined.Load()
	if class != notRun {
		exec.runs++
		exec.mayHaveRun = true
	}
	if class != deliverable {
		exec.exclude(a.choice.ID)
	}
	if class == failed {
		exec.anyCallFailed = true
	}
}

package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/placement"
	"github.com/savoryshift/savoryshift/rollout"
	"github.com/savoryshift/savoryshift/routing"
)

const (
	// stopRetryAfter sends callers of a stopping VM to another one at once.
	stopRetryAfter = 20 * time.Millisecond
	// noConfigurationRetryAfter leaves a starting VM time to read its
	// configuration.
	noConfigurationRetryAfter = 300 * time.Millisecond
	// noUpstreamRetryAfter is about the time until a lapsed registration is back
	// or another instance is started.
	noUpstreamRetryAfter = 400 * time.Millisecond
	// minSpread and spreadRange spread the return of refused callers, as parts of
	// the time that they are told.
	minSpread   = 0.75
	spreadRange = 0.75
	// announcedReading is the engine time in seconds from which peers are told of
	// a call at once; it is about what a request may wait without being noticed.
	announcedReading = 0.25
	// statusCallerLeft stands in log lines for requests without an answer, because
	// their callers left.
	statusCallerLeft = 499
	// maxSends bounds the calls of one request, including those that upstreams
	// refused without running them.
	maxSends = 6
	// reuseIdleUnsafe bounds the idle time of a connection that carries a request
	// which must not be repeated: a close that crosses the request would leave
	// its outcome unknown.
	reuseIdleUnsafe = 300 * time.Millisecond
	// reuseIdle bounds the idle time for requests that may be repeated.
	reuseIdle = 8 * time.Second
)

// execution is the state of one request. It belongs to the goroutine that
// serves the request, but for the fields that calls carry themselves.
type execution struct {
	s            *Server
	w            http.ResponseWriter
	ctx          context.Context
	start        time.Time
	req          *Request
	state        *State
	route        *routing.Route
	service      *routing.Service
	organisation string
	priority     int
	deadline     time.Time
	// end is the earlier of the caller's deadline and the route's timeout.
	end   time.Time
	allow rollout.Filter

	// runs counts calls that ran or may have run, sends all calls.
	runs, sends int
	excluded    map[string]bool
	// release is that of the stream that the caller is getting.
	release string
	// failed says that an upstream has failed the request.
	failed bool
	// mayHaveRun forbids answers that say "not run".
	mayHaveRun bool
	// wrote says that the header of an answer went to the caller.
	wrote  bool
	status int
	reason string
	model  string
	last   string
	// confidence is that of the model in the answer that was delivered, -1 if
	// unknown; firstEvent and pause are the time to the first event and the
	// longest time between two events.
	confidence        int
	firstEvent, pause time.Duration
}

// finish logs the outcome of the request.
func (x *execution) finish() {
	now := time.Now()
	route := ""
	if x.route != nil {
		route = x.route.Name
	}
	x.s.o.Metrics.request(route, x.status, x.reason, now.Sub(x.start))
	x.s.o.Log.Info("request",
		zap.String("request", x.req.ID), zap.String("route", route), zap.String("organisation", x.organisation),
		zap.Int("status", x.status), zap.String("reason", x.reason), zap.String("model", x.model),
		zap.String("upstream", x.last), zap.Int("runs", x.runs), zap.Int("sends", x.sends),
		zap.Duration("took", now.Sub(x.start)), zap.Int64("configuration", x.version()),
		zap.Int("confidence", x.confidence), zap.Duration("first_event", x.firstEvent), zap.Duration("pause", x.pause))
}

func (x *execution) version() int64 {
	if x.state == nil {
		return 0
	}
	return x.state.Snapshot.Version
}

// reject answers a request that can never be served as it is.
func (x *execution) reject(kind errkind.Kind) {
	x.answerKind(kind, 0)
}

// refuse answers a request that was not run and may come back.
func (x *execution) refuse(kind errkind.Kind, after time.Duration) {
	x.answerKind(kind, after)
}

// fail ends a request that may have run: nothing is promised.
func (x *execution) fail(kind errkind.Kind) {
	x.answerKind(kind, 0)
}

func (x *execution) answerKind(kind errkind.Kind, after time.Duration) {
	x.reason = string(kind)
	a := errkind.AnswerFor(kind)
	h := x.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if after > 0 {
		x.s.o.Codec.EncodeRefusal(h, x.req, spread(after, x.req.ID))
	}
	body := "savoryshift: " + string(kind) + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.status, x.wrote = a.Status, true
	x.w.WriteHeader(a.Status)
	_, _ = x.w.Write([]byte(body))
}

// spread varies the time after which a refused caller returns, so that callers
// that were refused together do not return together.
func spread(after time.Duration, id string) time.Duration {
	return time.Duration(float64(after) * (minSpread + spreadRange*point(id)))
}

// giveUp ends a request for which no further call can be made.
func (x *execution) giveUp() {
	if x.ctx.Err() != nil {
		x.reason = "caller left"
		x.status = statusCallerLeft
		panic(http.ErrAbortHandler)
	}
	switch {
	case !time.Now().Before(x.end):
		x.fail(errkind.UpstreamTimeout)
	case x.mayHaveRun:
		x.logUpstreams()
		x.fail(errkind.UpstreamFailed)
	default:
		x.logUpstreams()
		x.refuse(errkind.NoCapacity, noUpstreamRetryAfter)
	}
}

// logUpstreams says why no upstream can take a further call, unless the request
// has had all its calls.
func (x *execution) logUpstreams() {
	if x.spent() {
		return
	}
	c := x.s.o.Balancer.ExclusionCounts(&placement.Query{Service: x.service.Name, Exclude: x.excluded, Allow: x.allow.Accept, Now: time.Now()})
	x.s.o.Log.Info("no upstream",
		zap.String("request", x.req.ID), zap.String("service", x.service.Name), zap.Int("registered", c.Registered),
		zap.Int("tried", c.Tried), zap.Int("leaving", c.Leaving), zap.Int("lapsed", c.Lapsed), zap.Int("other_release", c.OtherRelease),
		zap.Int("unreachable", c.Unreachable), zap.Int("failing", c.Failing), zap.Duration("list_age", c.ListAge),
		zap.Int("runs", x.runs), zap.Int("most_runs", x.route.MaxAttempts),
	)
}

// spent reports whether the request has had all the calls that it may have.
func (x *execution) spent() bool {
	return x.sends >= maxSends || x.runs >= x.route.MaxAttempts
}

// repeat reports whether one more call may be made, and takes it from the
// budget that all requests share.
func (x *execution) repeat() bool {
	if x.spent() {
		return false
	}
	return x.s.o.RetryBudget.AllowRetry(x.service.Name, time.Now())
}

// place chooses the upstream of the next call, which ends with ctx.
func (x *execution) place(ctx context.Context, model string, rank int) *attempt {
	if x.spent() || ctx.Err() != nil || x.ctx.Err() != nil {
		return nil
	}
	now := time.Now()
	q := &placement.Query{
		Service: x.service.Name, Model: model, Rank: rank, Tokens: x.req.PromptTokens, Parts: x.req.Parts,
		Exclude: x.excluded, Now: now,
	}
	choice, ok := x.choose(q)
	if !ok {
		return nil
	}
	call := x.s.o.Balancer.Start(choice, q)
	if call == nil {
		return nil
	}
	if choice.PrefillSeconds >= announcedReading && x.s.o.AnnounceLoad != nil {
		x.s.o.AnnounceLoad()
	}
	x.sends++
	x.last = choice.ID
	a := &attempt{x: x, choice: choice, call: call, model: model, start: now}
	a.ctx, a.cancel = context.WithCancel(ctx)
	return a
}

// choose tries the releases in the order in which they suit the request: the
// one that the stream at hand came from, after a failure the release that is
// known to work, those of the session, and then whatever may serve it.
func (x *execution) choose(q *placement.Query) (placement.Choice, bool) {
	prefer, accept := x.allow.Prefer, x.allow.Accept
	filters := make([]func(string) bool, 0, 4)
	if x.release != "" {
		filters = append(filters, func(r string) bool { return r == x.release && allows(accept, r) })
	}
	if x.failed && x.allow.AfterFailure != nil {
		filters = append(filters, x.allow.AfterFailure)
	}
	filters = append(filters, prefer)
	if prefer != nil {
		filters = append(filters, accept)
	}
	for _, q.Allow = range filters {
		if c, ok := x.s.o.Balancer.Choose(q); ok {
			return c, true
		}
	}
	return placement.Choice{}, false
}

// allows reports whether a filter lets a release through; nil lets all through.
func allows(filter func(string) bool, release string) bool {
	return filter == nil || filter(release)
}

// exclude keeps later calls of the request away from an upstream.
func (x *execution) exclude(id string) {
	if x.excluded == nil {
		x.excluded = map[string]bool{}
	}
	x.excluded[id] = true
}

// verdict is what a call's answer means for the request.
type verdict int

const (
	// good answers are delivered.
	good verdict = iota
	// notRun: nothing ran; another upstream may be asked.
	notRun
	// failed: the call ran or may have run, without a good answer.
	failed
)

// errUnregistered keeps a call from being sent to an upstream that left between
// the choice and the write.
var errUnregistered = errors.New("upstream takes no new work")

// settle counts a call by its verdict and keeps later calls away from an
// upstream that gave no good answer.
func (x *execution) settle(a *attempt, v verdict) {
	if v != notRun {
		x.runs++
		x.mayHaveRun = true
		x.s.o.Splitter.Served(a.choice.Service, x.sessionKey(), a.choice.Release, time.Now())
	}
	if v != good {
		x.exclude(a.choice.ID)
	}
	if v == failed {
		x.failed = true
	}
}

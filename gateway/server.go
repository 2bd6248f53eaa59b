package gateway

import (
	"context"
	"errors"
	"hash/fnv"
	"math"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/admission"
	"github.com/savoryshift/savoryshift/cascade"
	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/exchange"
	"github.com/savoryshift/savoryshift/internal/bodybudget"
	"github.com/savoryshift/savoryshift/internal/clientlimit"
	"github.com/savoryshift/savoryshift/placement"
	"github.com/savoryshift/savoryshift/quarantine"
	"github.com/savoryshift/savoryshift/routing"
)

const (
	// defaultPatience is the deadline of requests whose client states none.
	defaultPatience = 30 * time.Second
	// defaultMaxBody bounds request bodies, in bytes, if the configuration sets no
	// limit.
	defaultMaxBody = 4 << 20
	// defaultMaxBuffered is the default of Options.MaxBuffered and MaxRequestBodies.
	defaultMaxBuffered = 64 << 20
	// bodyRetryAfter is when the client of a request is to retry for whose body there is no
	// memory.
	bodyRetryAfter = time.Second
)

// Options configures a Server.
type Options struct {
	Codec       Codec
	Balancer    *placement.Balancer
	Pool        *exchange.Pool
	Splitter    Splitter
	RetryBudget RetryBudget
	Log         *zap.Logger
	Metrics     *Metrics
	// Quarantine holds the parts of prompts that end upstreams. Default: one without
	// peers.
	Quarantine *quarantine.Tracker
	// Fairness holds the engine time that organisations use, with that of peers. Default: one
	// without peers.
	Fairness *admission.Fairness
	// Outdated reports whether this VM may lack orders of the operator that must be in
	// force: it makes no calls then. It may be nil.
	Outdated func(now time.Time) bool
	// Announce is called after a call with a long prompt is placed and after an upstream
	// ended under a request, so that peers learn of it at once; it may be nil.
	Announce func()
	// MaxBuffered bounds the memory, in bytes, for response bodies that are being
	// read, MaxRequestBodies that for bodies of requests, which are held until the requests
	// end. Default: 64 MiB each.
	MaxBuffered, MaxRequestBodies int64
}

// RetryBudget bounds the retries of each service: the calls of its requests beyond
// the first of each request.
type RetryBudget interface {
	// RecordRequest records a request for a service; the budget grows with requests.
	RecordRequest(service string, now time.Time)
	// AllowRetry reports whether one more call may be made and, if so, charges it to
	// the budget.
	AllowRetry(service string, now time.Time) bool
	// ReturnRetry takes back the last charge of AllowRetry for a call that is not made.
	ReturnRetry(service string, now time.Time)
}

// Server is the HTTP handler for client requests. It is safe for concurrent use. The
// http.Server needs cutoff.ConnContext.
type Server struct {
	opts  Options
	state atomic.Pointer[State]
	stop  *stopState
	// active is the number of requests in progress, received that of all requests.
	active     atomic.Int64
	received   atomic.Int64
	valuations valuations
	durations  routeDurations
	accuracies accuracies
	// buffers is the memory for responses, bodies that for the bodies of requests.
	buffers, bodies *bodybudget.Budget
	ends            endExaminer
}

// New returns a server without a configuration. It refuses all requests until
// SetState is called.
func New(opts Options) *Server {
	if opts.Metrics == nil {
		opts.Metrics = NewMetrics()
	}
	if opts.Quarantine == nil {
		opts.Quarantine = quarantine.New(quarantine.Options{})
	}
	if opts.Fairness == nil {
		opts.Fairness = admission.NewFairness()
	}
	if opts.MaxBuffered == 0 {
		opts.MaxBuffered = defaultMaxBuffered
	}
	if opts.MaxRequestBodies == 0 {
		opts.MaxRequestBodies = defaultMaxBuffered
	}
	return &Server{
		opts: opts, stop: newStopState(), valuations: valuations{byService: map[string]*cascade.Valuation{}},
		durations: routeDurations{byRoute: map[string]*durations{}}, buffers: bodybudget.New(opts.MaxBuffered), bodies: bodybudget.New(opts.MaxRequestBodies),
		ends: endExaminer{pending: map[placement.Instance]*examination{}},
	}
}

// outdated reports whether no call may be made because orders of the operator may be
// missing.
func (srv *Server) outdated(now time.Time) bool {
	return srv.opts.Outdated != nil && srv.opts.Outdated(now)
}

// SetState replaces the routing configuration.
func (srv *Server) SetState(st *State) {
	srv.state.Store(st)
	names := map[string]bool{}
	for i := range st.Snapshot.Routes {
		names[st.Snapshot.Routes[i].Name] = true
	}
	exists := func(route string) bool { return names[route] }
	srv.durations.keep(exists)
	srv.valuations.keep(st.Snapshot, exists)
	srv.accuracies.keep(func(service string) bool { return st.Snapshot.Service(service) != nil })
}

// Version returns the version of the configuration in force, 0 before there is one.
func (srv *Server) Version() int64 {
	if st := srv.state.Load(); st != nil {
		return st.Snapshot.Version
	}
	return 0
}

// announce makes peers learn of the state of this VM at once.
func (srv *Server) announce() {
	if srv.opts.Announce != nil {
		srv.opts.Announce()
	}
}

// Active returns the number of requests in progress.
func (srv *Server) Active() int { return int(srv.active.Load()) }

// BufferedBytes returns the memory, in bytes, that long bodies and events of responses use
// while they are read.
func (srv *Server) BufferedBytes() int64 { return srv.buffers.Used() }

// SetMaxBuffered replaces Options.MaxBuffered.
func (srv *Server) SetMaxBuffered(bytes int64) { srv.buffers.SetLimit(bytes) }

// RequestBodyBytes returns the memory, in bytes, that long bodies of requests use.
func (srv *Server) RequestBodyBytes() int64 { return srv.bodies.Used() }

// Received returns the number of requests since the start.
func (srv *Server) Received() int64 { return srv.received.Load() }

// ServeHTTP handles one client request.
func (srv *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	srv.active.Add(1)
	defer srv.active.Add(-1)
	srv.received.Add(1)
	exec := &execution{srv: srv, response: newClientResponse(w), req: &Request{}, start: time.Now(), ctx: r.Context(), oldProtocol: !r.ProtoAtLeast(1, 1), bodyLeft: r.ContentLength != 0, body: srv.bodyShare(r.Context()), confidence: -1}
	defer exec.finish()
	req, err := srv.opts.Codec.Decode(r)
	exec.req = &req
	st := srv.state.Load()
	switch {
	case st == nil:
		exec.refuse(errkind.NoConfiguration, noConfigurationRetryAfter)
		return
	case err != nil:
		exec.reject(errkind.BadRequest)
		return
	}
	if !exec.admit(st) {
		return
	}
	if exec.refuseInStop() || !exec.joinFlow(r.ContentLength) || !exec.readBody(r, st.Snapshot.Limits.MaxBodyBytes) || exec.refuseInStop() {
		return
	}
	exec.run()
}

// bodyShare returns the share of a request in the memory of its client, or in that for the
// bodies of all requests if its server has no limit on clients.
func (srv *Server) bodyShare(ctx context.Context) *bodybudget.Share {
	if s := clientlimit.Share(ctx); s != nil {
		return s
	}
	return srv.bodies.Share()
}

// admit matches the route, authenticates the organisation, picks the service and
// sets the deadlines. It returns false if it has rejected the request.
func (exec *execution) admit(st *State) bool {
	exec.state = st
	exec.route = st.Snapshot.Match(exec.req.Host, exec.req.Path)
	if exec.route == nil {
		exec.reject(errkind.NotFound)
		return false
	}
	exec.priority = exec.route.Priority
	if st.Snapshot.HasOrganisations() && !exec.route.Public {
		o := st.Snapshot.Organisation(exec.req.Key)
		if o == nil {
			exec.reject(errkind.Unauthenticated)
			return false
		}
		exec.organisation = o.Name
		if o.HasPriority {
			exec.priority = o.Priority
		}
	}
	exec.service = st.Snapshot.Service(exec.route.Pick(hashFraction(exec.req.ID)))
	patience := exec.req.Patience
	if patience <= 0 {
		patience = defaultPatience
	}
	exec.clientDeadline = exec.start.Add(patience)
	exec.deadline = exec.clientDeadline
	if exec.route.Timeout > 0 && exec.route.Timeout < patience {
		exec.deadline = exec.start.Add(exec.route.Timeout)
	}
	return true
}

// hashFraction hashes a string to a number in [0, 1).
func hashFraction(text string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	v := h.Sum64()
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33
	return float64(v>>11) / (1 << 53)
}

// smallBody is the size of a body from which a request counts as one of another flow, so that
// long bodies do not keep small requests out.
const smallBody = 16 << 10

// joinFlow makes the request one of the flow of its organisation, its route and its size, which
// have a share of the memory and of the descriptors for clients. It refuses the request if the
// flow uses its share.
func (exec *execution) joinFlow(length int64) bool {
	flow := exec.organisation + "\x00" + exec.route.Name
	if length < 0 || length > smallBody {
		flow += "\x00long"
	}
	if clientlimit.Join(exec.ctx, flow) != nil {
		exec.refuse(errkind.NoCapacity, bodyRetryAfter)
		return false
	}
	return true
}

// readBody reads the whole body. The request can then be sent again, and
// net/http detects when the client closes the connection, which it does only
// after the body is read. A request for whose body there is no memory is refused.
func (exec *execution) readBody(r *http.Request, limit int64) bool {
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if r.ContentLength > limit {
		exec.reject(errkind.PayloadTooLarge)
		return false
	}
	if r.ContentLength == 0 {
		return true
	}
	release := exec.boundBody()
	readAll := clientlimit.ReadingBody(exec.ctx)
	limit = min(limit, math.MaxInt-1)
	body, err := exec.body.ReadAll(http.MaxBytesReader(exec.response.w, r.Body, limit), int(max(0, r.ContentLength)), int(limit)+1)
	if lost := readAll(); lost != nil {
		err = lost
	}
	release(err == nil)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		exec.refuseForStop()
	case errors.Is(err, bodybudget.ErrFull):
		exec.refuse(errkind.NoCapacity, bodyRetryAfter)
	case errors.As(err, &tooLarge):
		exec.reject(errkind.PayloadTooLarge)
	case err != nil:
		exec.reject(errkind.BadRequest)
	}
	exec.req.Body, exec.bodyLeft = body, err != nil
	return err == nil
}

// run serves an admitted request.
func (exec *execution) run() {
	ctx := exec.ctx
	if exec.route.Kind == routing.Unsafe {
		// An unsafe request is not cancelled when its client disconnects, because
		// it would then be unknown how much of it ran.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, exec.deadline)
	defer cancel()
	defer exec.endWithStop(cancel)()
	begun := time.Now()
	defer func() { exec.recordDuration(begun, time.Now()) }()
	exec.srv.opts.RetryBudget.RecordRequest(exec.service.Name, exec.start)
	defer exec.recordSessionUse()
	exec.parts = sharedParts(exec.req.Parts)
	exec.releaseFilter = exec.srv.opts.Splitter.Allow(exec.service.Name, exec.sessionKey(), exec.start)
	if exec.route.Kind == routing.Stream {
		exec.serveStream(ctx)
		return
	}
	exec.serveWhole(ctx)
}

// sessionKey returns the key by which a release is chosen and kept: the session
// ID, or the request ID if there is no session.
func (exec *execution) sessionKey() string {
	if exec.req.Session != "" {
		return exec.req.Session
	}
	return exec.req.ID
}

// recordSessionUse records the release that the session has used until now. The time
// until a session is idle begins with the end of its last request.
func (exec *execution) recordSessionUse() {
	if exec.servedRelease != "" {
		exec.srv.opts.Splitter.Served(exec.service.Name, exec.sessionKey(), exec.servedRelease, time.Now())
	}
}

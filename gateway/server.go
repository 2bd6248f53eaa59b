package gateway

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/exchange"
	"github.com/savoryshift/savoryshift/placement"
	"github.com/savoryshift/savoryshift/routing"
)

const (
	// defaultPatience is assumed of callers that state no deadline.
	defaultPatience = 30 * time.Second
	// defaultMaxBody bounds bodies while the configuration states no limit.
	defaultMaxBody = 4 << 20
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
	// AnnounceLoad tells peers of much work that was just sent; it may be nil.
	AnnounceLoad func()
}

// RetryBudget bounds calls beyond the first of a request.
type RetryBudget interface {
	// RecordRequest notes a request for a service.
	RecordRequest(service string, now time.Time)
	// AllowRetry reports whether one more call may be made, and notes it.
	AllowRetry(service string, now time.Time) bool
}

// Server is the handler for callers. It is safe for concurrent use.
type Server struct {
	o     Options
	state atomic.Pointer[State]
	// stopping is the time at which the process was asked to stop, nil before. It
	// keeps the steady clock's reading, because the time of day may jump.
	stopping atomic.Pointer[time.Time]
	active   atomic.Int64
	sizes    sizes
}

// New returns a server without a configuration; it refuses until SetState.
func New(o Options) *Server {
	if o.Metrics == nil {
		o.Metrics = NewMetrics()
	}
	return &Server{o: o, sizes: sizes{means: map[string]*meanSize{}}}
}

// SetState replaces the configuration.
func (s *Server) SetState(st *State) { s.state.Store(st) }

// Version returns the version of the configuration in force, 0 before there is one.
func (s *Server) Version() int64 {
	if st := s.state.Load(); st != nil {
		return st.Snapshot.Version
	}
	return 0
}

// Active returns the number of requests in progress.
func (s *Server) Active() int { return int(s.active.Load()) }

// Stop makes the server announce the end of connections. Requests on kept
// connections are still served for a while.
func (s *Server) Stop(now time.Time) { s.stopping.Store(&now) }

const (
	// streamsAfterStop and othersAfterStop are how long after the request to stop
	// new streams and other requests are still taken. A later stream could be cut
	// by the end of the grace period, which other requests are far from.
	streamsAfterStop = 3 * time.Second
	othersAfterStop  = 5 * time.Second
)

// refusesAfterStop reports whether a stopping server takes a request no more.
func (s *Server) refusesAfterStop(kind routing.Kind, now time.Time) bool {
	at := s.stopping.Load()
	if at == nil {
		return false
	}
	limit := othersAfterStop
	if kind == routing.Stream {
		limit = streamsAfterStop
	}
	return now.Sub(*at) > limit
}

// ServeHTTP handles one request of a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	x := &execution{s: s, w: w, start: time.Now(), ctx: r.Context(), confidence: -1}
	defer x.finish()
	if s.stopping.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	req, err := s.o.Codec.Decode(r)
	x.req = &req
	st := s.state.Load()
	switch {
	case st == nil:
		x.refuse(errkind.NoConfiguration, noConfigurationRetryAfter)
		return
	case err != nil:
		x.reject(errkind.BadRequest)
		return
	}
	if !x.admit(st) {
		return
	}
	if s.refusesAfterStop(x.route.Kind, x.start) {
		x.refuse(errkind.ShuttingDown, stopRetryAfter)
		return
	}
	if !x.readBody(r, st.Snapshot.Limits.MaxBodyBytes) {
		return
	}
	x.run()
}

// admit finds the route and the organisation.
func (x *execution) admit(st *State) bool {
	x.state = st
	x.route = st.Snapshot.Match(x.req.Host, x.req.Path)
	if x.route == nil {
		x.reject(errkind.NotFound)
		return false
	}
	x.priority = x.route.Priority
	if st.Snapshot.HasOrganisations() && !x.route.Public {
		o := st.Snapshot.Organisation(x.req.Key)
		if o == nil {
			x.reject(errkind.Unauthenticated)
			return false
		}
		x.organisation = o.Name
		if o.HasPriority {
			x.priority = o.Priority
		}
	}
	x.service = st.Snapshot.Service(x.route.Pick(point(x.req.ID)))
	patience := x.req.Patience
	if patience <= 0 {
		patience = defaultPatience
	}
	x.deadline = x.start.Add(patience)
	x.end = x.deadline
	if x.route.Timeout > 0 && x.route.Timeout < patience {
		x.end = x.start.Add(x.route.Timeout)
	}
	return true
}

// point maps a text to [0, 1).
func point(text string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	v := h.Sum64()
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33
	return float64(v>>11) / (1 << 53)
}

// readBody reads the whole body, so that a call can be repeated and the end of
// the caller's connection is noticed.
func (x *execution) readBody(r *http.Request, limit int64) bool {
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if r.ContentLength > limit {
		x.reject(errkind.PayloadTooLarge)
		return false
	}
	if r.ContentLength == 0 {
		return true
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		x.reject(errkind.PayloadTooLarge)
	case err != nil:
		x.reject(errkind.BadRequest)
	}
	x.req.Body = body
	return err == nil
}

// run serves an admitted request.
func (x *execution) run() {
	ctx := x.ctx
	if x.route.Kind == routing.Unsafe {
		// A booking that has begun is not broken off because its caller has left:
		// how far it got would not be known.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, x.end)
	defer cancel()
	x.s.o.RetryBudget.RecordRequest(x.service.Name, x.start)
	x.allow = x.s.o.Splitter.Allow(x.service.Name, x.sessionKey(), x.start)
	if x.route.Kind == routing.Stream {
		x.stream(ctx)
		return
	}
	x.whole(ctx)
}

// sessionKey names what keeps its release: the session, or else the request.
func (x *execution) sessionKey() string {
	if x.req.Session != "" {
		return x.req.Session
	}
	return x.req.ID
}

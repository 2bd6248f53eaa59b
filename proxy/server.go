package proxy

import (
	"context"
	"expvar"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/internal/clientlimit"
	"github.com/savoryshift/savoryshift/quarantine"
	"github.com/savoryshift/savoryshift/tree"
)

// Server handles the requests of callers. It is safe for concurrent use.
type Server struct {
	options  Options
	mux      *http.ServeMux
	budgets  retryBudgets
	inFlight atomic.Int64
	counters counters
	stop     plannedStop
	// ratingSlots limits the ratings that run after their response was
	// delivered.
	ratingSlots chan struct{}
}

// counters are published by Vars.
type counters struct {
	requests       expvar.Int
	answered       expvar.Int
	retries        expvar.Int
	retriesRefused expvar.Int
	callersLeft    expvar.Int
	repeated       expvar.Int
	unfinished     expvar.Int
	ratingErrors   expvar.Int
	cancelsFailed  expvar.Int
	secondCalls    expvar.Int
	ratingsDropped expvar.Int
	plans          expvar.Map
	errors         expvar.Map
}

// New returns a Server. It starts no goroutine.
func New(options Options) *Server {
	options.Bounds.setDefaults()
	if options.Quarantine == nil {
		options.Quarantine = quarantine.New(quarantine.Options{})
	}
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	s := &Server{options: options, mux: http.NewServeMux(), ratingSlots: make(chan struct{}, maxSampledRatings)}
	s.stop.init()
	s.budgets.budgets = make(map[string]*retryBudget)
	s.counters.plans.Init()
	s.counters.errors.Init()
	s.mux.HandleFunc("POST /v1/chat/completions", s.admit(s.chatCompletions))
	s.mux.HandleFunc("GET /v1/models", s.admit(s.listModels))
	s.mux.HandleFunc("/", s.admit(s.plainService))
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Vars returns the counters for publication through expvar.
func (s *Server) Vars() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("requests", &s.counters.requests)
	m.Set("answered", &s.counters.answered)
	m.Set("retries", &s.counters.retries)
	m.Set("retries_refused", &s.counters.retriesRefused)
	m.Set("second_calls", &s.counters.secondCalls)
	m.Set("cancels_failed", &s.counters.cancelsFailed)
	m.Set("rating_errors", &s.counters.ratingErrors)
	m.Set("ratings_dropped", &s.counters.ratingsDropped)
	m.Set("callers_left", &s.counters.callersLeft)
	m.Set("repeated", &s.counters.repeated)
	m.Set("unfinished", &s.counters.unfinished)
	m.Set("plans", &s.counters.plans)
	m.Set("errors", &s.counters.errors)
	m.Set("in_flight", expvar.Func(func() any { return s.inFlight.Load() }))
	return m
}

// request is an authenticated request.
type request struct {
	*http.Request
	id           string
	arrival      time.Time
	organisation string
	snapshot     *tree.Snapshot
}

// handler handles one authenticated request. A returned error is sent as the
// response; a handler that has started its response returns nil.
type handler func(w *callerResponse, r *request) error

// admit counts and authenticates a request and enforces the limit on concurrent
// requests before it calls h.
func (s *Server) admit(h handler) http.HandlerFunc {
	return func(hw http.ResponseWriter, hr *http.Request) {
		s.counters.requests.Add(1)
		w, r := &callerResponse{ResponseWriter: hw, body: clientlimit.Share(hr.Context())}, &request{Request: hr, id: newRequestID(), arrival: time.Now()}
		defer s.finish(w, r)
		inFlight := s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		s.stop.add(r.id)
		defer s.stop.remove(r.id)
		w.Header().Set(HeaderRequestID, r.id)
		limitBodyTime(w, hr, s.options.Bounds.BodyReadTimeout)
		err := s.authenticate(r, inFlight)
		if err == nil {
			err = joinFlow(r)
		}
		if err == nil {
			err = h(w, r)
		}
		if err = s.stopError(hr.Context(), r.id, err); err != nil {
			s.counters.errors.Add(string(errkind.Of(err)), 1)
			writeError(w, r, err)
			return
		}
	}
}

// newRequestID returns a UUID that sorts by time, so that ledger keys of the
// same period are adjacent.
func newRequestID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

// authenticate sets the settings snapshot and the organisation of a request. It
// rejects the request when this daemon is at its limit of concurrent requests
// or has no configuration.
func (s *Server) authenticate(r *request, inFlight int64) error {
	if inFlight > s.options.Bounds.ConcurrentRequests {
		return errkind.New(errkind.NoCapacity, "this daemon is answering %d requests, its bound", s.options.Bounds.ConcurrentRequests)
	}
	r.snapshot = s.options.Snapshot()
	if r.snapshot == nil {
		return errkind.New(errkind.NoConfiguration, "this daemon has not received a configuration yet")
	}
	key, err := bearerKey(r.Request)
	if err != nil {
		return err
	}
	organisation, ok := r.snapshot.Authenticate(key)
	if !ok {
		return errkind.New(errkind.Unauthenticated, "the key belongs to no organisation")
	}
	r.organisation = organisation
	return nil
}

// smallBody is the size of a body from which a request counts as one of another flow, so that
// long bodies do not keep small requests out.
const smallBody = 16 << 10

// joinFlow makes the request one of the flow of its organisation, its service and its size,
// which have a share of the memory and of the descriptors for callers. It returns an error if
// the flow uses its share.
func joinFlow(r *request) error {
	// Chats and lists of models belong to no plain service.
	service, _ := r.snapshot.ServiceForPath(r.URL.Path)
	flow := r.organisation + "\x00" + service
	if r.ContentLength < 0 || r.ContentLength > smallBody {
		flow += "\x00long"
	}
	if clientlimit.Join(r.Context(), flow) != nil {
		return errkind.New(errkind.NoCapacity, "requests of this kind use all of their share of this daemon")
	}
	return nil
}

// bill records usage in the ledger, even if the caller has disconnected.
func bill(ctx context.Context, reservation Reservation, u Usage) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), billingTimeout)
	defer cancel()
	return reservation.Add(ctx, u)
}

const (
	// maxSampledRatings limits the concurrent ratings of delivered responses,
	// which only provide data for later decisions of the Router.
	maxSampledRatings = 64
	// sampledRatingTimeout limits the duration of such a rating.
	sampledRatingTimeout = 10 * time.Second
)

// sampleRating rates a delivered response when the Router asks for it. When too
// many ratings are in flight, it drops the rating and counts it.
func (s *Server) sampleRating(m *modelRequest, resp reply) {
	if resp.text == "" || !s.options.Router.SampleRating(m.route, resp.target) {
		return
	}
	select {
	case s.ratingSlots <- struct{}{}:
	default:
		s.counters.ratingsDropped.Add(1)
		return
	}
	s.inBackground(m.route.RequestID, func() {
		defer func() { <-s.ratingSlots }()
		ctx, cancel := context.WithTimeout(context.Background(), sampledRatingTimeout)
		defer cancel()
		s.rate(ctx, m, resp)
	})
}

package standin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/savoryshift/savoryshift/coord/memstore"
	"github.com/savoryshift/savoryshift/coord/store"
	"github.com/savoryshift/savoryshift/infra"
)

const (
	// DefaultWritesPerSecond and DefaultReadsPerSecond are the platform's
	// stated capacity.
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
	// DefaultVMListLag delays what the list of VMs shows.
	DefaultVMListLag = time.Second
	// DefaultTransfersPerSecond limits the weight store.
	DefaultTransfersPerSecond = 2

	maxBodyBytes = 64 << 20
)

// Options configures a Server.
type Options struct {
	// WritesPerSecond limits table and object writes; default
	// DefaultWritesPerSecond.
	WritesPerSecond float64
	// ReadsPerSecond limits reads; default DefaultReadsPerSecond.
	ReadsPerSecond float64
	// VMListLag is the age of the list of VMs; default DefaultVMListLag.
	VMListLag time.Duration
	// RateAnswer judges answers; default every answer is good.
	RateAnswer func(infra.RatingRequest) bool
}

// Server is the platform stand-in. It is safe for concurrent use.
type Server struct {
	store     *memstore.Store
	mux       *http.ServeMux
	writes    *rate.Limiter
	reads     *rate.Limiter
	transfers *rate.Limiter
	lag       time.Duration
	judge     func(infra.RatingRequest) bool

	mu  sync.Mutex
	vms []listing
}

// listing is a VM list as it was at one moment.
type listing struct {
	at  time.Time
	vms []infra.VM
}

// New returns a stand-in with an empty table, object store and list of VMs.
func New(o Options) *Server {
	s := &Server{
		store:     memstore.New(),
		mux:       http.NewServeMux(),
		writes:    newLimiter(o.WritesPerSecond, DefaultWritesPerSecond),
		reads:     newLimiter(o.ReadsPerSecond, DefaultReadsPerSecond),
		transfers: newLimiter(DefaultTransfersPerSecond, 0),
		lag:       o.VMListLag,
		judge:     o.RateAnswer,
	}
	if s.lag == 0 {
		s.lag = DefaultVMListLag
	}
	if s.judge == nil {
		s.judge = func(infra.RatingRequest) bool { return true }
	}
	s.mux.HandleFunc("POST /table/get", s.tableGet)
	s.mux.HandleFunc("POST /table/commit", s.tableCommit)
	s.mux.HandleFunc("GET /table/scan", s.tableScan)
	s.mux.HandleFunc("PUT /objects/{name...}", s.objectPut)
	s.mux.HandleFunc("GET /objects/{name...}", s.objectGet)
	s.mux.HandleFunc("GET /objects", s.objectList)
	s.mux.HandleFunc("GET /vms", s.listVMs)
	s.mux.HandleFunc("POST /ratings", s.rateAnswer)
	s.mux.HandleFunc("POST /weights/{version}/transfers", s.transfer)
	s.mux.HandleFunc("POST /standin/faults", s.setFaults)
	s.mux.HandleFunc("POST /standin/vms", s.setVMs)
	return s
}

// newLimiter admits a burst of one second's worth of calls.
func newLimiter(perSecond, def float64) *rate.Limiter {
	if perSecond == 0 {
		perSecond = def
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Store gives direct access to the stored rows and objects, for inspection and
// fault injection.
func (s *Server) Store() *memstore.Store { return s.store }

// SetVMs replaces the list of VMs; readers see it after the lag.
func (s *Server) SetVMs(vms []infra.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = append(s.vms, listing{at: time.Now(), vms: slices.Clone(vms)})
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	s.mux.ServeHTTP(w, r)
}

// wait blocks until the limiter admits the call; it reports false when the
// caller left.
func wait(l *rate.Limiter, w http.ResponseWriter, r *http.Request) bool {
	if err := l.Wait(r.Context()); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (s *Server) tableGet(w http.ResponseWriter, r *http.Request) {
	var req infra.GetRequest
	if !decode(w, r, &req) || !wait(s.reads, w, r) {
		return
	}
	rows, err := s.store.Get(r.Context(), req.Keys...)
	reply(w, rows, err)
}

func (s *Server) tableCommit(w http.ResponseWriter, r *http.Request) {
	var req infra.CommitRequest
	if !decode(w, r, &req) || !wait(s.writes, w, r) {
		return
	}
	reply(w, struct{}{}, s.store.Commit(r.Context(), req.Ops))
}

func (s *Server) tableScan(w http.ResponseWriter, r *http.Request) {
	if !wait(s.reads, w, r) {
		return
	}
	prefix, after, limit := pageParams(r)
	rows, err := s.store.Scan(r.Context(), prefix, after, limit)
	reply(w, rows, err)
}

func pageParams(r *http.Request) (prefix, after string, limit int) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 {
		limit = 1000
	}
	return q.Get("prefix"), q.Get("after"), limit
}

func (s *Server) objectPut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !wait(s.writes, w, r) {
		return
	}
	reply(w, struct{}{}, s.store.Objects().Put(r.Context(), r.PathValue("name"), data))
}

func (s *Server) objectGet(w http.ResponseWriter, r *http.Request) {
	if !wait(s.reads, w, r) {
		return
	}
	data, err := s.store.Objects().Get(r.Context(), r.PathValue("name"))
	if err != nil {
		reply(w, nil, err)
		return
	}
	_, _ = w.Write(data)
}

func (s *Server) objectList(w http.ResponseWriter, r *http.Request) {
	if !wait(s.reads, w, r) {
		return
	}
	prefix, after, limit := pageParams(r)
	names, err := s.store.Objects().List(r.Context(), prefix, after, limit)
	reply(w, names, err)
}

func (s *Server) listVMs(w http.ResponseWriter, r *http.Request) {
	if s.store.Faults().Down {
		reply(w, nil, store.ErrUnavailable)
		return
	}
	data, err := json.Marshal(s.visibleVMs())
	if err != nil {
		reply(w, nil, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("ETag", fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(data), 16)))
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(data))
}

// visibleVMs returns the newest list that is at least as old as the lag. The
// first list is visible at once.
func (s *Server) visibleVMs() []infra.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	horizon := time.Now().Add(-s.lag)
	for len(s.vms) > 1 && !s.vms[1].at.After(horizon) {
		s.vms = s.vms[1:]
	}
	if len(s.vms) == 0 {
		return []infra.VM{}
	}
	return s.vms[0].vms
}

func (s *Server) rateAnswer(w http.ResponseWriter, r *http.Request) {
	var req infra.RatingRequest
	if !decode(w, r, &req) {
		return
	}
	reply(w, infra.RatingReply{Good: s.judge(req)}, nil)
}

func (s *Server) transfer(w http.ResponseWriter, r *http.Request) {
	var req infra.TransferRequest
	if !decode(w, r, &req) {
		return
	}
	if s.transfers.Allow() {
		reply(w, infra.TransferReply{Admitted: true}, nil)
		return
	}
	reply(w, infra.TransferReply{RetryAfterMs: time.Second.Milliseconds() / DefaultTransfersPerSecond}, nil)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f memstore.Faults
	if decode(w, r, &f) {
		s.store.SetFaults(f)
		reply(w, struct{}{}, nil)
	}
}

func (s *Server) setVMs(w http.ResponseWriter, r *http.Request) {
	var vms []infra.VM
	if decode(w, r, &vms) {
		s.SetVMs(vms)
		reply(w, struct{}{}, nil)
	}
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, "request body: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// reply writes v, or the status that stands for err.
func reply(w http.ResponseWriter, v any, err error) {
	status := http.StatusOK
	conflict, isConflict := errors.AsType[*store.ConflictError](err)
	switch {
	case err == nil:
	case isConflict:
		status, v = http.StatusConflict, infra.ConflictReply{Key: conflict.Key, Current: conflict.Current}
	case errors.Is(err, store.ErrUnavailable):
		status = http.StatusServiceUnavailable
	case errors.Is(err, store.ErrUnknown):
		status = http.StatusGatewayTimeout
	case errors.Is(err, store.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, store.ErrExists):
		status = http.StatusConflict
	default:
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if v != nil {
		_ = json.NewEncoder(w).Encode(v)
	}
}

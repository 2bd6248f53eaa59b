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
	// DefaultVMListLag is the delay after which the list of VMs shows a change.
	DefaultVMListLag = time.Second
	// DefaultTransfersPerSecond limits the transfers that the weight store admits.
	DefaultTransfersPerSecond = 2

	maxBodyBytes = 64 << 20
)

// Options configures a Server.
type Options struct {
	// WritesPerSecond limits table and object writes; default
	// DefaultWritesPerSecond.
	WritesPerSecond float64
	// ReadsPerSecond limits table and object reads; default DefaultReadsPerSecond.
	ReadsPerSecond float64
	// VMListLag is the delay after which the list of VMs shows a change; default
	// DefaultVMListLag.
	VMListLag time.Duration
	// RateAnswer reports whether an answer is good. Default: every answer is good.
	RateAnswer func(infra.RatingRequest) bool
}

// Server is an in-memory replacement for the platform. It is safe for concurrent
// use.
type Server struct {
	store     *memstore.Store
	mux       *http.ServeMux
	writes    *rate.Limiter
	reads     *rate.Limiter
	transfers *rate.Limiter
	vmListLag time.Duration
	judge     func(infra.RatingRequest) bool

	mu  sync.Mutex
	vms []vmListing
}

// vmListing is the list of VMs that was set at one time.
type vmListing struct {
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
		vmListLag: o.VMListLag,
		judge:     o.RateAnswer,
	}
	if s.vmListLag == 0 {
		s.vmListLag = DefaultVMListLag
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

// newLimiter returns a limiter with the rate perSecond, or def if that is 0, and a
// burst of one second's worth of calls.
func newLimiter(perSecond, def float64) *rate.Limiter {
	if perSecond == 0 {
		perSecond = def
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Store gives direct access to the stored rows and objects, for inspection and
// fault injection.
func (s *Server) Store() *memstore.Store { return s.store }

// SetVMs replaces the list of VMs. Readers see the new list after VMListLag.
func (s *Server) SetVMs(vms []infra.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = append(s.vms, vmListing{at: time.Now(), vms: slices.Clone(vms)})
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	s.mux.ServeHTTP(w, r)
}

// waitForLimiter blocks until the limiter admits the call. If the caller
// disconnects first, it writes an error and returns false.
func waitForLimiter(l *rate.Limiter, w http.ResponseWriter, r *http.Request) bool {
	if err := l.Wait(r.Context()); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (s *Server) tableGet(w http.ResponseWriter, r *http.Request) {
	var req infra.GetRequest
	if !decode(w, r, &req) || !waitForLimiter(s.reads, w, r) {
		return
	}
	rows, err := s.store.Get(r.Context(), req.Keys...)
	writeReply(w, rows, err)
}

func (s *Server) tableCommit(w http.ResponseWriter, r *http.Request) {
	var req infra.CommitRequest
	if !decode(w, r, &req) || !waitForLimiter(s.writes, w, r) {
		return
	}
	writeReply(w, struct{}{}, s.store.Commit(r.Context(), req.Ops))
}

func (s *Server) tableScan(w http.ResponseWriter, r *http.Request) {
	if !waitForLimiter(s.reads, w, r) {
		return
	}
	prefix, after, limit := pageParams(r)
	rows, err := s.store.Scan(r.Context(), prefix, after, limit)
	writeReply(w, rows, err)
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
	if !waitForLimiter(s.writes, w, r) {
		return
	}
	writeReply(w, struct{}{}, s.store.Objects().Put(r.Context(), r.PathValue("name"), data))
}

func (s *Server) objectGet(w http.ResponseWriter, r *http.Request) {
	if !waitForLimiter(s.reads, w, r) {
		return
	}
	data, err := s.store.Objects().Get(r.Context(), r.PathValue("name"))
	if err != nil {
		writeReply(w, nil, err)
		return
	}
	_, _ = w.Write(data)
}

func (s *Server) objectList(w http.ResponseWriter, r *http.Request) {
	if !waitForLimiter(s.reads, w, r) {
		return
	}
	prefix, after, limit := pageParams(r)
	names, err := s.store.Objects().List(r.Context(), prefix, after, limit)
	writeReply(w, names, err)
}

func (s *Server) listVMs(w http.ResponseWriter, r *http.Request) {
	if s.store.Faults().Down {
		writeReply(w, nil, store.ErrUnavailable)
		return
	}
	data, err := json.Marshal(s.visibleVMs())
	if err != nil {
		writeReply(w, nil, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("ETag", fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(data), 16)))
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(data))
}

// visibleVMs returns the newest list of VMs that was set at least VMListLag ago.
// The first list is visible immediately.
func (s *Server) visibleVMs() []infra.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	horizon := time.Now().Add(-s.vmListLag)
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
	writeReply(w, infra.RatingReply{Good: s.judge(req)}, nil)
}

func (s *Server) transfer(w http.ResponseWriter, r *http.Request) {
	var req infra.TransferRequest
	if !decode(w, r, &req) {
		return
	}
	if s.transfers.Allow() {
		writeReply(w, infra.TransferReply{Admitted: true}, nil)
		return
	}
	writeReply(w, infra.TransferReply{RetryAfterMs: time.Second.Milliseconds() / DefaultTransfersPerSecond}, nil)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f memstore.Faults
	if decode(w, r, &f) {
		s.store.SetFaults(f)
		writeReply(w, struct{}{}, nil)
	}
}

func (s *Server) setVMs(w http.ResponseWriter, r *http.Request) {
	var vms []infra.VM
	if decode(w, r, &vms) {
		s.SetVMs(vms)
		writeReply(w, struct{}{}, nil)
	}
}

// decode decodes the JSON body into v. If that fails, it writes an error and
// returns false.
func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, "request body: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeReply writes v as JSON, or the status that corresponds to err.
func writeReply(w http.ResponseWriter, v any, err error) {
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

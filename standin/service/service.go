package service

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	maxBodyBytes = 1 << 20

	// HeaderIdempotencyKey carries the idempotency key of a call. The service
	// records it with each execution and does not deduplicate by it.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Booking holds the content of a booking and whether it was returned.
type Booking struct {
	ID       string          `json:"id"`
	Content  json.RawMessage `json:"content"`
	Returned bool            `json:"returned"`
}

// Execution records one POST that created or returned a booking.
type Execution struct {
	Path           string    `json:"path"`
	Booking        string    `json:"booking"`
	IdempotencyKey string    `json:"idempotency_key"`
	At             time.Time `json:"at"`
}

// Faults is the set of injected faults; the zero value injects none.
type Faults struct {
	// SlowMs delays every call before it is executed, in milliseconds.
	SlowMs int64 `json:"slow_ms"`
	// FailBefore makes calls fail with status 503 without executing them.
	FailBefore bool `json:"fail_before"`
	// FailAfter executes calls and then answers with status 500.
	FailAfter bool `json:"fail_after"`
	// CutReply executes calls and breaks the connection in the middle of the
	// answer.
	CutReply bool `json:"cut_reply"`
}

// Service is an emulated booking service. It is safe for concurrent use.
type Service struct {
	mux *http.ServeMux

	mu         sync.Mutex
	faults     Faults
	bookings   map[string]*Booking
	ids        []string // of the bookings, in order of creation
	executions []Execution
}

// New returns a service without bookings.
func New() *Service {
	s := &Service{mux: http.NewServeMux(), bookings: map[string]*Booking{}}
	s.mux.HandleFunc("POST /bookings", s.execute(s.createBooking))
	s.mux.HandleFunc("POST /returns", s.execute(s.returnBooking))
	s.mux.HandleFunc("GET /bookings", s.execute(s.list))
	s.mux.HandleFunc("GET /bookings/{id}", s.execute(s.get))
	s.mux.HandleFunc("GET /standin/bookings", s.listExecutions)
	s.mux.HandleFunc("POST /standin/faults", s.postFaults)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	s.mux.ServeHTTP(w, r)
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Executions returns the recorded POST calls in order of execution.
func (s *Service) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.executions)
}

// execute returns a handler that runs an operation with the injected faults
// applied. The operation returns the HTTP status and the value to encode as the
// body.
func (s *Service) execute(operation func(r *http.Request, body []byte) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			reply(w, http.StatusBadRequest, errorBody{err.Error()})
			return
		}
		s.mu.Lock()
		f := s.faults
		s.mu.Unlock()
		if f.SlowMs > 0 && !delay(r, time.Duration(f.SlowMs)*time.Millisecond) {
			return
		}
		if f.FailBefore {
			reply(w, http.StatusServiceUnavailable, errorBody{"service is not available"})
			return
		}
		status, value := operation(r, body)
		switch {
		case f.FailAfter:
			reply(w, http.StatusInternalServerError, errorBody{"service failed"})
		case f.CutReply:
			writeTruncated(w, value)
		default:
			reply(w, status, value)
		}
	}
}

// delay waits for d. It reports false when the client disconnects first; the call
// must not be executed then.
func delay(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// errorBody is the JSON body of an error answer.
type errorBody struct {
	Error string `json:"error"`
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// writeTruncated writes the first half of an answer and breaks the connection.
func writeTruncated(w http.ResponseWriter, v any) {
	data, _ := json.Marshal(v)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data[:len(data)/2])
	panic(http.ErrAbortHandler)
}

func (s *Service) createBooking(r *http.Request, body []byte) (int, any) {
	if !json.Valid(body) {
		return http.StatusBadRequest, errorBody{"body is not JSON"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &Booking{ID: "b" + strconv.Itoa(len(s.ids)+1), Content: body}
	s.bookings[b.ID] = b
	s.ids = append(s.ids, b.ID)
	s.record(r, b.ID)
	return http.StatusCreated, *b
}

func (s *Service) returnBooking(r *http.Request, body []byte) (int, any) {
	var req struct {
		Booking string `json:"booking"`
	}
	if err := json.Unmarshal(body, &req); err != nil {
		return http.StatusBadRequest, errorBody{err.Error()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.bookings[req.Booking]
	switch {
	case !ok:
		return http.StatusNotFound, errorBody{"no booking " + req.Booking}
	case b.Returned:
		return http.StatusConflict, errorBody{"booking " + req.Booking + " was already returned"}
	}
	b.Returned = true
	s.record(r, b.ID)
	return http.StatusOK, *b
}

func (s *Service) record(r *http.Request, booking string) {
	s.executions = append(s.executions, Execution{
		Path: r.URL.Path, Booking: booking, IdempotencyKey: r.Header.Get(HeaderIdempotencyKey), At: time.Now(),
	})
}

func (s *Service) get(r *http.Request, _ []byte) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.bookings[r.PathValue("id")]
	if !ok {
		return http.StatusNotFound, errorBody{"no booking " + r.PathValue("id")}
	}
	return http.StatusOK, *b
}

func (s *Service) list(*http.Request, []byte) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Booking, len(s.ids))
	for i, id := range s.ids {
		out[i] = *s.bookings[id]
	}
	return http.StatusOK, out
}

func (s *Service) listExecutions(w http.ResponseWriter, _ *http.Request) {
	executions := s.Executions()
	if executions == nil {
		executions = []Execution{}
	}
	reply(w, http.StatusOK, executions)
}

func (s *Service) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		reply(w, http.StatusBadRequest, errorBody{err.Error()})
		return
	}
	s.SetFaults(f)
	reply(w, http.StatusOK, struct{}{})
}

package proxy

import (
	"context"
	"crypto/sha256"
	"errors"
	"hash"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/tree"
	"github.com/savoryshift/savoryshift/upstream"
)

// serviceRequest is a validated request to a plain service.
type serviceRequest struct {
	*request
	service   string
	effective *tree.Effective
	body      []byte
	deadline  time.Time
	budget    *retryBudget
}

// plainService handles a request under the path prefix of a plain service.
func (s *Server) plainService(w *callerResponse, r *request) error {
	q, err := s.prepareServiceRequest(w, r)
	if err != nil {
		return err
	}
	if err := s.stop.refuse(q.deadline); err != nil {
		return err
	}
	done, err := s.options.Limiter.Admit(q.effective, 0)
	if err != nil {
		return err
	}
	defer done(0)
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	if r.snapshot.AtMostOnce(q.service, r.Method) {
		return s.callAtMostOnce(ctx, w, q)
	}
	result, err := s.forwardIdempotent(ctx, q)
	if err != nil {
		return err
	}
	s.writeResult(ctx, w, q.Method, result, false)
	return nil
}

// prepareServiceRequest validates a request to a plain service and credits the
// retry budget of its organisation.
func (s *Server) prepareServiceRequest(w *callerResponse, r *request) (*serviceRequest, error) {
	service, ok := r.snapshot.ServiceForPath(r.URL.Path)
	if !ok {
		return nil, errkind.New(errkind.NotFound, "no service has the path %q", r.URL.Path)
	}
	e, err := r.snapshot.Effective(r.organisation, service, "")
	if err != nil {
		return nil, err
	}
	deadline, err := parseDeadline(r.Request, r.arrival, e.Deadline())
	if err != nil {
		return nil, err
	}
	body, err := readBody(w, r.Request, s.options.Bounds.BodyBytes)
	if err != nil {
		return nil, err
	}
	q := &serviceRequest{
		request:   r,
		service:   service,
		effective: e,
		body:      body,
		deadline:  deadline,
		budget:    s.budgets.forOrganisation(r.organisation),
	}
	q.budget.deposit(e.RetryBudget)
	return q, nil
}

// forwardIdempotent sends an idempotent call. After a failure it tries other
// instances, as long as the retry budget allows.
func (s *Server) forwardIdempotent(ctx context.Context, q *serviceRequest) (upstream.ServiceResult, error) {
	var tried []string
	mayHaveRun := false
	fail := func(err error) (upstream.ServiceResult, error) {
		if mayHaveRun && errkind.RanOf(err) == errkind.RanNo {
			err = errkind.WithRan(err, errkind.RanUnknown)
		}
		return upstream.ServiceResult{}, err
	}
	for {
		target, err := s.options.Router.ServiceTarget(q.service, tried)
		if err != nil {
			return fail(err)
		}
		result, err := s.options.Upstream.Forward(ctx, q.serviceCall(target, true, nil))
		s.options.Router.ServiceFinished(target, err)
		if err == nil {
			return result, holdResponse(q.Context(), result.Body)
		}
		mayHaveRun = mayHaveRun || errkind.RanOf(err) != errkind.RanNo
		tried = append(tried, target.Upstream)
		if ctx.Err() != nil || !q.budget.tryWithdraw() {
			return fail(err)
		}
		s.counters.retries.Add(1)
	}
}

// callAtMostOnce runs a non-idempotent call at most once per idempotency key.
// Only the attempt that wins the claim sends the call; a repeat receives the
// stored outcome.
func (s *Server) callAtMostOnce(ctx context.Context, w *callerResponse, q *serviceRequest) error {
	key, err := idempotencyKey(q.Request)
	if err != nil {
		return err
	}
	if key == "" {
		return errkind.New(errkind.BadRequest, "%s %s needs the header %s", q.Method, q.URL.Path, HeaderIdempotencyKey)
	}
	reservation, err := s.options.Biller.Reserve()
	if err != nil {
		return err
	}
	defer reservation.Cancel()
	claim, stored, err := s.options.Claims.Acquire(ctx, q.organisation, q.service+" "+key, q.fingerprint())
	if err != nil {
		return err
	}
	usage := Usage{Organisation: q.organisation, RequestKey: idempotentLedgerKey(q.service, key, q.body), Service: q.service}
	if stored != nil {
		usage.Time = stored.At
		return s.replayOutcome(ctx, w, q.Method, stored, reservation, usage)
	}
	result, at, err := s.dispatchClaimed(ctx, q, claim)
	if err != nil {
		return err
	}
	usage.Time = at
	if err := bill(ctx, reservation, usage); err != nil {
		return errkind.WithRan(err, errkind.RanYes)
	}
	s.writeResult(ctx, w, q.Method, result, false)
	return nil
}

// dispatchClaimed sends a call that holds its claim. As long as the call was
// certainly not sent, it tries the other instances of the service, and releases
// the claim if none takes the call. Once the call may have been sent, it is
// never sent again. It then also goes on when the caller leaves, so that a repeat
// gets its outcome.
func (s *Server) dispatchClaimed(ctx context.Context, q *serviceRequest, claim Claim) (result upstream.ServiceResult, at time.Time, err error) {
	var tried []string
	lastErr := errkind.New(errkind.NoCapacity, "no instance of service %q is available", q.service)
	callCtx, cancel := context.WithDeadline(s.stop.base, q.deadline)
	defer cancel()
	for {
		target, err := s.options.Router.ServiceTarget(q.service, tried)
		if err != nil {
			claim.Release()
			return upstream.ServiceResult{}, time.Time{}, errkind.WithRan(lastErr, errkind.RanNo)
		}
		dispatched := false
		serviceCall := q.serviceCall(target, false, func() error {
			if !time.Now().Before(q.deadline) {
				return errkind.New(errkind.DeadlinePassed, "the deadline passed before the call was sent")
			}
			if dispatched {
				return nil
			}
			if ctx.Err() != nil {
				return errkind.New(errkind.UpstreamFailed, "the request ended before the call was sent: %w", context.Cause(ctx))
			}
			if err := s.stop.refuse(q.deadline); err != nil {
				return err
			}
			if !s.options.Router.Usable(target) {
				return errkind.New(errkind.UpstreamRefused, "upstream %q takes no new work", target.Upstream)
			}
			if err := claim.BeginDispatch(); err != nil {
				return err
			}
			dispatched = true
			return nil
		})
		result, err = s.options.Upstream.Forward(callCtx, serviceCall)
		s.options.Router.ServiceFinished(target, err)
		if err == nil {
			outcome := newStoredOutcome(result, s.options.Bounds.OutcomeBytes)
			claim.Complete(outcome)
			return result, outcome.At, holdResponse(q.Context(), result.Body)
		}
		if dispatched {
			// The call may have run. The claim is not released, so that a repeat
			// fails with OutcomeUnknown.
			return upstream.ServiceResult{}, time.Time{}, asOutcomeUnknown(err)
		}
		tried, lastErr = append(tried, target.Upstream), err
		if ctx.Err() != nil || !time.Now().Before(q.deadline) || s.stop.refuse(q.deadline) != nil {
			claim.Release()
			return upstream.ServiceResult{}, time.Time{}, errkind.WithRan(err, errkind.RanNo)
		}
	}
}

// asOutcomeUnknown converts an error that claims "not run" into one of kind
// OutcomeUnknown, because the dispatch had begun. Other errors are returned
// unchanged.
func asOutcomeUnknown(err error) error {
	if errkind.RanOf(err) == errkind.RanNo {
		return errkind.WithRan(errkind.Wrap(errkind.OutcomeUnknown, err), errkind.RanUnknown)
	}
	return err
}

// fingerprint identifies the content of a call, so that two different calls
// cannot use the same idempotency key.
func (q *serviceRequest) fingerprint() [sha256.Size]byte {
	h := sha256.New()
	for _, part := range []string{q.Method, q.URL.EscapedPath(), q.URL.RawQuery} {
		writeLengthPrefixed(h, part)
	}
	h.Write(q.body)
	return [sha256.Size]byte(h.Sum(nil))
}

// writeLengthPrefixed adds a field to the hash with its length, so that
// adjacent fields cannot be confused.
func writeLengthPrefixed(h hash.Hash, field string) {
	_, _ = io.WriteString(h, strconv.Itoa(len(field))+":"+field)
}

func (q *serviceRequest) serviceCall(t Target, repeatable bool, beforeWrite func() error) upstream.ServiceCall {
	return upstream.ServiceCall{
		URL:         t.URL,
		Method:      q.Method,
		Path:        q.upstreamPath(),
		Query:       q.URL.RawQuery,
		Header:      forwardedHeader(q),
		Body:        q.body,
		Deadline:    q.deadline,
		Repeatable:  repeatable,
		BeforeWrite: beforeWrite,
	}
}

// upstreamPath returns the path without the prefix that selects the service.
func (q *serviceRequest) upstreamPath() string {
	prefix := q.snapshot.Tree().Services[q.service].PathPrefix
	return "/" + strings.TrimPrefix(q.URL.EscapedPath(), prefix)
}

// forwardedHeader returns the caller's headers without those meant for the
// router, and with the request id.
func forwardedHeader(q *serviceRequest) http.Header {
	h := q.Header.Clone()
	for _, name := range []string{"Authorization", HeaderDeadline, HeaderSession} {
		h.Del(name)
	}
	h.Set(HeaderRequestID, q.id)
	return h
}

func newStoredOutcome(r upstream.ServiceResult, limit int64) StoredOutcome {
	// The ledger and stored outcomes have a resolution of milliseconds.
	o := StoredOutcome{Status: r.Status, Header: r.Header, Body: r.Body, At: time.Now().Truncate(time.Millisecond)}
	if int64(len(r.Body)) > limit {
		o.Body, o.Truncated = nil, true
	}
	return o
}

var errOutcomeTooLarge = errors.New("the call ran earlier; its answer was too large to keep")

// replayOutcome responds with the stored outcome of an earlier call. It records
// the usage again, because the daemon that ran the call may have stopped before
// it did; the ledger counts a key once.
func (s *Server) replayOutcome(ctx context.Context, w *callerResponse, method string, o *StoredOutcome, reservation Reservation, usage Usage) error {
	s.counters.repeated.Add(1)
	if err := bill(ctx, reservation, usage); err != nil {
		return errkind.WithRan(err, errkind.RanYes)
	}
	if o.Truncated {
		return errkind.WithRan(errkind.Wrap(errkind.OutcomeUnknown, errOutcomeTooLarge), errkind.RanYes)
	}
	s.writeResult(ctx, w, method, upstream.ServiceResult{Status: o.Status, Header: o.Header, Body: o.Body}, true)
	return nil
}

// writeResult sends the response of a service. One that may have ended early is sent
// without a length or chunks too: the caller is told no more than is known.
func (s *Server) writeResult(ctx context.Context, w *callerResponse, method string, r upstream.ServiceResult, repeated bool) {
	header := w.Header()
	id := header.Get(HeaderRequestID)
	maps.Copy(header, r.Header)
	header.Set(HeaderRequestID, id)
	header.Set(HeaderRepeated, strconv.FormatBool(repeated))
	// A response that is not sent to its end is logged by finish.
	w.answers = w.writeWhole(ctx, method, r.Status, r.Body) == nil
}

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

// serviceRequest is a checked request to a plain service.
type serviceRequest struct {
	*request
	service   string
	effective *tree.Effective
	body      []byte
	deadline  time.Time
	budget    *retryBudget
}

// plainService answers a request under the path prefix of a plain service.
func (s *Server) plainService(w http.ResponseWriter, r *request) error {
	q, err := s.prepareService(w, r)
	if err != nil {
		return err
	}
	done, err := s.o.Limiter.Admit(q.effective, 0)
	if err != nil {
		return err
	}
	defer done(0)
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	if r.snapshot.AtMostOnce(q.service, r.Method) {
		return s.callOnce(ctx, w, q)
	}
	result, err := s.forwardRepeatable(ctx, q)
	if err != nil {
		return err
	}
	s.writeResult(w, result, false)
	return nil
}

func (s *Server) prepareService(w http.ResponseWriter, r *request) (*serviceRequest, error) {
	service, ok := r.snapshot.ServiceForPath(r.URL.Path)
	if !ok {
		return nil, errkind.New(errkind.NotFound, "no service has the path %q", r.URL.Path)
	}
	e, err := r.snapshot.Effective(r.organisation, service, "")
	if err != nil {
		return nil, err
	}
	deadline, err := deadlineFrom(r.Request, r.arrival, e.Deadline())
	if err != nil {
		return nil, err
	}
	body, err := readBody(w, r.Request, s.o.Bounds)
	if err != nil {
		return nil, err
	}
	q := &serviceRequest{
		request:   r,
		service:   service,
		effective: e,
		body:      body,
		deadline:  deadline,
		budget:    s.budgets.of(r.organisation),
	}
	q.budget.earn(e.RetryBudget)
	return q, nil
}

// forwardRepeatable sends an idempotent call, and sends it to another instance
// when the first one fails and the retry budget allows it.
func (s *Server) forwardRepeatable(ctx context.Context, q *serviceRequest) (upstream.ServiceResult, error) {
	var tried []string
	mayHaveRun := false
	refuse := func(err error) (upstream.ServiceResult, error) {
		if mayHaveRun && errkind.RanOf(err) == errkind.RanNo {
			err = errkind.WithRan(err, errkind.RanUnknown)
		}
		return upstream.ServiceResult{}, err
	}
	for {
		target, err := s.o.Router.ServiceTarget(q.service, tried)
		if err != nil {
			return refuse(err)
		}
		result, err := s.o.Upstream.Forward(ctx, q.call(target, true, nil))
		s.o.Router.ServiceFinished(target, err)
		if err == nil {
			return result, nil
		}
		mayHaveRun = mayHaveRun || errkind.RanOf(err) != errkind.RanNo
		tried = append(tried, target.Upstream)
		if ctx.Err() != nil || !q.budget.take() {
			return refuse(err)
		}
		s.counters.retries.Add(1)
	}
}

// callOnce runs a non-idempotent call at most once for its key. The call is
// sent only by the winner of the claim; a repeat receives the stored outcome.
func (s *Server) callOnce(ctx context.Context, w http.ResponseWriter, q *serviceRequest) error {
	key, err := idempotencyKey(q.Request)
	if err != nil {
		return err
	}
	if key == "" {
		return errkind.New(errkind.BadRequest, "%s %s needs the header %s", q.Method, q.URL.Path, HeaderIdempotencyKey)
	}
	room, err := s.o.Biller.Reserve()
	if err != nil {
		return err
	}
	defer room.Cancel()
	claim, stored, err := s.o.Claims.Acquire(ctx, q.organisation, q.service+" "+key, q.fingerprint())
	if err != nil {
		return err
	}
	usage := Usage{Organisation: q.organisation, RequestKey: repeatKey(q.service, key, q.body), Service: q.service}
	if stored != nil {
		usage.Time = stored.At
		return s.answerRepeat(ctx, w, stored, room, usage)
	}
	result, at, err := s.dispatchOnce(ctx, q, claim)
	if err != nil {
		return err
	}
	usage.Time = at
	if err := bill(ctx, room, usage); err != nil {
		return errkind.WithRan(err, errkind.RanYes)
	}
	s.writeResult(w, result, false)
	return nil
}

// dispatchOnce sends the call as the winner of its claim. When the call was
// certainly not sent, it tries the other instances of the service, and gives
// the claim back if none takes it; otherwise it never sends again.
func (s *Server) dispatchOnce(ctx context.Context, q *serviceRequest, claim Claim) (result upstream.ServiceResult, at time.Time, err error) {
	var tried []string
	lastErr := errkind.New(errkind.NoCapacity, "no instance of service %q is available", q.service)
	for {
		target, err := s.o.Router.ServiceTarget(q.service, tried)
		if err != nil {
			claim.Release()
			return upstream.ServiceResult{}, time.Time{}, errkind.WithRan(lastErr, errkind.RanNo)
		}
		begun := false
		call := q.call(target, false, func() error {
			if !time.Now().Before(q.deadline) {
				return errkind.New(errkind.DeadlinePassed, "the deadline passed before the call was sent")
			}
			if begun {
				return nil
			}
			if !s.o.Router.Usable(target) {
				return errkind.New(errkind.UpstreamRefused, "upstream %q takes no new work", target.Upstream)
			}
			if err := claim.BeginDispatch(); err != nil {
				return err
			}
			begun = true
			return nil
		})
		result, err = s.o.Upstream.Forward(ctx, call)
		s.o.Router.ServiceFinished(target, err)
		if err == nil {
			outcome := storedOutcome(result, s.o.Bounds.OutcomeBytes)
			claim.Complete(outcome)
			return result, outcome.At, nil
		}
		if begun {
			// The call may have run. The claim keeps its key, so that a repeat
			// is told that the outcome is unknown.
			return upstream.ServiceResult{}, time.Time{}, mayHaveRun(err)
		}
		tried, lastErr = append(tried, target.Upstream), err
		if ctx.Err() != nil || !time.Now().Before(q.deadline) {
			claim.Release()
			return upstream.ServiceResult{}, time.Time{}, errkind.WithRan(err, errkind.RanNo)
		}
	}
}

// mayHaveRun turns an error after the start of a dispatch into one that does
// not promise that the call was not run.
func mayHaveRun(err error) error {
	if errkind.RanOf(err) == errkind.RanNo {
		return errkind.WithRan(errkind.Wrap(errkind.OutcomeUnknown, err), errkind.RanUnknown)
	}
	return err
}

// fingerprint identifies the content of a call, so that a key is not used for
// two different calls.
func (q *serviceRequest) fingerprint() [sha256.Size]byte {
	h := sha256.New()
	for _, part := range []string{q.Method, q.URL.EscapedPath(), q.URL.RawQuery} {
		writeField(h, part)
	}
	h.Write(q.body)
	return [sha256.Size]byte(h.Sum(nil))
}

func writeField(h hash.Hash, field string) {
	_, _ = io.WriteString(h, strconv.Itoa(len(field))+":"+field)
}

func (q *serviceRequest) call(t Target, repeatable bool, beforeWrite func() error) upstream.ServiceCall {
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

// upstreamPath is the path without the prefix that selects the service.
func (q *serviceRequest) upstreamPath() string {
	prefix := q.snapshot.Tree().Services[q.service].PathPrefix
	return "/" + strings.TrimPrefix(q.URL.EscapedPath(), prefix)
}

// forwardedHeader returns the caller's headers without those meant for the
// router.
func forwardedHeader(q *serviceRequest) http.Header {
	h := q.Header.Clone()
	for _, name := range []string{"Authorization", HeaderDeadline, HeaderSession} {
		h.Del(name)
	}
	h.Set(HeaderRequestID, q.id)
	return h
}

func storedOutcome(r upstream.ServiceResult, limit int64) StoredOutcome {
	// Milliseconds are the resolution of the ledger and of stored outcomes.
	o := StoredOutcome{Status: r.Status, Header: r.Header, Body: r.Body, At: time.Now().Truncate(time.Millisecond)}
	if int64(len(r.Body)) > limit {
		o.Body, o.Truncated = nil, true
	}
	return o
}

var errOutcomeTooLarge = errors.New("the call ran earlier; its answer was too large to keep")

// answerRepeat answers with the stored outcome of an earlier call. It enters
// the usage again, because the daemon that ran the call may have died before it
// did; the ledger counts a key once.
func (s *Server) answerRepeat(ctx context.Context, w http.ResponseWriter, o *StoredOutcome, room Reservation, usage Usage) error {
	s.counters.repeated.Add(1)
	if err := bill(ctx, room, usage); err != nil {
		return errkind.WithRan(err, errkind.RanYes)
	}
	if o.Truncated {
		return errkind.WithRan(errkind.Wrap(errkind.OutcomeUnknown, errOutcomeTooLarge), errkind.RanYes)
	}
	s.writeResult(w, upstream.ServiceResult{Status: o.Status, Header: o.Header, Body: o.Body}, true)
	return nil
}

func (s *Server) writeResult(w http.ResponseWriter, r upstream.ServiceResult, repeated bool) {
	header := w.Header()
	id := header.Get(HeaderRequestID)
	maps.Copy(header, r.Header)
	header.Set(HeaderRequestID, id)
	header.Set(HeaderRepeated, strconv.FormatBool(repeated))
	w.WriteHeader(r.Status)
	if _, err := w.Write(r.Body); err == nil {
		s.counters.answered.Add(1)
	}
}

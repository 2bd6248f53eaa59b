package errkind

import (
	"errors"
	"net/http"

	"github.com/samber/oops"
)

// Kind is an error kind. Its text is the "code" field of an error response.
type Kind string

// All error kinds.
const (
	BadRequest            Kind = "bad_request"
	Unauthenticated       Kind = "unauthenticated"
	Forbidden             Kind = "forbidden"
	NotFound              Kind = "not_found"
	PayloadTooLarge       Kind = "payload_too_large"
	DeadlinePassed        Kind = "deadline_passed"
	DeadlineTooShort      Kind = "deadline_too_short"
	NoAllowedVersion      Kind = "no_allowed_version"
	NoCapacity            Kind = "no_capacity"
	LimitExceeded         Kind = "limit_exceeded"
	RetryBudgetSpent      Kind = "retry_budget_spent"
	NoConfiguration       Kind = "no_configuration"
	Isolated              Kind = "isolated"
	ClaimUnavailable      Kind = "claim_unavailable"
	IdempotencyMismatch   Kind = "idempotency_mismatch"
	OutcomeUnknown        Kind = "outcome_unknown"
	UpstreamRefused       Kind = "upstream_refused"
	UpstreamFailed        Kind = "upstream_failed"
	UpstreamInvalidAnswer Kind = "upstream_invalid_answer"
	UpstreamTimeout       Kind = "upstream_timeout"
	LedgerFull            Kind = "ledger_full"
	ShuttingDown          Kind = "shutting_down"
	Quarantined           Kind = "quarantined"
	Conflict              Kind = "conflict"
	Internal              Kind = "internal"
)

// Ran says whether an upstream may have executed a request.
type Ran string

// Values of Ran. RanNo guarantees that no upstream has executed or will execute
// the request.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Answer describes the error response for a kind.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Type is the "type" field of the OpenAI-compatible error object.
	Type string
	// Ran is the default value for the kind. WithRan replaces it for an error.
	Ran Ran
	// Retry reports whether the same request can succeed later.
	Retry bool
}

const (
	typeInvalid   = "invalid_request_error"
	typeAuth      = "authentication_error"
	typePerm      = "permission_error"
	typeRateLimit = "rate_limit_error"
	typeServer    = "server_error"
)

var answers = map[Kind]Answer{
	BadRequest:            {http.StatusBadRequest, typeInvalid, RanNo, false},
	Unauthenticated:       {http.StatusUnauthorized, typeAuth, RanNo, false},
	Forbidden:             {http.StatusForbidden, typePerm, RanNo, false},
	NotFound:              {http.StatusNotFound, typeInvalid, RanNo, false},
	PayloadTooLarge:       {http.StatusRequestEntityTooLarge, typeInvalid, RanNo, false},
	DeadlinePassed:        {http.StatusRequestTimeout, typeInvalid, RanNo, false},
	DeadlineTooShort:      {http.StatusServiceUnavailable, typeServer, RanNo, true},
	NoAllowedVersion:      {http.StatusForbidden, typePerm, RanNo, false},
	NoCapacity:            {http.StatusServiceUnavailable, typeServer, RanNo, true},
	LimitExceeded:         {http.StatusTooManyRequests, typeRateLimit, RanNo, true},
	RetryBudgetSpent:      {http.StatusServiceUnavailable, typeServer, RanUnknown, true},
	NoConfiguration:       {http.StatusServiceUnavailable, typeServer, RanNo, true},
	Isolated:              {http.StatusServiceUnavailable, typeServer, RanNo, true},
	ClaimUnavailable:      {http.StatusServiceUnavailable, typeServer, RanNo, true},
	IdempotencyMismatch:   {http.StatusUnprocessableEntity, typeInvalid, RanNo, false},
	OutcomeUnknown:        {http.StatusConflict, typeServer, RanUnknown, false},
	UpstreamRefused:       {http.StatusServiceUnavailable, typeServer, RanNo, true},
	UpstreamFailed:        {http.StatusBadGateway, typeServer, RanUnknown, true},
	UpstreamInvalidAnswer: {http.StatusBadGateway, typeServer, RanYes, true},
	UpstreamTimeout:       {http.StatusGatewayTimeout, typeServer, RanUnknown, true},
	LedgerFull:            {http.StatusServiceUnavailable, typeServer, RanNo, true},
	ShuttingDown:          {http.StatusServiceUnavailable, typeServer, RanNo, true},
	Quarantined:           {http.StatusServiceUnavailable, typeServer, RanNo, true},
	Conflict:              {http.StatusConflict, typeInvalid, RanNo, true},
	Internal:              {http.StatusInternalServerError, typeServer, RanUnknown, false},
}

// AnswerFor returns the error response for k. An unknown kind has the response
// of Internal.
func AnswerFor(k Kind) Answer {
	if a, ok := answers[k]; ok {
		return a
	}
	return answers[Internal]
}

// Kinds returns all error kinds, in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(answers))
	for k := range answers {
		kinds = append(kinds, k)
	}
	return kinds
}

// kindError attaches a kind and a Ran value to an error.
type kindError struct {
	kind Kind
	ran  Ran
	err  error
}

func (e *kindError) Error() string { return e.err.Error() }
func (e *kindError) Unwrap() error { return e.err }

// New returns an error of kind k. The message is formatted as by fmt.Errorf.
func New(k Kind, format string, args ...any) error {
	return &kindError{kind: k, ran: AnswerFor(k).Ran, err: oops.Code(string(k)).Errorf(format, args...)}
}

// Wrap attaches kind k to err. It returns nil when err is nil.
func Wrap(k Kind, err error) error {
	if err == nil {
		return nil
	}
	return &kindError{kind: k, ran: AnswerFor(k).Ran, err: err}
}

// WithRan replaces the Ran value of err and keeps its kind. It returns nil when
// err is nil.
func WithRan(err error, r Ran) error {
	if err == nil {
		return nil
	}
	return &kindError{kind: Of(err), ran: r, err: err}
}

// Of returns the outermost kind that is attached to err, or Internal if there is
// none.
func Of(err error) Kind {
	if ke, ok := errors.AsType[*kindError](err); ok {
		return ke.kind
	}
	return Internal
}

// RanOf returns whether an upstream may have executed the request that failed
// with err.
func RanOf(err error) Ran {
	if ke, ok := errors.AsType[*kindError](err); ok {
		return ke.ran
	}
	return AnswerFor(Internal).Ran
}

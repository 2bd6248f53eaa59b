package gateway

import (
	"net/http"
	"time"

	"github.com/savoryshift/savoryshift/placement"
	"github.com/savoryshift/savoryshift/rollout"
	"github.com/savoryshift/savoryshift/routing"
)

// Request is a decoded request of a caller.
type Request struct {
	// ID names the attempt; each attempt of a caller has its own.
	ID string
	// Method, Target, Host and Header are passed on unchanged. Header holds only
	// what may be passed on.
	Method, Target, Host string
	Header               http.Header
	// Path selects the route together with Host.
	Path string
	Body []byte
	// Key is the credential of the organisation.
	Key string
	// Patience is how long the caller waits; 0 if it did not say.
	Patience time.Duration
	// Model is what the caller asks for; AnyModel leaves the choice to the router.
	Model    string
	AnyModel bool
	// PromptTokens and MaxOutputTokens (the most that may be generated) are 0 for
	// requests to plain services.
	PromptTokens, MaxOutputTokens int
	// LengthHint is the caller's estimate of the tokens to be generated, 0 if
	// there is none; it is right at the median and often far off.
	LengthHint int
	// Parts of the prompt in order; the last one belongs to the request itself.
	Parts []placement.Part
	// Session names the session, empty if there is none.
	Session string
	// LastEventID is the ID of the last event that the caller has, empty for a
	// stream from its beginning.
	LastEventID string
}

// outputShare is the usual length of an answer as a part of the most that may be
// generated.
const outputShare = 0.35

// expectedOutput is the number of tokens that an answer is expected to have.
func (r *Request) expectedOutput() int {
	if r.LengthHint > 0 {
		return min(r.LengthHint, max(r.MaxOutputTokens, 1))
	}
	return int(outputShare * float64(r.MaxOutputTokens))
}

// Call is one call to an upstream.
type Call struct {
	Upstream     string
	Organisation string
	// Model replaces the model of the request if it is not empty.
	Model string
	// Left is the time that the upstream may take.
	Left time.Duration
	// EnginePriority is the scheduling priority at the engine, 0 first, -1 for none.
	EnginePriority int
	// LastEventID is the event after which a stream goes on, empty for a new one.
	LastEventID string
}

// Reply is the decoded header of an upstream's answer.
type Reply struct {
	Status int
	// RequestID is the attempt that the answer belongs to.
	RequestID string
	// NotRun says that the upstream did not run the request and never will.
	NotRun bool
	// Misdirected says that another instance has the address.
	Misdirected bool
	// Signed says that the upstream signed the answer.
	Signed bool
	// Confidence of the model in its answer, 0 to 100, or -1.
	Confidence int
	// Encoded says that the body is not the bytes of the upstream.
	Encoded bool
}

// Codec translates between the wire and the types of this package.
type Codec interface {
	// Decode reads the header of a request.
	Decode(r *http.Request) (Request, error)
	// Encode returns the header of a call.
	Encode(r *Request, c Call) http.Header
	// Reply reads the header of an answer.
	Reply(resp *http.Response) Reply
	// EncodeRefusal writes the header of a refusal that says when to come back.
	EncodeRefusal(h http.Header, r *Request, after time.Duration)
}

// State is what the gateway needs to know about the surroundings. It is
// immutable.
type State struct {
	Snapshot *routing.Snapshot
	// Revision of the store that the snapshot was read at.
	Revision int64
}

// Splitter tells which releases of a service may serve a request.
type Splitter interface {
	// Allow returns the releases that a session may get.
	Allow(service, session string, now time.Time) rollout.Filter
	// Served notes which release served a session.
	Served(service, session, release string, now time.Time)
	// Observe notes the outcome of a call: whether it failed, the time to the
	// first event, and what was predicted for an upstream of ordinary speed.
	Observe(service, release, route string, failed bool, measured, nominal time.Duration, now time.Time)
}

package gateway

import (
	"net/http"
	"time"

	"github.com/savoryshift/savoryshift/placement"
	"github.com/savoryshift/savoryshift/rollout"
	"github.com/savoryshift/savoryshift/routing"
)

// Request is a decoded client request.
type Request struct {
	// ID identifies this attempt of the client; a retry by the client has another.
	ID string
	// Method, Target, Host and Header are forwarded unchanged. Header holds only
	// the headers that may be forwarded.
	Method, Target, Host string
	Header               http.Header
	// Path and Host select the route.
	Path string
	Body []byte
	// Key is the API key of the organisation.
	Key string
	// Patience is how long the client waits for the response; 0 if it did not say.
	Patience time.Duration
	// Model is the requested model; AnyModel leaves the choice to the router.
	Model    string
	AnyModel bool
	// PromptTokens is the length of the prompt and MaxOutputTokens the maximum
	// number of tokens to generate; both are 0 for requests to plain services.
	PromptTokens, MaxOutputTokens int
	// LengthHint is the client's estimate of the number of generated tokens, 0 if
	// there is none. It is accurate at the median, but single hints are often far
	// off.
	LengthHint int
	// Parts lists the parts of the prompt in order; the last part is specific to
	// this request and shared with no other.
	Parts []placement.Part
	// Session is the ID of the session, empty if there is none.
	Session string
	// LastEventID is the ID of the last event that the client received, empty for a
	// stream from the beginning.
	LastEventID string
}

// expectedOutputShare is the usual length of a response as a fraction of the
// maximum number of tokens to generate.
const expectedOutputShare = 0.35

// expectedOutput returns the number of tokens that the response is expected to have.
func (r *Request) expectedOutput() int {
	if r.LengthHint > 0 {
		return min(r.LengthHint, max(r.MaxOutputTokens, 1))
	}
	return int(expectedOutputShare * float64(r.MaxOutputTokens))
}

// Call holds the parameters of one call to an upstream.
type Call struct {
	Upstream     string
	Organisation string
	// Model replaces the model of the request if it is not empty.
	Model string
	// Left is the time until the deadline of the request.
	Left time.Duration
	// EnginePriority is the scheduling priority at the engine: 0 is served first,
	// -1 sets no priority.
	EnginePriority int
	// LastEventID is the ID of the event after which a stream resumes, empty for a
	// new stream.
	LastEventID string
}

// ResponseHeader is the decoded response header of an upstream.
type ResponseHeader struct {
	Status int
	// RequestID is the Request.ID that the response belongs to, empty if the response
	// has none. If it has several, they are joined, so that they equal none of them.
	RequestID string
	// NotRun reports that the upstream did not run the request and never will.
	NotRun bool
	// Misdirected reports that the address belongs to another instance.
	Misdirected bool
	// Signed reports whether the upstream signed the response.
	Signed bool
	// Confidence is the confidence of the model in its answer, 0 to 100, or -1 if
	// unknown.
	Confidence int
	// Encoded reports that the body has a content encoding, so its bytes are not
	// those that the upstream produced.
	Encoded bool
	// Leaving reports that the upstream is shutting down and wants no further calls.
	Leaving bool
	// ColdLeft is the time for which the upstream remains slow after its start, 0 if the
	// response does not say so.
	ColdLeft time.Duration
	// RetryAfter is the time for which the upstream asks for no further calls, 0 if it
	// does not ask. It is meaningful with a status of 500 or above.
	RetryAfter time.Duration
}

// Codec translates between HTTP headers and the types of this package.
type Codec interface {
	// Decode decodes the header of a client request; the body is not read.
	Decode(r *http.Request) (Request, error)
	// Encode returns the request header of a call to an upstream.
	Encode(r *Request, c Call) http.Header
	// DecodeResponse decodes the response header of an upstream.
	DecodeResponse(resp *http.Response) ResponseHeader
	// EncodeRefusal sets the header that tells the client when to retry.
	EncodeRefusal(h http.Header, r *Request, after time.Duration)
}

// State is the routing configuration of the gateway. It is immutable.
type State struct {
	Snapshot *routing.Snapshot
	// Revision is the store revision at which the snapshot was read.
	Revision int64
}

// Splitter splits the traffic of a service between its releases.
type Splitter interface {
	// Allow returns the releases that may serve a session.
	Allow(service, session string, now time.Time) rollout.Filter
	// Served records which release served a session.
	Served(service, session, release string, now time.Time)
	// Observe records the outcome of a call to a release. A nominal time of 0 excludes the
	// call from latency comparisons.
	Observe(service, release string, o rollout.Outcome, now time.Time)
}

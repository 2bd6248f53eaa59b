package upstream

// Headers of the engine protocol.
const (
	HeaderRequestID  = "X-Request-Id"
	HeaderAttemptID  = "X-Attempt-Id"
	HeaderVersion    = "X-Model-Version"
	HeaderDeadlineMs = "X-Deadline-Ms"
	HeaderPriority   = "X-Priority"
	HeaderResumeFrom = "X-Resume-From"
	// HeaderRan with the value "no" on an error response is the engine's
	// guarantee that it does not run the attempt.
	HeaderRan = "X-Ran"
	// HeaderLeaving with the value "true" means that the engine is shutting
	// down.
	HeaderLeaving = "X-Leaving"
)

// Paths of the engine protocol.
const (
	PathCompletions = "/v1/chat/completions"
	PathAttempts    = "/v1/attempts/"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/cache-events"
	PathOrders      = "/v1/orders"
	PathHeld        = "/v1/held"
)

// LoadReport is the load of an engine as the engine measured it AgeMs ago.
type LoadReport struct {
	// Slots is the number of requests that the engine can run at the same time.
	Slots int `json:"slots"`
	// Running and Queued are numbers of requests.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Held lists the versions that the engine can run.
	Held []string `json:"held"`
	// Leaving is set when the engine accepts no new requests.
	Leaving bool `json:"leaving"`
	// AgeMs is the age of the report in milliseconds.
	AgeMs int64 `json:"age_ms"`
}

// CacheEventKind is what happened to a cached prefix.
type CacheEventKind string

// Kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
)

// CacheEvent reports a change of the prefix cache of an engine. It is only a
// hint, as events can be lost.
type CacheEvent struct {
	Seq     int64          `json:"seq"`
	Kind    CacheEventKind `json:"kind"`
	Version string         `json:"version"`
	// Prefix is the hex digest of the prefix.
	Prefix string `json:"prefix"`
	// AgeMs is the age of the event in milliseconds.
	AgeMs int64 `json:"age_ms"`
}

// CacheEventsReply is the response to GET /v1/cache-events.
type CacheEventsReply struct {
	Events []CacheEvent `json:"events"`
	// Last is the highest sequence number published so far.
	Last int64 `json:"last"`
}

// Order tells an engine which versions to hold. It states the complete desired
// set, so it can be repeated.
type Order struct {
	// Fencing is the fencing token of the issuer's lease.
	Fencing int64    `json:"fencing"`
	Hold    []string `json:"hold"`
	// BeforeWrite is called before the first write, as in Call, so that the
	// issuer can check its lease.
	BeforeWrite func() error `json:"-"`
}

// endEvent is the data of the end event, which precedes [DONE].
type endEvent struct {
	Parts            *int `json:"parts"`
	PromptTokens     int  `json:"prompt_tokens"`
	CompletionTokens int  `json:"completion_tokens"`
}

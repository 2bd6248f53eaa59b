package upstream

// Headers of the engine protocol.
const (
	HeaderRequestID  = "X-Request-Id"
	HeaderAttemptID  = "X-Attempt-Id"
	HeaderVersion    = "X-Model-Version"
	HeaderDeadlineMs = "X-Deadline-Ms"
	HeaderPriority   = "X-Priority"
	HeaderResumeFrom = "X-Resume-From"
	// HeaderRan with the value "no" on an error answer is the engine's promise
	// that it does not execute the attempt.
	HeaderRan = "X-Ran"
	// HeaderLeaving with the value "true" says that the engine is going away.
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

// LoadReport is an engine's view of its own load at some earlier moment.
type LoadReport struct {
	// Slots is how many requests run at once.
	Slots int `json:"slots"`
	// Running and Queued count requests.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Held lists the versions that the engine can run.
	Held []string `json:"held"`
	// Leaving says that the engine takes no new work.
	Leaving bool `json:"leaving"`
	// AgeMs is the age of the report in milliseconds.
	AgeMs int64 `json:"age_ms"`
}

// CacheEventKind says what happened to a cached prefix.
type CacheEventKind string

// Kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
)

// CacheEvent is a hint about the prefix cache of an engine. Events can be
// missing.
type CacheEvent struct {
	Seq     int64          `json:"seq"`
	Kind    CacheEventKind `json:"kind"`
	Version string         `json:"version"`
	// Prefix is the hex digest of the prefix.
	Prefix string `json:"prefix"`
	// AgeMs is the age of the event in milliseconds.
	AgeMs int64 `json:"age_ms"`
}

// CacheEventsReply is the answer to GET /v1/cache-events.
type CacheEventsReply struct {
	Events []CacheEvent `json:"events"`
	// Last is the highest sequence number published so far.
	Last int64 `json:"last"`
}

// Order tells an engine which versions to hold. It is declarative and can be
// repeated.
type Order struct {
	// Fencing is the number of the issuer's lease.
	Fencing int64    `json:"fencing"`
	Hold    []string `json:"hold"`
	// BeforeWrite is as in Call: it lets the issuer check its lease.
	BeforeWrite func() error `json:"-"`
}

// endEvent is the data of the last event before [DONE].
type endEvent struct {
	Parts            *int `json:"parts"`
	PromptTokens     int  `json:"prompt_tokens"`
	CompletionTokens int  `json:"completion_tokens"`
}

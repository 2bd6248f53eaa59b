package tree

// Tree is the root of the settings tree. Maps are keyed by id, so that a JSON
// merge patch can change one entry.
type Tree struct {
	// Versions lists model versions. Ids are unique over all models.
	Versions map[string]Version `json:"versions,omitempty"`
	// Upstreams lists model engines and instances of plain services.
	Upstreams map[string]Upstream `json:"upstreams,omitempty"`
	// Services lists model services and plain services.
	Services map[string]Service `json:"services,omitempty"`
	// Defaults is the parent of all organisations.
	Defaults Overrides `json:"defaults"`
	// Organisations lists the customers.
	Organisations map[string]Organisation `json:"organisations,omitempty"`
	// Rollouts lists roll-outs, also finished ones.
	Rollouts map[string]Rollout `json:"rollouts,omitempty"`
}

// VersionState is the state of a model version.
type VersionState string

// States of a version. A withdrawn version receives no new work.
const (
	VersionSettled   VersionState = "settled"
	VersionCandidate VersionState = "candidate"
	VersionWithdrawn VersionState = "withdrawn"
)

// Version is one version of a model.
type Version struct {
	// Model is the name that callers use.
	Model string `json:"model"`
	// CostPer1kOutputTokens is the price of 1,000 generated tokens. A prompt
	// token costs a fifth of a generated one. Range: 0 or more.
	CostPer1kOutputTokens float64 `json:"cost_per_1k_output_tokens"`
	// State defaults to settled.
	State VersionState `json:"state,omitempty"`
	// Successor replaces this version for the sessions pinned to it when it is
	// withdrawn.
	Successor string `json:"successor,omitempty"`
	// UsableInIsolation lets a daemon without fresh evidence use the version.
	// Default: true for a settled version. Never true for a candidate.
	UsableInIsolation *bool `json:"usable_in_isolation,omitempty"`
}

// UpstreamKind tells engines from plain services.
type UpstreamKind string

// Kinds of upstreams.
const (
	EngineUpstream  UpstreamKind = "engine"
	ServiceUpstream UpstreamKind = "service"
)

// Upstream is one model engine or one instance of a plain service.
type Upstream struct {
	Kind UpstreamKind `json:"kind"`
	// URL is the base URL, with an IP address as host.
	URL              string `json:"url"`
	AvailabilityZone string `json:"availability_zone"`
	// VM is the id of its VM on the platform's list; default the upstream id.
	VM string `json:"vm,omitempty"`
	// Versions is what an engine should hold.
	Versions []string `json:"versions,omitempty"`
	// Slots is how many requests an engine runs at once. Range: 1 to 4096.
	Slots int `json:"slots,omitempty"`
	// ChecksFencing says whether the engine refuses an order with an old
	// fencing number. Default: false.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Draining stops new work. Default: false.
	Draining bool `json:"draining,omitempty"`
}

// ServiceKind tells model services from plain services.
type ServiceKind string

// Kinds of services.
const (
	ModelService ServiceKind = "model"
	PlainService ServiceKind = "plain"
)

// Service is one thing that callers can ask for.
type Service struct {
	Kind ServiceKind `json:"kind"`
	// PathPrefix selects a plain service, for example "/hire-desk/". It is cut
	// off before a call is passed on.
	PathPrefix string `json:"path_prefix,omitempty"`
	// Upstreams serve the service.
	Upstreams []string `json:"upstreams"`
	// NonIdempotentMethods are the HTTP methods that need an idempotency key
	// and run at most once. Default: POST, PATCH.
	NonIdempotentMethods []string `json:"non_idempotent_methods,omitempty"`
}

// Organisation is a customer.
type Organisation struct {
	Overrides
	// KeySHA256 holds the hex SHA-256 digests of the organisation's API keys.
	KeySHA256 []string `json:"key_sha256,omitempty"`
	// Services override values for one service each; only services listed here
	// are allowed.
	Services map[string]OrganisationService `json:"services,omitempty"`
}

// OrganisationService is the node of one service below an organisation.
type OrganisationService struct {
	Overrides
	// Sessions override values for named sessions.
	Sessions map[string]Session `json:"sessions,omitempty"`
}

// Session is the node of one named session below a service.
type Session struct {
	Overrides
}

// Overrides holds the inherited values of a node. A missing value is taken
// from the parent.
type Overrides struct {
	// Models that may be used.
	Models []string `json:"models,omitempty"`
	// Versions that may be used; missing at all levels: every version of Models.
	Versions []string `json:"versions,omitempty"`
	// Cascades lists the allowed sequences of models, cheapest first.
	Cascades [][]string `json:"cascades,omitempty"`
	// QualityTarget is the share of good answers. Range: 0 to 1.
	QualityTarget *float64 `json:"quality_target,omitempty"`
	// LatencyQuantile is the quantile of predicted time that must fit the
	// deadline. Range: 0.5 to 0.999. Default: 0.9.
	LatencyQuantile *float64 `json:"latency_quantile,omitempty"`
	// DeadlineMs is used when the caller states none. Range: 1 to 600000.
	// Default: 30000.
	DeadlineMs *int64 `json:"deadline_ms,omitempty"`
	// Weights of the measures.
	Weights *Weights `json:"weights,omitempty"`
	// Limits of a node hold for the sum of what is below it. Those of the
	// defaults hold for each organisation that sets none.
	Limits *Limits `json:"limits,omitempty"`
	// RetryBudget is the number of retries allowed per request, on average.
	// Range: 0 to 1. Default: 0.1.
	RetryBudget *float64 `json:"retry_budget,omitempty"`
	// ExplorationBudget is the share of requests that may go to a version
	// which is not the best known one. Range: 0 to 0.2. Default: 0.02.
	ExplorationBudget *float64 `json:"exploration_budget,omitempty"`
	// Priority is passed to engines; higher goes first. Range: 0 to 9.
	// Default: 5.
	Priority *int `json:"priority,omitempty"`
}

// Weights of the three measures. Range of each: 0 to 100. Default: 1.
type Weights struct {
	Cost     float64 `json:"cost"`
	Latency  float64 `json:"latency"`
	Exposure float64 `json:"exposure"`
}

// Limits of a node; 0 means none.
type Limits struct {
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	TokensPerSecond   float64 `json:"tokens_per_second,omitempty"`
}

// RolloutState is the state of a roll-out.
type RolloutState string

// States of a roll-out.
const (
	RolloutRunning RolloutState = "running"
	RolloutPaused  RolloutState = "paused"
	RolloutAborted RolloutState = "aborted"
	RolloutDone    RolloutState = "done"
)

// Rollout moves new sessions from one version to another of the same model. A
// paused roll-out keeps its share, a finished one moves all new sessions, an
// aborted one none.
type Rollout struct {
	From string `json:"from"`
	To   string `json:"to"`
	// Percent of new sessions that get To. Range: 0 to 100.
	Percent float64 `json:"percent"`
	// StepPercent is added after each StepSeconds while running. Default: 10.
	StepPercent float64 `json:"step_percent,omitempty"`
	// StepSeconds is the time between steps. Default: 60.
	StepSeconds float64      `json:"step_seconds,omitempty"`
	State       RolloutState `json:"state"`
}

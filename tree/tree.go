package tree

// Tree is the root of the settings tree. Maps are keyed by id, so that a JSON
// merge patch can change one entry.
type Tree struct {
	// Versions holds the model versions. Ids are unique across all models.
	Versions map[string]Version `json:"versions,omitempty"`
	// Upstreams holds the model engines and the instances of plain services.
	Upstreams map[string]Upstream `json:"upstreams,omitempty"`
	// Services holds the model services and plain services.
	Services map[string]Service `json:"services,omitempty"`
	// Defaults holds the values that organisations inherit.
	Defaults Overrides `json:"defaults"`
	// Organisations holds the customers.
	Organisations map[string]Organisation `json:"organisations,omitempty"`
	// Rollouts holds the rollouts, including finished and aborted ones.
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

// UpstreamKind distinguishes engines from instances of plain services.
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
	// VM is the id of the upstream's VM in the platform's list. Default: the id
	// of the upstream.
	VM string `json:"vm,omitempty"`
	// Versions lists the model versions that an engine should hold.
	Versions []string `json:"versions,omitempty"`
	// Slots is how many requests an engine runs at once. Range: 1 to 4096.
	Slots int `json:"slots,omitempty"`
	// ChecksFencing states that the engine refuses an order with an old fencing
	// token. Default: false.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Draining stops new work for the upstream. Default: false.
	Draining bool `json:"draining,omitempty"`
}

// ServiceKind distinguishes model services from plain services.
type ServiceKind string

// Kinds of services.
const (
	ModelService ServiceKind = "model"
	PlainService ServiceKind = "plain"
)

// Service is a group of upstreams that callers address together.
type Service struct {
	Kind ServiceKind `json:"kind"`
	// PathPrefix selects a plain service, for example "/hire-desk/". It is
	// removed from the path before a call is forwarded.
	PathPrefix string `json:"path_prefix,omitempty"`
	// Upstreams lists the ids of the upstreams that serve the service.
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
	// Services lists the services that the organisation may use, with overrides
	// for each.
	Services map[string]OrganisationService `json:"services,omitempty"`
}

// OrganisationService is the node of one service below an organisation.
type OrganisationService struct {
	Overrides
	// Sessions holds overrides for named sessions.
	Sessions map[string]Session `json:"sessions,omitempty"`
}

// Session is the node of one named session below a service.
type Session struct {
	Overrides
}

// Overrides holds the inherited values of a node. A missing value is taken
// from the parent.
type Overrides struct {
	// Models lists the models that may be used.
	Models []string `json:"models,omitempty"`
	// Versions lists the versions that may be used. When it is missing at all
	// levels, every version of Models may be used.
	Versions []string `json:"versions,omitempty"`
	// Cascades lists the allowed sequences of models, cheapest first.
	Cascades [][]string `json:"cascades,omitempty"`
	// QualityTarget is the wanted share of good answers. Range: 0 to 1.
	QualityTarget *float64 `json:"quality_target,omitempty"`
	// LatencyQuantile is the quantile of predicted time that must fit the
	// deadline. Range: 0.5 to 0.999. Default: 0.9.
	LatencyQuantile *float64 `json:"latency_quantile,omitempty"`
	// DeadlineMs is the deadline of a request that states none. Range: 1 to
	// 600000. Default: 30000.
	DeadlineMs *int64 `json:"deadline_ms,omitempty"`
	// Weights holds the weights of cost, latency and exposure.
	Weights *Weights `json:"weights,omitempty"`
	// Limits apply to the sum of all requests below the node. Limits of the
	// defaults apply to each organisation that sets none.
	Limits *Limits `json:"limits,omitempty"`
	// RetryBudget is the number of retries allowed per request, on average.
	// Range: 0 to 1. Default: 0.1.
	RetryBudget *float64 `json:"retry_budget,omitempty"`
	// ExplorationBudget is the share of requests that may go to a version other
	// than the best known one. Range: 0 to 0.2. Default: 0.02.
	ExplorationBudget *float64 `json:"exploration_budget,omitempty"`
	// Priority is passed to engines; higher goes first. Range: 0 to 9.
	// Default: 5.
	Priority *int `json:"priority,omitempty"`
}

// Weights holds the relative weights of cost, latency and exposure when a version
// is chosen. Range of each: 0 to 100. Default: 1.
type Weights struct {
	Cost     float64 `json:"cost"`
	Latency  float64 `json:"latency"`
	Exposure float64 `json:"exposure"`
}

// Limits holds the rate limits of a node; 0 means no limit.
type Limits struct {
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	TokensPerSecond   float64 `json:"tokens_per_second,omitempty"`
}

// RolloutState is the state of a rollout.
type RolloutState string

// States of a rollout.
const (
	RolloutRunning RolloutState = "running"
	RolloutPaused  RolloutState = "paused"
	RolloutAborted RolloutState = "aborted"
	RolloutDone    RolloutState = "done"
)

// Rollout moves new sessions from one version to another of the same model. A
// paused rollout keeps its share, a finished one moves all new sessions, an
// aborted one none.
type Rollout struct {
	From string `json:"from"`
	To   string `json:"to"`
	// Percent is the percentage of new sessions that get version To. Range: 0 to
	// 100.
	Percent float64 `json:"percent"`
	// StepPercent is added to Percent after each StepSeconds while the rollout is
	// running. Default: 10.
	StepPercent float64 `json:"step_percent,omitempty"`
	// StepSeconds is the time between steps. Default: 60.
	StepSeconds float64      `json:"step_seconds,omitempty"`
	State       RolloutState `json:"state"`
}

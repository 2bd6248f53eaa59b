package tree

import (
	"cmp"
	"slices"
	"time"

	"github.com/savoryshift/savoryshift/internal/check"
)

// BuiltIn is the origin of a value that no node of the tree sets, so that the
// built-in default holds.
const BuiltIn = "built-in"

// MaxDeadline is the longest deadline that a node may set and that a caller may ask for.
const MaxDeadline = 10 * time.Minute

// Built-in defaults of values that no node sets.
const (
	DefaultQualityTarget     = 0.9
	DefaultLatencyQuantile   = 0.9
	DefaultDeadline          = 30 * time.Second
	DefaultWeight            = 1
	DefaultRetryBudget       = 0.1
	DefaultExplorationBudget = 0.02
	DefaultPriority          = 5
)

// Effective holds the values of one session, or of an organisation's service
// when Session is empty. It is immutable and shared: callers don't change it.
type Effective struct {
	Organisation string `json:"organisation"`
	Service      string `json:"service"`
	Session      string `json:"session,omitempty"`
	// Versions lists the versions that may receive work, which are those allowed
	// and not withdrawn, cheapest first.
	Versions          []AllowedVersion `json:"versions"`
	Cascades          [][]string       `json:"cascades,omitempty"`
	QualityTarget     float64          `json:"quality_target"`
	LatencyQuantile   float64          `json:"latency_quantile"`
	DeadlineMs        int64            `json:"deadline_ms"`
	Weights           Weights          `json:"weights"`
	RetryBudget       float64          `json:"retry_budget"`
	ExplorationBudget float64          `json:"exploration_budget"`
	Priority          int              `json:"priority"`
	// Limits lists the limits of the organisation, of its service and of the
	// session. A request must satisfy all of them.
	Limits []NodeLimits `json:"limits,omitempty"`
	// Origins maps the JSON key of each value to the node that sets it.
	Origins map[string]string `json:"origins"`
}

// AllowedVersion is a version that an organisation may use.
type AllowedVersion struct {
	ID                    string  `json:"id"`
	Model                 string  `json:"model"`
	CostPer1kOutputTokens float64 `json:"cost_per_1k_output_tokens"`
	// OnlyByRollout marks a candidate or the target of a running or paused
	// rollout. Such a version receives new sessions only through CohortVersion.
	OnlyByRollout bool `json:"only_by_rollout,omitempty"`
	// UsableInIsolation reports whether a daemon may use the version while it has
	// no fresh evidence that its configuration is current.
	UsableInIsolation bool `json:"usable_in_isolation"`
}

// NodeLimits holds the limits that apply to the sum of all requests below the
// node with the path Node.
type NodeLimits struct {
	Node string `json:"node"`
	Limits
	// Origin is the path of the node that sets the limits.
	Origin string `json:"origin"`
}

// Deadline returns the deadline of a request that states none.
func (e *Effective) Deadline() time.Duration { return time.Duration(e.DeadlineMs) * time.Millisecond }

// Allowed returns the entry of a version, and whether the version may receive
// work.
func (e *Effective) Allowed(version string) (AllowedVersion, bool) {
	at := slices.IndexFunc(e.Versions, func(v AllowedVersion) bool { return v.ID == version })
	if at < 0 {
		return AllowedVersion{}, false
	}
	return e.Versions[at], true
}

// node is one level of inheritance, with its JSON pointer.
type node struct {
	path      string
	overrides Overrides
}

// inherit sets *out to the value of the last node of chain that sets one, and
// stores the path of that node as the origin of key.
func inherit[T any](e *Effective, key string, chain []node, out *T, get func(Overrides) *T) {
	e.Origins[key] = BuiltIn
	for _, n := range chain {
		if v := get(n.overrides); v != nil {
			*out = *v
			e.Origins[key] = n.path
		}
	}
}

func optionalSlice[T any](s []T) *[]T {
	if s == nil {
		return nil
	}
	return &s
}

// newEffective computes the values at the end of chain, which starts with the
// defaults and the organisation.
func (s *Snapshot) newEffective(organisation, service, session string, chain []node) *Effective {
	e := &Effective{
		Organisation: organisation, Service: service, Session: session,
		QualityTarget:     DefaultQualityTarget,
		LatencyQuantile:   DefaultLatencyQuantile,
		DeadlineMs:        DefaultDeadline.Milliseconds(),
		Weights:           Weights{Cost: DefaultWeight, Latency: DefaultWeight, Exposure: DefaultWeight},
		RetryBudget:       DefaultRetryBudget,
		ExplorationBudget: DefaultExplorationBudget,
		Priority:          DefaultPriority,
		Versions:          []AllowedVersion{},
		Origins:           map[string]string{},
	}
	var models, versions []string
	inherit(e, "models", chain, &models, func(o Overrides) *[]string { return optionalSlice(o.Models) })
	inherit(e, "versions", chain, &versions, func(o Overrides) *[]string { return optionalSlice(o.Versions) })
	inherit(e, "cascades", chain, &e.Cascades, func(o Overrides) *[][]string { return optionalSlice(o.Cascades) })
	inherit(e, "quality_target", chain, &e.QualityTarget, func(o Overrides) *float64 { return o.QualityTarget })
	inherit(e, "latency_quantile", chain, &e.LatencyQuantile, func(o Overrides) *float64 { return o.LatencyQuantile })
	inherit(e, "deadline_ms", chain, &e.DeadlineMs, func(o Overrides) *int64 { return o.DeadlineMs })
	inherit(e, "weights", chain, &e.Weights, func(o Overrides) *Weights { return o.Weights })
	inherit(e, "retry_budget", chain, &e.RetryBudget, func(o Overrides) *float64 { return o.RetryBudget })
	inherit(e, "exploration_budget", chain, &e.ExplorationBudget, func(o Overrides) *float64 { return o.ExplorationBudget })
	inherit(e, "priority", chain, &e.Priority, func(o Overrides) *int { return o.Priority })
	e.Limits = chainLimits(chain)
	if s.tree.Services[service].Kind == ModelService {
		e.Versions = s.allowedVersions(models, versions)
	}
	return e
}

// chainLimits returns the limits of each node of chain except the defaults. Each
// organisation without limits of its own inherits those of the defaults. The
// nodes below it don't inherit limits, because the limits of their parents apply
// to them anyway.
func chainLimits(chain []node) []NodeLimits {
	var limits []NodeLimits
	for i, n := range chain[1:] {
		own, origin := n.overrides.Limits, n.path
		if own == nil && i == 0 {
			own, origin = chain[0].overrides.Limits, chain[0].path
		}
		if own != nil {
			limits = append(limits, NodeLimits{Node: n.path, Limits: *own, Origin: origin})
		}
	}
	return limits
}

// inheritedSets returns the sets of models and versions that hold at the end of
// a chain; nil means that no node sets one.
func inheritedSets(chain []Overrides) (models, versions []string) {
	for _, o := range chain {
		if o.Models != nil {
			models = o.Models
		}
		if o.Versions != nil {
			versions = o.Versions
		}
	}
	return models, versions
}

// permits reports whether a version is in both sets. A nil set does not restrict
// the other one; when both are nil, no version is permitted.
func permits(models, versions []string, id, model string) bool {
	if models == nil && versions == nil {
		return false
	}
	return (models == nil || slices.Contains(models, model)) && (versions == nil || slices.Contains(versions, id))
}

func (s *Snapshot) allowedVersions(models, versions []string) []AllowedVersion {
	allowed := []AllowedVersion{}
	for id, v := range s.tree.Versions {
		if v.State == VersionWithdrawn || !permits(models, versions, id, v.Model) {
			continue
		}
		_, isTarget := s.activeRolloutTo[id]
		allowed = append(allowed, AllowedVersion{
			ID: id, Model: v.Model, CostPer1kOutputTokens: v.CostPer1kOutputTokens,
			OnlyByRollout:     v.State == VersionCandidate || isTarget,
			UsableInIsolation: s.usableInIsolation[id],
		})
	}
	slices.SortFunc(allowed, func(a, b AllowedVersion) int {
		return cmp.Or(cmp.Compare(a.CostPer1kOutputTokens, b.CostPer1kOutputTokens), cmp.Compare(a.ID, b.ID))
	})
	return allowed
}

func organisationPath(id string) string { return check.Pointer("/organisations", id) }

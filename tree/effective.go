package tree

import (
	"cmp"
	"slices"
	"time"

	"github.com/savoryshift/savoryshift/internal/check"
)

// BuiltIn is the origin of a value that no node of the tree sets.
const BuiltIn = "built-in"

// Values that hold when no node sets them.
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
	// Versions that may get work: allowed and not withdrawn, cheapest first.
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
	// session. All of them hold.
	Limits []NodeLimits `json:"limits,omitempty"`
	// Origins maps the JSON key of each value to the node that sets it.
	Origins map[string]string `json:"origins"`
}

// AllowedVersion is a version that an organisation may use.
type AllowedVersion struct {
	ID                    string  `json:"id"`
	Model                 string  `json:"model"`
	CostPer1kOutputTokens float64 `json:"cost_per_1k_output_tokens"`
	// OnlyByRollout marks a candidate or the target of an active roll-out: it
	// gets new sessions through CohortVersion and is not chosen otherwise.
	OnlyByRollout bool `json:"only_by_rollout,omitempty"`
	// UsableInIsolation says whether a daemon without fresh evidence may use it.
	UsableInIsolation bool `json:"usable_in_isolation"`
}

// NodeLimits are the limits of one node, for the sum of what is below Node.
type NodeLimits struct {
	Node string `json:"node"`
	Limits
	// Origin is the node that sets the limits.
	Origin string `json:"origin"`
}

// Deadline returns the deadline of a request that states none.
func (e *Effective) Deadline() time.Duration { return time.Duration(e.DeadlineMs) * time.Millisecond }

// Allowed returns the entry of a version, when it may get work.
func (e *Effective) Allowed(version string) (AllowedVersion, bool) {
	at := slices.IndexFunc(e.Versions, func(v AllowedVersion) bool { return v.ID == version })
	if at < 0 {
		return AllowedVersion{}, false
	}
	return e.Versions[at], true
}

// node is one level of inheritance.
type node struct {
	path string
	o    Overrides
}

// inherit sets *out to the value of the lowest node that has one, and notes
// the origin under key.
func inherit[T any](e *Effective, key string, chain []node, out *T, get func(Overrides) *T) {
	e.Origins[key] = BuiltIn
	for _, n := range chain {
		if v := get(n.o); v != nil {
			*out = *v
			e.Origins[key] = n.path
		}
	}
}

func sliceOf[T any](s []T) *[]T {
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
	inherit(e, "models", chain, &models, func(o Overrides) *[]string { return sliceOf(o.Models) })
	inherit(e, "versions", chain, &versions, func(o Overrides) *[]string { return sliceOf(o.Versions) })
	inherit(e, "cascades", chain, &e.Cascades, func(o Overrides) *[][]string { return sliceOf(o.Cascades) })
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

// chainLimits returns the limits of each node of chain but the defaults. The
// limits of the defaults are inherited by each organisation separately; nodes
// below don't inherit limits, because those of their parents hold anyway.
func chainLimits(chain []node) []NodeLimits {
	var limits []NodeLimits
	for i, n := range chain[1:] {
		own, origin := n.o.Limits, n.path
		if own == nil && i == 0 {
			own, origin = chain[0].o.Limits, chain[0].path
		}
		if own != nil {
			limits = append(limits, NodeLimits{Node: n.path, Limits: *own, Origin: origin})
		}
	}
	return limits
}

// inheritedSets returns the lowest sets of models and versions of a chain;
// nil means that no node sets one.
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

// permits says whether the sets admit a version. A missing set admits what the
// other one admits; when both are missing, nothing is permitted.
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
		_, onTrial := s.onTrial[id]
		allowed = append(allowed, AllowedVersion{
			ID: id, Model: v.Model, CostPer1kOutputTokens: v.CostPer1kOutputTokens,
			OnlyByRollout:     v.State == VersionCandidate || onTrial,
			UsableInIsolation: s.isolated[id],
		})
	}
	slices.SortFunc(allowed, func(a, b AllowedVersion) int {
		return cmp.Or(cmp.Compare(a.CostPer1kOutputTokens, b.CostPer1kOutputTokens), cmp.Compare(a.ID, b.ID))
	})
	return allowed
}

func organisationPath(id string) string { return check.Pointer("/organisations", id) }

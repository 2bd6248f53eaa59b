package tree

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/savoryshift/savoryshift/internal/check"
)

// Ranges of the inherited values.
const (
	minQuantile     = 0.5
	maxQuantile     = 0.999
	minDeadlineMs   = 1
	maxDeadlineMs   = float64(MaxDeadline / time.Millisecond)
	maxWeight       = 100
	maxExploration  = 0.2
	maxPriority     = 9
	maxCascadeCalls = 4
	maxRate         = 1e9
)

func elementPath(path string, i int) string { return path + "/" + strconv.Itoa(i) }

func (v *validator) organisations() {
	owners := map[string]string{}
	for _, id := range slices.Sorted(maps.Keys(v.t.Organisations)) {
		org := v.t.Organisations[id]
		at := check.Pointer("/organisations", id)
		v.id(at, id)
		v.overrides(at, org.Overrides)
		for i, digest := range org.KeySHA256 {
			v.digest(elementPath(at+"/key_sha256", i), id, digest, owners)
		}
		for service, node := range org.Services {
			v.organisationService(check.Pointer(at+"/services", service), org, service, node)
		}
	}
}

func (v *validator) digest(path, organisation, digest string, owners map[string]string) {
	if !digestPattern.MatchString(digest) {
		v.Add(path, digest, "a SHA-256 digest of 64 lower-case hex digits")
		return
	}
	if owner, taken := owners[digest]; taken {
		v.Add(path, digest, "a digest that is not also listed by organisation %s", owner)
	}
	owners[digest] = organisation
}

func (v *validator) organisationService(at string, org Organisation, id string, node OrganisationService) {
	service, ok := v.t.Services[id]
	if !ok {
		v.Add(at, id, "the id of a service")
	}
	v.overrides(at, node.Overrides)
	chain := []Overrides{v.t.Defaults, org.Overrides, node.Overrides}
	isModel := ok && service.Kind == ModelService
	if isModel {
		v.commonVersion(at, chain)
	}
	for name, session := range node.Sessions {
		path := check.Pointer(at+"/sessions", name)
		v.id(path, name)
		v.overrides(path, session.Overrides)
		if isModel {
			v.commonVersion(path, append(slices.Clone(chain), session.Overrides))
		}
	}
}

// commonVersion reports a problem for a node whose models and versions have no
// version in common. Withdrawn versions count, so that a withdrawal is never
// refused.
func (v *validator) commonVersion(path string, chain []Overrides) {
	models, versions := inheritedSets(chain)
	if models == nil && versions == nil {
		return
	}
	for id, version := range v.t.Versions {
		if permits(models, versions, id, version.Model) {
			return
		}
	}
	if len(models)+len(versions) > 0 {
		v.Add(path, "no version", "models and versions that have at least one version in common")
	}
}

func (v *validator) overrides(at string, o Overrides) {
	v.modelList(at+"/models", o.Models)
	for i, id := range o.Versions {
		v.reference(elementPath(at+"/versions", i), id, v.knowsVersion(id), "the id of a version")
	}
	for i, cascade := range o.Cascades {
		path := elementPath(at+"/cascades", i)
		if len(cascade) < 2 || len(cascade) > maxCascadeCalls {
			v.Add(path, cascade, "2 to %d models", maxCascadeCalls)
		}
		v.modelList(path, cascade)
	}
	v.optionalBetween(at+"/quality_target", o.QualityTarget, 0, 1)
	v.optionalBetween(at+"/latency_quantile", o.LatencyQuantile, minQuantile, maxQuantile)
	v.optionalBetween(at+"/retry_budget", o.RetryBudget, 0, 1)
	v.optionalBetween(at+"/exploration_budget", o.ExplorationBudget, 0, maxExploration)
	if o.DeadlineMs != nil {
		v.between(at+"/deadline_ms", float64(*o.DeadlineMs), minDeadlineMs, maxDeadlineMs)
	}
	if o.Priority != nil {
		v.between(at+"/priority", float64(*o.Priority), 0, maxPriority)
	}
	if o.Weights != nil {
		v.between(at+"/weights/cost", o.Weights.Cost, 0, maxWeight)
		v.between(at+"/weights/latency", o.Weights.Latency, 0, maxWeight)
		v.between(at+"/weights/exposure", o.Weights.Exposure, 0, maxWeight)
	}
	if o.Limits != nil {
		v.between(at+"/limits/requests_per_second", o.Limits.RequestsPerSecond, 0, maxRate)
		v.between(at+"/limits/tokens_per_second", o.Limits.TokensPerSecond, 0, maxRate)
	}
}

func (v *validator) modelList(path string, models []string) {
	for i, model := range models {
		switch {
		case !v.models[model]:
			v.Add(elementPath(path, i), model, "a model that has a version")
		case slices.Index(models, model) != i:
			v.Add(elementPath(path, i), model, "each model once")
		}
	}
}

func (v *validator) optionalBetween(path string, x *float64, low, high float64) {
	if x != nil {
		v.between(path, *x, low, high)
	}
}

func (v *validator) rollouts() {
	for id, r := range v.t.Rollouts {
		at := check.Pointer("/rollouts", id)
		v.id(at, id)
		from, okFrom := v.t.Versions[r.From]
		to, okTo := v.t.Versions[r.To]
		v.reference(at+"/from", r.From, okFrom, "the id of a version")
		v.reference(at+"/to", r.To, okTo, "the id of a version")
		if okFrom && okTo && (from.Model != to.Model || r.From == r.To) {
			v.Add(at+"/to", r.To, "another version of model %s", from.Model)
		}
		v.between(at+"/percent", r.Percent, 0, 100)
		v.between(at+"/step_percent", r.StepPercent, 0, 100)
		v.between(at+"/step_seconds", r.StepSeconds, 0, maxStepSeconds)
		if !slices.Contains([]RolloutState{RolloutRunning, RolloutPaused, RolloutAborted, RolloutDone}, r.State) {
			v.Add(at+"/state", string(r.State), "running, paused, aborted or done")
		}
		if okFrom && r.active() && from.State == VersionCandidate {
			v.Add(at+"/from", r.From, "a version that is not a candidate")
		}
		if okTo && r.State == RolloutDone && to.State == VersionCandidate {
			v.Add(at+"/state", string(r.State), "done only when version %s is settled", r.To)
		}
		v.rolloutConflicts(at, id, r)
	}
}

// rolloutConflicts reports a problem when the rollouts that move sessions form
// a fork or a cycle, or when the source or target version of an active one is
// the target of another active one.
func (v *validator) rolloutConflicts(at, id string, r Rollout) {
	if !r.movesSessions() {
		return
	}
	for _, otherID := range slices.Sorted(maps.Keys(v.t.Rollouts)) {
		other := v.t.Rollouts[otherID]
		if otherID == id || !other.movesSessions() {
			continue
		}
		if other.From == r.From {
			v.Add(at+"/from", r.From, "a version that roll-out %s doesn't also move, unless one of them is aborted", otherID)
		}
		if r.active() && other.active() && other.To == r.From {
			v.Add(at+"/from", r.From, "a version that is not the target of roll-out %s", otherID)
		}
		if r.active() && other.active() && other.To == r.To {
			v.Add(at+"/to", r.To, "a version that is not the target of roll-out %s", otherID)
		}
	}
	if v.rolloutCycle(r) {
		v.Add(at+"/to", r.To, "a version from which no roll-out leads back to %s", r.From)
	}
}

func (v *validator) rolloutCycle(r Rollout) bool {
	reached := map[string]bool{r.To: true}
	for grown := true; grown; {
		grown = false
		for _, other := range v.t.Rollouts {
			if other.movesSessions() && reached[other.From] && !reached[other.To] {
				reached[other.To] = true
				grown = true
			}
		}
	}
	return reached[r.From]
}

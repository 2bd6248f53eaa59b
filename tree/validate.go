package tree

import (
	"maps"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"

	"github.com/savoryshift/savoryshift/internal/check"
)

const (
	maxSlots       = 4096
	maxStepSeconds = 86400
	// reservedPrefix is the path prefix of the model API on the listener for
	// callers.
	reservedPrefix = "/v1/"
	allowedID      = "1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit"
)

var (
	idPattern     = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	prefixPattern = regexp.MustCompile(`^(/[A-Za-z0-9][A-Za-z0-9._-]*)+/$`)
	methodPattern = regexp.MustCompile(`^[A-Z]{1,20}$`)
)

// Validate returns all problems of t as Problems, or nil.
func Validate(t Tree) error {
	v := &validator{t: t, models: map[string]bool{}}
	for _, version := range t.Versions {
		v.models[version.Model] = true
	}
	v.versions()
	v.upstreams()
	v.services()
	v.overrides("/defaults", t.Defaults)
	v.organisations()
	v.rollouts()
	return v.Err()
}

type validator struct {
	check.Collector
	t      Tree
	models map[string]bool
}

func (v *validator) id(path, id string) {
	if !idPattern.MatchString(id) {
		v.Add(path, id, allowedID)
	}
}

func (v *validator) between(path string, x, low, high float64) {
	if !(x >= low && x <= high) {
		v.Add(path, x, "%v to %v", low, high)
	}
}

func (v *validator) versions() {
	for id, version := range v.t.Versions {
		at := check.Pointer("/versions", id)
		v.id(at, id)
		v.id(at+"/model", version.Model)
		if version.CostPer1kOutputTokens < 0 {
			v.Add(at+"/cost_per_1k_output_tokens", version.CostPer1kOutputTokens, "0 or more")
		}
		if !slices.Contains([]VersionState{"", VersionSettled, VersionCandidate, VersionWithdrawn}, version.State) {
			v.Add(at+"/state", string(version.State), "settled, candidate or withdrawn")
		}
		if version.UsableInIsolation != nil && *version.UsableInIsolation && version.State != VersionSettled && version.State != "" {
			v.Add(at+"/usable_in_isolation", true, "false, because the version is not settled")
		}
		v.successor(at+"/successor", id, version)
	}
}

func (v *validator) successor(path, id string, version Version) {
	if version.Successor == "" {
		return
	}
	next, ok := v.t.Versions[version.Successor]
	if !ok {
		v.Add(path, version.Successor, "the id of a version")
		return
	}
	if next.State == VersionCandidate {
		v.Add(path, version.Successor, "a version that is not a candidate")
	}
	seen := map[string]bool{id: true}
	for at := version.Successor; at != ""; at = v.t.Versions[at].Successor {
		if at == id {
			v.Add(path, version.Successor, "a successor that doesn't lead back to the version itself")
		}
		if seen[at] {
			return
		}
		seen[at] = true
	}
}

func (v *validator) upstreams() {
	for id, up := range v.t.Upstreams {
		at := check.Pointer("/upstreams", id)
		v.id(at, id)
		v.id(at+"/availability_zone", up.AvailabilityZone)
		if up.VM != "" {
			v.id(at+"/vm", up.VM)
		}
		v.url(at+"/url", up.URL)
		for i, version := range up.Versions {
			v.reference(elementPath(at+"/versions", i), version, v.knowsVersion(version), "the id of a version")
		}
		switch up.Kind {
		case EngineUpstream:
			v.between(at+"/slots", float64(up.Slots), 1, maxSlots)
		case ServiceUpstream:
			if len(up.Versions) > 0 {
				v.Add(at+"/versions", up.Versions, "none, because the upstream is not an engine")
			}
			v.between(at+"/slots", float64(up.Slots), 0, maxSlots)
		default:
			v.Add(at+"/kind", string(up.Kind), "engine or service")
		}
	}
}

func (v *validator) url(path, text string) {
	u, err := url.Parse(text)
	const allowed = "http:// or https://, an IP address and a port, without user, query and fragment"
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.User != nil || u.RawQuery != "" || u.Fragment != "" || u.Port() == "" {
		v.Add(path, text, allowed)
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		v.Add(path, text, allowed)
	}
}

func (v *validator) reference(path, id string, known bool, allowed string) {
	if !known {
		v.Add(path, id, allowed)
	}
}

func (v *validator) knowsVersion(id string) bool {
	_, ok := v.t.Versions[id]
	return ok
}

func (v *validator) services() {
	prefixes := map[string]string{}
	for _, id := range slices.Sorted(maps.Keys(v.t.Services)) {
		service := v.t.Services[id]
		at := check.Pointer("/services", id)
		v.id(at, id)
		want := EngineUpstream
		switch service.Kind {
		case ModelService:
			if service.PathPrefix != "" {
				v.Add(at+"/path_prefix", service.PathPrefix, "none, because the service is a model service")
			}
			if service.NonIdempotentMethods != nil {
				v.Add(at+"/non_idempotent_methods", service.NonIdempotentMethods, "none, because the service is a model service")
			}
		case PlainService:
			want = ServiceUpstream
			v.prefix(at+"/path_prefix", id, service.PathPrefix, prefixes)
		default:
			v.Add(at+"/kind", string(service.Kind), "model or plain")
			continue
		}
		v.serviceUpstreams(at+"/upstreams", service.Upstreams, want)
		for i, method := range service.NonIdempotentMethods {
			v.reference(elementPath(at+"/non_idempotent_methods", i), method, methodPattern.MatchString(method), "an HTTP method in capital letters")
		}
	}
}

func (v *validator) serviceUpstreams(path string, ids []string, want UpstreamKind) {
	seen := make(map[string]bool, len(ids))
	for i, id := range ids {
		up, ok := v.t.Upstreams[id]
		switch {
		case !ok:
			v.Add(elementPath(path, i), id, "the id of an upstream")
		case up.Kind != want:
			v.Add(elementPath(path, i), id, "an upstream of kind %s", want)
		case seen[id]:
			v.Add(elementPath(path, i), id, "each upstream once")
		}
		seen[id] = true
	}
}

func (v *validator) prefix(path, id, prefix string, prefixes map[string]string) {
	if !prefixPattern.MatchString(prefix) {
		v.Add(path, prefix, "a path of letters, digits, '.', '_' and '-' that starts and ends with '/'")
		return
	}
	if overlap(prefix, reservedPrefix) {
		v.Add(path, prefix, "a path outside "+reservedPrefix)
	}
	for _, other := range slices.Sorted(maps.Keys(prefixes)) {
		if taken := prefixes[other]; overlap(prefix, taken) {
			v.Add(path, prefix, "a path that doesn't overlap %s of service %s", taken, other)
		}
	}
	prefixes[id] = prefix
}

func overlap(a, b string) bool { return strings.HasPrefix(a, b) || strings.HasPrefix(b, a) }

package tree

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/savoryshift/savoryshift/errkind"
	"github.com/savoryshift/savoryshift/internal/check"
)

// Snapshot is a compiled tree. It is immutable; all methods are safe for
// concurrent use. Slices that it returns are shared and must not be changed.
type Snapshot struct {
	tree     Tree
	revision int64
	hash     string

	keys              map[[sha256.Size]byte]string
	effective         map[nodeKey]*Effective
	successors        map[string]string
	usableInIsolation map[string]bool
	activeRolloutTo   map[string]string // target version to id of its running or paused rollout
	rolloutsByFrom    map[string]compiledRollout
	prefixes          map[string]string

	upstreams           map[string]*UpstreamInfo
	byVersion           map[string][]*UpstreamInfo
	byService           map[string][]*UpstreamInfo
	byServiceAndVersion map[[2]string][]*UpstreamInfo
}

type nodeKey struct{ organisation, service, session string }

// UpstreamInfo is an upstream with its id.
type UpstreamInfo struct {
	ID string
	Upstream
}

// Compile validates t and returns its snapshot. The error is of type Problems.
// The caller must not change t afterwards.
func Compile(t Tree, revision int64, hash string) (*Snapshot, error) {
	if err := Validate(t); err != nil {
		return nil, err
	}
	s := &Snapshot{
		tree: t, revision: revision, hash: hash,
		keys:              map[[sha256.Size]byte]string{},
		effective:         map[nodeKey]*Effective{},
		successors:        map[string]string{},
		usableInIsolation: map[string]bool{},
		activeRolloutTo:   map[string]string{},
		rolloutsByFrom:    compileRollouts(t),
		prefixes:          map[string]string{},
	}
	s.compileVersions()
	s.compileUpstreams()
	s.compileOrganisations()
	return s, nil
}

func (s *Snapshot) compileVersions() {
	for id, r := range s.tree.Rollouts {
		if r.active() {
			s.activeRolloutTo[r.To] = id
		}
	}
	for id, v := range s.tree.Versions {
		settled := v.State == VersionSettled || v.State == ""
		_, isTarget := s.activeRolloutTo[id]
		s.usableInIsolation[id] = settled && !isTarget && (v.UsableInIsolation == nil || *v.UsableInIsolation)
		at := id
		for at != "" && s.tree.Versions[at].State == VersionWithdrawn {
			at = s.tree.Versions[at].Successor
		}
		s.successors[id] = at
	}
}

func (s *Snapshot) compileUpstreams() {
	s.upstreams = make(map[string]*UpstreamInfo, len(s.tree.Upstreams))
	s.byVersion = map[string][]*UpstreamInfo{}
	s.byService = map[string][]*UpstreamInfo{}
	s.byServiceAndVersion = map[[2]string][]*UpstreamInfo{}
	for _, id := range slices.Sorted(maps.Keys(s.tree.Upstreams)) {
		up := &UpstreamInfo{ID: id, Upstream: s.tree.Upstreams[id]}
		if up.VM == "" {
			up.VM = id
		}
		s.upstreams[id] = up
		for _, version := range up.Versions {
			s.byVersion[version] = append(s.byVersion[version], up)
		}
	}
	for id, service := range s.tree.Services {
		if service.PathPrefix != "" {
			s.prefixes[service.PathPrefix] = id
		}
		for _, name := range service.Upstreams {
			up := s.upstreams[name]
			s.byService[id] = append(s.byService[id], up)
			for _, version := range up.Versions {
				key := [2]string{id, version}
				s.byServiceAndVersion[key] = append(s.byServiceAndVersion[key], up)
			}
		}
	}
}

func (s *Snapshot) compileOrganisations() {
	for id, org := range s.tree.Organisations {
		for _, digest := range org.KeySHA256 {
			s.addKey(digest, id)
		}
		for service, own := range org.Services {
			path := check.Pointer(organisationPath(id), "services", service)
			chain := []node{{"/defaults", s.tree.Defaults}, {organisationPath(id), org.Overrides}, {path, own.Overrides}}
			s.effective[nodeKey{id, service, ""}] = s.newEffective(id, service, "", chain)
			for name, session := range own.Sessions {
				full := append(slices.Clone(chain), node{check.Pointer(path, "sessions", name), session.Overrides})
				s.effective[nodeKey{id, service, name}] = s.newEffective(id, service, name, full)
			}
		}
	}
}

func (s *Snapshot) addKey(digest, organisation string) {
	var key [sha256.Size]byte
	_, _ = hex.Decode(key[:], []byte(digest)) // validated
	s.keys[key] = organisation
}

// Revision returns the revision of the change log that s was compiled from.
func (s *Snapshot) Revision() int64 { return s.revision }

// Hash returns the hash of the revision that s was compiled from.
func (s *Snapshot) Hash() string { return s.hash }

// Tree returns the tree, which must not be changed.
func (s *Snapshot) Tree() *Tree { return &s.tree }

// Authenticate returns the organisation that owns an API key.
func (s *Snapshot) Authenticate(key string) (organisation string, ok bool) {
	organisation, ok = s.keys[sha256.Sum256([]byte(key))]
	return organisation, ok
}

// Effective returns the values that hold for a session of an organisation's
// service. A session that the tree doesn't name has the values of the service.
// The error has kind not_found or forbidden.
func (s *Snapshot) Effective(organisation, service, session string) (*Effective, error) {
	if e, ok := s.effective[nodeKey{organisation, service, session}]; ok {
		return e, nil
	}
	if e, ok := s.effective[nodeKey{organisation, service, ""}]; ok {
		return e, nil
	}
	if _, ok := s.tree.Organisations[organisation]; !ok {
		return nil, errkind.New(errkind.NotFound, "organisation %q doesn't exist", organisation)
	}
	if _, ok := s.tree.Services[service]; !ok {
		return nil, errkind.New(errkind.NotFound, "service %q doesn't exist", service)
	}
	return nil, errkind.New(errkind.Forbidden, "organisation %q may not use service %q", organisation, service)
}

// ModelServices returns the sorted ids of the model services that an organisation
// may use.
func (s *Snapshot) ModelServices(organisation string) []string {
	var ids []string
	for id := range s.tree.Organisations[organisation].Services {
		if s.tree.Services[id].Kind == ModelService {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Version returns a version of the tree.
func (s *Snapshot) Version(id string) (Version, bool) {
	v, ok := s.tree.Versions[id]
	return v, ok
}

// SuccessorOf returns version itself if it is not withdrawn, otherwise the first
// version in its chain of successors that is not withdrawn. ok is false when
// there is none.
func (s *Snapshot) SuccessorOf(version string) (successor string, ok bool) {
	successor = s.successors[version]
	return successor, successor != ""
}

// UsableInIsolation reports whether a daemon may use a version while it has no
// fresh evidence that its configuration is current. The target of a running or
// paused rollout is never usable in isolation.
func (s *Snapshot) UsableInIsolation(version string) bool { return s.usableInIsolation[version] }

// ServiceForPath returns the plain service whose path prefix path starts with. A
// path that equals the prefix without its final slash matches too.
func (s *Snapshot) ServiceForPath(path string) (service string, ok bool) {
	for at := 0; at < len(path); {
		next := strings.IndexByte(path[at+1:], '/')
		if next < 0 {
			break
		}
		at += next + 1
		if service, ok = s.prefixes[path[:at+1]]; ok {
			return service, true
		}
	}
	service, ok = s.prefixes[path+"/"]
	return service, ok
}

// Upstream returns an upstream by id.
func (s *Snapshot) Upstream(id string) (*UpstreamInfo, bool) {
	up, ok := s.upstreams[id]
	return up, ok
}

// UpstreamsOfVersion returns the engines that should hold a version, sorted by id.
func (s *Snapshot) UpstreamsOfVersion(version string) []*UpstreamInfo { return s.byVersion[version] }

// UpstreamsOfService returns the upstreams of a service in the tree's order.
func (s *Snapshot) UpstreamsOfService(service string) []*UpstreamInfo { return s.byService[service] }

// UpstreamsOf returns the upstreams of a model service that should hold a
// version.
func (s *Snapshot) UpstreamsOf(service, version string) []*UpstreamInfo {
	return s.byServiceAndVersion[[2]string{service, version}]
}

// AtMostOnce reports whether a call with an HTTP method to a service must not be
// repeated, because it is not idempotent.
func (s *Snapshot) AtMostOnce(service, method string) bool {
	entry := s.tree.Services[service]
	if entry.Kind != PlainService {
		return false
	}
	if entry.NonIdempotentMethods == nil {
		return method == http.MethodPost || method == http.MethodPatch
	}
	return slices.Contains(entry.NonIdempotentMethods, method)
}

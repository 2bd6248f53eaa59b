package demo

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/savoryshift/savoryshift/standin/engine"
	"github.com/savoryshift/savoryshift/tree"
)

// Secrets of the demonstration. All runs share them; the system listens on loopback
// addresses only.
const (
	clusterToken  = "demonstration cluster token"
	sessionSecret = "demonstration session secret, 32+ bytes"
	operatorName  = "demo"
	operatorToken = "demonstration operator token"
	callerKey     = "demonstration caller key"
)

// Names in the configuration of the demonstration.
const (
	organisationID = "club-0"
	modelService   = "brief-model"
	plainService   = "hire-desk"
	bookingPath    = "/hire-desk/bookings"

	baseVersion      = "s1"
	candidateVersion = "s2"
	rolloutID        = "s1-to-s2"
)

const engineSlots = 16

// engineSpec describes one engine of the demonstration. speed is a factor on the
// speeds of its versions.
type engineSpec struct {
	id            string
	zone          string
	versions      []string
	speed         float64
	checksFencing bool
	seed          uint64
}

var engineSpecs = []engineSpec{
	{"small-0", "tt-arima", []string{"s1", "s2"}, 1, true, 1},
	{"small-1", "tt-maracas", []string{"s1", "s2"}, 0.7, false, 2},
	{"small-2", "tt-tucker", []string{"s1", "s2"}, 0.4, true, 3},
	{"medium-3", "tt-arima", []string{"m1"}, 1, true, 4},
	{"medium-4", "tt-tucker", []string{"m1"}, 0.5, false, 5},
	{"large-5", "tt-maracas", []string{"l1"}, 1, true, 6},
	{"large-6", "tt-tucker", []string{"l1"}, 0.33, false, 7},
}

// versionSpec describes one model version. Its speeds are far above those of real
// engines to keep the demonstration short.
type versionSpec struct {
	model      string
	cost       float64 // per 1000 output tokens
	tokens     float64 // per second
	firstToken time.Duration
	quality    float64 // probability of a good answer
}

var versionSpecs = map[string]versionSpec{
	"s1": {"small", 1, 4000, 9 * time.Millisecond, 0.85},
	"s2": {"small", 1, 4200, 9 * time.Millisecond, 0.87},
	"m1": {"medium", 3, 2200, 17 * time.Millisecond, 0.93},
	"l1": {"large", 10, 1200, 30 * time.Millisecond, 0.97},
}

// profiles returns how the engine serves each of its versions.
func (s engineSpec) profiles() map[string]engine.Profile {
	profiles := make(map[string]engine.Profile)
	for _, id := range s.versions {
		v := versionSpecs[id]
		profiles[id] = engine.Profile{
			TokensPerSecond: v.tokens * s.speed,
			FirstToken:      time.Duration(float64(v.firstToken) / s.speed),
			Quality:         v.quality,
		}
	}
	return profiles
}

func digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// settingsTree returns the first configuration of the demonstration.
func (s *system) settingsTree() tree.Tree {
	target, deadline := 0.9, int64(10_000)
	t := tree.Tree{
		Versions:  make(map[string]tree.Version),
		Upstreams: make(map[string]tree.Upstream),
		Services: map[string]tree.Service{
			modelService: {Kind: tree.ModelService},
			plainService: {Kind: tree.PlainService, PathPrefix: "/hire-desk/"},
		},
		Defaults: tree.Overrides{QualityTarget: &target, DeadlineMs: &deadline},
		Organisations: map[string]tree.Organisation{
			organisationID: {
				Overrides: tree.Overrides{Models: []string{"small", "medium", "large"}},
				KeySHA256: []string{digest(callerKey)},
				Services:  map[string]tree.OrganisationService{modelService: {}, plainService: {}},
			},
		},
	}
	for id, v := range versionSpecs {
		state := tree.VersionSettled
		if id == candidateVersion {
			state = tree.VersionCandidate
		}
		t.Versions[id] = tree.Version{Model: v.model, CostPer1kOutputTokens: v.cost, State: state}
	}
	for _, spec := range engineSpecs {
		t.Upstreams[spec.id] = tree.Upstream{
			Kind: tree.EngineUpstream, URL: s.urls[spec.id], AvailabilityZone: spec.zone,
			Versions: spec.versions, Slots: engineSlots, ChecksFencing: spec.checksFencing,
		}
		addUpstream(t.Services, modelService, spec.id)
	}
	for _, zone := range zones {
		id := "desk-" + zone
		t.Upstreams[id] = tree.Upstream{Kind: tree.ServiceUpstream, URL: s.urls[id], AvailabilityZone: zone}
		addUpstream(t.Services, plainService, id)
	}
	return t
}

func addUpstream(services map[string]tree.Service, service, upstream string) {
	s := services[service]
	s.Upstreams = append(s.Upstreams, upstream)
	services[service] = s
}

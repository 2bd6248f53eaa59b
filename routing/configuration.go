package routing

import (
	"strings"
	"time"

	"github.com/samber/oops"
)

// Kind states whether requests of a route may run more than once.
type Kind string

// Kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once per client attempt.
	Unsafe Kind = "unsafe"
	// Stream requests are answered with a stream of events. They are treated as
	// unsafe unless the route is resumable.
	Stream Kind = "stream"
)

// Destination is a service that receives a share of a route's requests, in
// proportion to its weight.
type Destination struct {
	Service string
	Weight  int
}

// Route defines how requests with one host and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time until the final answer.
	Timeout time.Duration
	// Objective is the latency objective: the time within which an answer has its
	// full value. For streams it is measured to the first event.
	Objective time.Duration
	// MaxPause is the longest time between two events at which a stream meets its
	// latency objective.
	MaxPause time.Duration
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	// Models are the models, smallest first, from which the router chooses if the
	// request does not name one.
	Models       []string
	Destinations []Destination
	// MaxAttempts bounds the number of upstreams that may run one client attempt.
	MaxAttempts int
	// Public routes require no key.
	Public bool
	// Resumable streams may be continued by another upstream after the last event.
	Resumable bool
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Model is a model that the engines of a service serve.
type Model struct {
	Name string
	// Cost is the price of 1,000 generated tokens.
	Cost float64
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one upstream accepts from
	// all callers together.
	MaxConnections int
	// ColdStart is the time for which an upstream is slow after its start, and ColdPerSecond
	// the rate of requests from all callers that it takes then; 0 if there is no such limit.
	ColdStart     time.Duration
	ColdPerSecond float64
	// Models is empty for services that are not model engines.
	Models []Model
	// Slots is the batch size of one engine, 0 for other services.
	Slots int
	// KVTokens is the number of prompt and generated tokens of the requests in progress that
	// the memory of one engine holds, 0 if it is not known.
	KVTokens int
}

// Price returns the price of 1,000 generated tokens of a model, 0 if the service does not
// have it.
func (s *Service) Price(model string) float64 {
	for _, m := range s.Models {
		if m.Name == model {
			return m.Cost
		}
	}
	return 0
}

// Organisation is a customer with its API keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority replaces the priority of the route when HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bounds the size and timing of client requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Configuration is one decoded version of the operator's configuration.
type Configuration struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Limits        Limits
	Organisations []Organisation
}

// Snapshot is a compiled configuration. It is immutable.
type Snapshot struct {
	Configuration
	byHost   map[string][]*Route
	services map[string]*Service
	keys     map[string]*Organisation
}

// Compile validates a configuration and builds its indexes.
func Compile(c Configuration) (*Snapshot, error) {
	s := &Snapshot{Configuration: c, byHost: map[string][]*Route{}, services: map[string]*Service{}, keys: map[string]*Organisation{}}
	for i := range s.Services {
		s.services[s.Services[i].Name] = &s.Services[i]
	}
	for i := range s.Routes {
		r := &s.Routes[i]
		if err := s.validateRoute(r); err != nil {
			return nil, err
		}
		s.byHost[r.Host] = append(s.byHost[r.Host], r)
	}
	for i := range s.Organisations {
		for _, key := range s.Organisations[i].Keys {
			s.keys[key] = &s.Organisations[i]
		}
	}
	return s, nil
}

func (s *Snapshot) validateRoute(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return oops.Errorf("route %q: prefix %q must begin and end with a slash", r.Name, r.Prefix)
	}
	switch r.Kind {
	case Safe, Unsafe, Stream:
	default:
		return oops.Errorf("route %q: kind %q is not one of safe, unsafe, stream", r.Name, r.Kind)
	}
	if len(r.Destinations) == 0 {
		return oops.Errorf("route %q: no destination", r.Name)
	}
	for _, d := range r.Destinations {
		if s.services[d.Service] == nil {
			return oops.Errorf("route %q: unknown service %q", r.Name, d.Service)
		}
		if d.Weight < 0 {
			return oops.Errorf("route %q: weight %d of service %q is negative", r.Name, d.Weight, d.Service)
		}
	}
	return nil
}

// Match returns the route of the host with the longest matching path prefix, or
// nil.
func (s *Snapshot) Match(host, path string) *Route {
	var best *Route
	for _, r := range s.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Service returns the service with the given name, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// Organisation returns the organisation that a key belongs to, or nil.
func (s *Snapshot) Organisation(key string) *Organisation { return s.keys[key] }

// HasOrganisations reports whether any organisation is configured; without one,
// requests need no key.
func (s *Snapshot) HasOrganisations() bool { return len(s.Organisations) > 0 }

// Pick returns the service of a destination, chosen with a probability in
// proportion to its weight. point is uniform in [0, 1). If all weights are 0, it
// returns the first destination.
func (r *Route) Pick(point float64) string {
	total := 0
	for _, d := range r.Destinations {
		total += d.Weight
	}
	if total == 0 {
		return r.Destinations[0].Service
	}
	rest := point * float64(total)
	for _, d := range r.Destinations {
		rest -= float64(d.Weight)
		if rest < 0 {
			return d.Service
		}
	}
	return r.Destinations[len(r.Destinations)-1].Service
}

package workload

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
)

// Lognormal holds the median of a lognormal distribution and the standard
// deviation of its logarithm.
type Lognormal struct {
	Median float64 `json:"lognormal_median"`
	Sigma  float64 `json:"sigma"`
}

// Class describes a class of requests. CallerLeavesMs is how long clients wait
// after the deadline. PrefixShare is the share of a prompt that belongs to one of
// PrefixGroups common prefixes. SessionLengthRequests is the mean number of
// requests per session.
type Class struct {
	Name                  string    `json:"name"`
	Share                 float64   `json:"share"`
	PromptTokens          Lognormal `json:"prompt_tokens"`
	OutputTokens          Lognormal `json:"output_tokens"`
	DeadlineMs            Lognormal `json:"deadline_ms"`
	CallerLeavesMs        float64   `json:"caller_leaves_after_deadline_ms"`
	QualityTarget         float64   `json:"quality_target"`
	PrefixGroups          int       `json:"prefix_groups"`
	PrefixShare           float64   `json:"prefix_share"`
	SessionLengthRequests float64   `json:"session_length_requests"`
}

// Version is one model version with its true cost, speed and quality.
// GoodAnswer holds the probability of a good answer by class.
type Version struct {
	Model                string             `json:"model"`
	Version              string             `json:"version"`
	CostPer1kOutput      float64            `json:"cost_per_1k_output_tokens"`
	OutputTokensPerSSlot float64            `json:"output_tokens_per_s_per_slot"`
	FirstTokenMs         float64            `json:"first_token_ms"`
	GoodAnswer           map[string]float64 `json:"good_answer_probability"`
}

// Upstream is one engine. Its Versions are the model versions that it can run.
type Upstream struct {
	ID               string   `json:"id"`
	AvailabilityZone string   `json:"availability_zone"`
	Versions         []string `json:"versions"`
	Slots            int      `json:"slots"`
	SpeedFactor      float64  `json:"speed_factor"`
	ChecksFencing    bool     `json:"checks_fencing"`
	LoadReportLagMs  float64  `json:"load_report_lag_ms"`
}

// Organisation is a customer and its share of the requests.
type Organisation struct {
	ID    string  `json:"id"`
	Share float64 `json:"share"`
}

// Weights holds the weights of cost, latency and exposure to new versions
// in the routing policy.
type Weights struct {
	Cost     float64 `json:"cost"`
	Latency  float64 `json:"latency"`
	Exposure float64 `json:"exposure"`
}

// Rating describes the rating service. Accuracy is the probability that a rating
// is correct.
type Rating struct {
	Accuracy float64 `json:"accuracy"`
	DelayMs  float64 `json:"delay_ms"`
}

// Rollout moves new sessions from one version to another, from StartS seconds
// after the start on.
type Rollout struct {
	FromVersion string  `json:"from_version"`
	ToVersion   string  `json:"to_version"`
	StartS      float64 `json:"start_s"`
}

// Event is one event of a fault. Without ForS it lasts until the end of the run.
type Event struct {
	AtS              float64 `json:"at_s"`
	ForS             float64 `json:"for_s"`
	Kind             string  `json:"kind"`
	Version          string  `json:"version"`
	QualityFactor    float64 `json:"good_answer_probability_factor"`
	ErrorProbability float64 `json:"error_probability"`
	AvailabilityZone string  `json:"availability_zone"`
	Every            int     `json:"every"`
	SpeedFactor      float64 `json:"speed_factor"`
	FromPlatform     bool    `json:"from_platform"`
	FromZones        bool    `json:"from_zones"`
	Ms               float64 `json:"ms"`
}

// Kinds of events.
const (
	EventVersionQuality = "version_quality"
	EventVersionErrors  = "version_errors"
	EventUpstreamsDown  = "upstreams_down"
	EventUpstreamsSlow  = "upstreams_slow"
	EventZoneCut        = "zone_cut"
	EventPlatformDown   = "platform_down"
	EventRatingDelay    = "rating_delay"
)

// Fault is a named set of events that a run injects.
type Fault struct {
	Name   string  `json:"name"`
	Events []Event `json:"events"`
}

// Workload is one deployment with its arrivals and faults.
type Workload struct {
	Name              string             `json:"name"`
	DurationS         float64            `json:"duration_s"`
	AvailabilityZones []string           `json:"availability_zones"`
	OneWayMsZones     float64            `json:"one_way_ms_between_zones"`
	OneWayMsClients   float64            `json:"one_way_ms_to_clients"`
	ArrivalsPerS      map[string]float64 `json:"arrivals_per_s"`
	Organisations     []Organisation     `json:"organisations"`
	Weights           Weights            `json:"weights"`
	Classes           []Class            `json:"classes"`
	Versions          []Version          `json:"versions"`
	Upstreams         []Upstream         `json:"upstreams"`
	Rating            Rating             `json:"rating"`
	Rollout           *Rollout           `json:"rollout"`
	Faults            []Fault            `json:"faults"`
}

// Load reads a workload file, which need not be complete. Validate reports
// whether it is.
func Load(path string) (*Workload, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read workload: %w", err)
	}
	w, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("workload %s: %w", path, err)
	}
	return w, nil
}

// Parse decodes a workload from JSON. Unknown keys are errors.
func Parse(data []byte) (*Workload, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var w Workload
	if err := dec.Decode(&w); err != nil {
		return nil, err
	}
	return &w, nil
}

// Fault returns the fault with the given name.
func (w *Workload) Fault(name string) (*Fault, error) {
	for i := range w.Faults {
		if w.Faults[i].Name == name {
			return &w.Faults[i], nil
		}
	}
	return nil, fmt.Errorf("no fault %q in workload %s", name, w.Name)
}

// Validate returns an error that lists everything that prevents the simulation of
// the workload.
func (w *Workload) Validate() error {
	var errs []error
	check := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	check(w.DurationS > 0, "duration_s is %v, must be above 0", w.DurationS)
	check(len(w.AvailabilityZones) > 0, "availability_zones is empty")
	check(len(w.Organisations) > 0, "organisations is empty")
	check(len(w.Classes) > 0, "classes is empty")
	check(len(w.Versions) > 0, "versions is empty")
	check(len(w.Upstreams) > 0, "upstreams is empty")
	check(len(w.ArrivalsPerS) > 0, "arrivals_per_s is empty")
	check(w.Rating.Accuracy >= 0.5 && w.Rating.Accuracy <= 1, "rating.accuracy is %v, must be 0.5 to 1", w.Rating.Accuracy)
	for level, rate := range w.ArrivalsPerS {
		check(rate > 0, "arrivals_per_s.%s is %v, must be above 0", level, rate)
	}
	w.validateClasses(check)
	w.validateVersions(check)
	w.validateEvents(check)
	return errors.Join(errs...)
}

// ValidateClasses checks that requests can be drawn from the classes. A load
// generator needs nothing else of a workload. A missing length or deadline counts
// as 0.
func (w *Workload) ValidateClasses() error {
	if len(w.Classes) == 0 {
		return errors.New("classes is empty")
	}
	for _, c := range w.Classes {
		if c.Share < 0 || min(c.PromptTokens.Median, c.OutputTokens.Median, c.DeadlineMs.Median) < 0 {
			return fmt.Errorf("class %s has a negative value", c.Name)
		}
	}
	return nil
}

func (w *Workload) validateClasses(check func(bool, string, ...any)) {
	for _, c := range w.Classes {
		check(c.Share >= 0, "class %s: share is %v, must be 0 or more", c.Name, c.Share)
		for name, d := range map[string]Lognormal{"prompt_tokens": c.PromptTokens, "output_tokens": c.OutputTokens, "deadline_ms": c.DeadlineMs} {
			check(d.Median > 0 && d.Sigma >= 0, "class %s: %s needs a median above 0 and a sigma of 0 or more", c.Name, name)
		}
		check(c.QualityTarget >= 0 && c.QualityTarget <= 1, "class %s: quality_target is %v, must be 0 to 1", c.Name, c.QualityTarget)
		check(c.PrefixShare >= 0 && c.PrefixShare <= 1, "class %s: prefix_share is %v, must be 0 to 1", c.Name, c.PrefixShare)
	}
	for _, o := range w.Organisations {
		check(o.Share >= 0, "organisation %s: share is %v, must be 0 or more", o.ID, o.Share)
	}
}

func (w *Workload) validateVersions(check func(bool, string, ...any)) {
	zones := map[string]bool{}
	for _, z := range w.AvailabilityZones {
		zones[z] = true
	}
	known := map[string]bool{}
	for _, v := range w.Versions {
		check(!known[v.Version], "version %s is listed twice", v.Version)
		known[v.Version] = true
		check(v.CostPer1kOutput >= 0, "version %s: cost is %v, must be 0 or more", v.Version, v.CostPer1kOutput)
		check(v.OutputTokensPerSSlot > 0, "version %s: output_tokens_per_s_per_slot must be above 0", v.Version)
		check(v.FirstTokenMs >= 0, "version %s: first_token_ms must be 0 or more", v.Version)
		for _, c := range w.Classes {
			q, ok := v.GoodAnswer[c.Name]
			check(ok && q >= 0 && q <= 1, "version %s: good_answer_probability.%s is missing or not within 0 to 1", v.Version, c.Name)
		}
	}
	for _, u := range w.Upstreams {
		check(u.Slots > 0, "upstream %s: slots is %d, must be above 0", u.ID, u.Slots)
		check(u.SpeedFactor > 0, "upstream %s: speed_factor is %v, must be above 0", u.ID, u.SpeedFactor)
		check(zones[u.AvailabilityZone], "upstream %s: unknown availability_zone %q", u.ID, u.AvailabilityZone)
		for _, v := range u.Versions {
			check(known[v], "upstream %s: unknown version %q", u.ID, v)
		}
	}
	if w.Rollout != nil {
		check(known[w.Rollout.FromVersion] && known[w.Rollout.ToVersion], "rollout names an unknown version")
	}
}

func (w *Workload) validateEvents(check func(bool, string, ...any)) {
	for _, f := range w.Faults {
		for _, e := range f.Events {
			switch e.Kind {
			case EventVersionQuality, EventVersionErrors, EventUpstreamsDown, EventZoneCut, EventPlatformDown, EventRatingDelay:
			case EventUpstreamsSlow:
				check(e.SpeedFactor > 0, "fault %s: speed_factor is %v, must be above 0", f.Name, e.SpeedFactor)
			default:
				check(false, "fault %s: unknown kind of event %q", f.Name, e.Kind)
			}
		}
	}
}

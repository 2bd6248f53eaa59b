package policy

import "time"

// VersionSpec describes a model version for BuildView.
type VersionSpec struct {
	ID, Model string
	// CostPer1kOutput is the price of 1,000 generated tokens. A prompt token
	// costs a fifth of a generated one.
	CostPer1kOutput float64
	// Usable is false for a version that may not receive requests.
	Usable bool
}

// Report is a load report of an engine. It describes a moment in the past.
type Report struct {
	// At is the moment that the report describes.
	At time.Duration
	// Running and Queued count the calls of all daemons at the engine.
	Running, Queued int
}

// UpstreamSpec describes an engine for BuildView.
type UpstreamSpec struct {
	ID string
	// Versions lists the versions that the engine has loaded, as indices into
	// Inputs.Versions.
	Versions []int
	// Slots is the number of calls that the engine can serve at the same time.
	Slots int
	// OneWayLatency is the one-way network latency to the engine.
	OneWayLatency time.Duration
	// Usable is false for an engine that is leaving, draining or unreachable.
	Usable bool
	// Report is the latest load report, or nil if there is none.
	Report *Report
	// Live holds the counters of this daemon's calls. Successive views share
	// it.
	Live *Live
}

// PrefixHint says that an engine may have a prompt prefix in its cache.
type PrefixHint struct {
	Prefix   uint64
	Upstream int
	// At is the time of the cache event.
	At time.Duration
}

// Inputs is the state of the versions, upstreams and caches from which a view
// is built.
type Inputs struct {
	Versions  []VersionSpec
	Upstreams []UpstreamSpec
	// Hints is sorted by age, the oldest hint first.
	Hints []PrefixHint
	// RatingAvailable is false while the rating service cannot be reached.
	RatingAvailable bool
}

package policy

import "time"

// VersionSpec describes a version to BuildView.
type VersionSpec struct {
	ID, Model string
	// CostPer1kOutput is the price of 1,000 generated tokens; a prompt token
	// costs a fifth of a generated one.
	CostPer1kOutput float64
	// Usable is false for a version that may not receive work.
	Usable bool
}

// Report is a load report of an engine, which describes the past.
type Report struct {
	// At is the moment that the report describes.
	At time.Duration
	// Running and Queued count the calls of all daemons.
	Running, Queued int
}

// UpstreamSpec describes an engine to BuildView.
type UpstreamSpec struct {
	ID string
	// Versions that the engine holds, as indices into Inputs.Versions.
	Versions []int
	Slots    int
	// OneWayLatency is the one-way network latency.
	OneWayLatency time.Duration
	// Usable is false for an engine that leaves, drains or cannot be reached.
	Usable bool
	// Report is the last load report; nil when there is none.
	Report *Report
	// Live counts the calls of this daemon; successive views share it.
	Live *Live
}

// PrefixHint says that an engine may hold a prompt prefix.
type PrefixHint struct {
	Prefix   uint64
	Upstream int
	// At is the moment of the cache event.
	At time.Duration
}

// Inputs is the state of the surroundings from which a view is built.
type Inputs struct {
	Versions  []VersionSpec
	Upstreams []UpstreamSpec
	Hints     []PrefixHint
	// RatingAvailable is false while the rating service cannot be reached.
	RatingAvailable bool
}

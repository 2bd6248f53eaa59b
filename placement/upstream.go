package placement

// Upstream is one registered instance of a service.
type Upstream struct {
	// ID names one incarnation, unless the instance started again under its ID.
	ID string
	// Incarnation grows when an instance starts again under the same ID.
	Incarnation int64
	Service     string
	// Address is IP:PORT; it may have belonged to another instance before.
	Address          string
	AvailabilityZone string
	// Release is the version of the software that the instance runs.
	Release  string
	Slots    int
	Draining bool
}

package share

import (
	"cmp"
	"errors"
	"fmt"
	"time"

	"github.com/savoryshift/savoryshift/coord/store"
)

// FullLimit is the share that stands for the complete limit. Shares are integer
// fractions of it.
const FullLimit int64 = 1_000_000

// Defaults of Options.
const (
	DefaultPeriod = 2 * time.Second
	DefaultBurst  = time.Second
)

// ErrLimited reports a request above the share of this daemon.
var ErrLimited = errors.New("organisation limit reached")

// LimitedError reports a request above the share of this daemon, and the time
// after which it can be admitted. It matches ErrLimited.
type LimitedError struct {
	Organisation string
	RetryAfter   time.Duration
}

func (e *LimitedError) Error() string {
	return fmt.Sprintf("%v: organisation %q, retry after %v", ErrLimited, e.Organisation, e.RetryAfter)
}

// Unwrap makes the error match ErrLimited.
func (e *LimitedError) Unwrap() error { return ErrLimited }

// Limit is the limit of one organisation over all daemons. Zero means
// unlimited.
type Limit struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
}

// resource identifies one of the two parts of a limit.
type resource int

const (
	requests resource = iota
	tokens
	resources // number of resources
)

// perResource holds one value for each resource.
type perResource[T any] [resources]T

func (l Limit) rates() perResource[float64] {
	return perResource[float64]{l.RequestsPerSecond, l.TokensPerSecond}
}

// Options configures a Manager. Zero values mean the defaults.
type Options struct {
	Table store.Table
	// VM and Incarnation name this process. The incarnation is new for each
	// start.
	VM, Incarnation string
	// AdoptEarlier takes over the shares of earlier incarnations of the same
	// VM. Set it only when no earlier process of the VM can be running.
	AdoptEarlier bool
	// Holders returns the expected number of daemons; default the number of
	// holders in the row.
	Holders func() int
	// Period is the time between measurements of the demand.
	Period time.Duration
	// Burst is the time for which an unused share accumulates. At least one
	// request accumulates, however small the share is.
	Burst time.Duration
	// Now returns the time for the token buckets and the measurements.
	Now func() time.Time
}

func (o Options) withDefaults() Options {
	o.Period = cmp.Or(o.Period, DefaultPeriod)
	o.Burst = cmp.Or(o.Burst, DefaultBurst)
	if o.Holders == nil {
		o.Holders = func() int { return 1 }
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

func (o Options) holder() string { return o.VM + "/" + o.Incarnation }
